"""Estimate which experts are in demand now, from cumulative counts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Self

from linnetwind.rank_messages import counts_continue
from linnetwind.rank_packing import split_counts
from linnetwind.rank_types import LaneCounts

# The half-life of the weight of counted demand. The popular experts change
# within seconds, and a tenth of a second already holds thousands of choices.
# With 400 ms the plan still followed the demand from before a change: the most
# loaded rank had 2.0 times the mean load, with 150 ms 1.89 times (72 ranks,
# half of the popular experts changed every 2.3 s).
_HALF_LIFE_MS = 150
HALF_LIFE = timedelta(milliseconds=_HALF_LIFE_MS)


@dataclass(frozen=True)
class ExpertDemand:
    """How often each expert was chosen recently.

    `last_counts` holds the last counts of each rank, `recent` the decayed
    demand of each expert, layer after layer in one row, and `updated_at` the
    monotonic time of the last update. `added` is what that update added to
    `recent`.
    """

    last_counts: Mapping[int, LaneCounts] = field(default_factory=dict)
    recent: tuple[float, ...] = ()
    updated_at: timedelta = timedelta()
    added: tuple[float, ...] = ()

    def apply_counts(
        self, counts: Mapping[int, LaneCounts], now: timedelta
    ) -> Self:
        """Return the demand updated with newer counts.

        Args:
          counts: The counts of each rank that has replied.
          now: The monotonic time.

        Returns:
          The new demand. A rank adds nothing yet if these are its first counts,
          or its first since it restarted or its group formed again.
        """
        decay = 0.5 ** ((now - self.updated_at) / HALF_LIFE)
        size = max(
            (rank_counts.size for rank_counts in counts.values()), default=0
        )
        recent = self.recent or (float(0),) * size
        increase = sum(
            new.lanes - self.last_counts[rank].lanes
            for rank, new in counts.items()
            if new.size == len(recent)
            and counts_continue(self.last_counts.get(rank), new)
        )
        added = split_counts(increase, len(recent))
        recent = tuple(
            old * decay + new for old, new in zip(recent, added, strict=True)
        )
        return ExpertDemand({**self.last_counts, **counts}, recent, now, added)

    def by_layer(self, layers: int) -> tuple[tuple[float, ...], ...]:
        """Return the demand divided into layers.

        Args:
          layers: The number of layers.

        Returns:
          The demand of each expert, for each layer; without experts before the
          first counts.
        """
        size = len(self.recent) // max(1, layers)
        return tuple(
            self.recent[layer * size : (layer + 1) * size]
            for layer in range(layers)
        )
