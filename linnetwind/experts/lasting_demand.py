"""Estimate the demand for experts that will last until a new map is in use.

Handles demand whose popular experts shift every few seconds, while the counts
of each poll also vary with the few prompts that were read since the last one.
The present demand (`expert_demand`) follows a shift at once and so follows
that variation too; every plan for it copies experts that the next one does not
need. The steady demand averages all counts since the last shift. Newer counts
show which of the two predicts better: the two are blended by a least-squares
fit of the last counts, and where the present demand alone predicts them, the
popular experts have shifted and the steady demand starts again from it.
"""

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Self

# The half-life of the weight of counted demand in the steady demand.
_STEADY_HALF_LIFE_MS = 4000
_STEADY_HALF_LIFE = timedelta(milliseconds=_STEADY_HALF_LIFE_MS)
# The half-life of the weight of older counts in the fit. A single poll reads
# too few prompts to tell a shift from chance; a longer half-life shows a shift
# later.
_FIT_HALF_LIFE_MS = 300
_FIT_HALF_LIFE = timedelta(milliseconds=_FIT_HALF_LIFE_MS)
# The popular experts have shifted when the steady demand has less weight than
# this in the fit.
_MIN_STEADY_WEIGHT = 0.2
# Below this, present and steady demand differ by rounding only: their shares of
# the choices are sums of products near 1.
_MIN_VARIANCE = 1e-20

Row = tuple[float, ...]


@dataclass(frozen=True)
class LastingDemand:
    """The demand to plan for, layer after layer in one row.

    `present` and `steady` are decayed counts of each expert, `weight` is the
    weight of the steady demand in the blend from 0 to 1. `covariance` and
    `variance` are the decayed sums of the fit. `updated_at` is the monotonic
    time of the last update, and `has_shifted` tells whether it found a shift.
    """

    present: Row = ()
    steady: Row = ()
    weight: float = 1
    covariance: float = 0
    variance: float = 0
    updated_at: timedelta = timedelta()
    has_shifted: bool = False

    def apply_counts(self, added: Row, present: Row, now: timedelta) -> Self:
        """Return the demand updated with newer counts.

        Args:
          added: How often each expert was chosen since the last update.
          present: The present demand of each expert, these counts included.
          now: The monotonic time.

        Returns:
          The new demand. Without new counts nothing changes: after a restart
          the first counts add nothing, and say nothing about a shift.
        """
        if not sum(added):
            return self
        if len(self.steady) != len(added):
            return LastingDemand(present, added, updated_at=now)
        elapsed = now - self.updated_at
        fitted = self._fit(added, 0.5 ** (elapsed / _FIT_HALF_LIFE))
        start = fitted.present if fitted.has_shifted else fitted.steady
        decay = 0.5 ** (elapsed / _STEADY_HALF_LIFE)
        steady = tuple(
            old * decay + new for old, new in zip(start, added, strict=True)
        )
        return replace(fitted, present=present, steady=steady, updated_at=now)

    def by_layer(self, layers: int) -> tuple[Row, ...]:
        """Return the demand to plan for, divided into layers.

        Args:
          layers: The number of layers.

        Returns:
          The demand of each expert, for each layer, in counts of the present
          demand; without experts before the first counts.
        """
        total = sum(self.present)
        if not total:
            return ((),) * layers
        scale = self.weight * total / sum(self.steady)
        rest = 1 - self.weight
        row = tuple(
            now * rest + lasting * scale
            for now, lasting in zip(self.present, self.steady, strict=True)
        )
        size = len(row) // max(1, layers)
        return tuple(
            row[layer * size : (layer + 1) * size] for layer in range(layers)
        )

    def _fit(self, added: Row, decay: float) -> Self:
        """Return the demand with the weight that fits the newer counts best.

        Shares of the choices are compared, because the number of choices
        differs between polls. The present demand from before the counts is
        used; with them included it would always predict them better.
        """
        total, present, steady = sum(added), sum(self.present), sum(self.steady)
        if not present:
            return self
        covariance = self.covariance * decay
        variance = self.variance * decay
        for new, now, lasting in zip(
            added, self.present, self.steady, strict=True
        ):
            share = now / present
            difference = lasting / steady - share
            covariance += difference * (new / total - share)
            variance += difference * difference
        weight = float(1)
        if variance > _MIN_VARIANCE:
            weight = max(0, min(1, covariance / variance))
        if weight < _MIN_STEADY_WEIGHT:
            return replace(
                self, weight=1, covariance=0, variance=0, has_shifted=True
            )
        return replace(
            self,
            weight=weight,
            covariance=covariance,
            variance=variance,
            has_shifted=False,
        )
