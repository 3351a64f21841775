"""Which experts are in demand now, from counts that only grow."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Self

from linnetwind.rank_types import RankCounts

# Half of the demand that was seen is forgotten after this time. The popular
# experts change within seconds; a tenth of a second holds thousands of
# choices already.
_HALF_LIFE_MS = 400
HALF_LIFE = timedelta(milliseconds=_HALF_LIFE_MS)


@dataclass(frozen=True)
class ExpertDemand:
    """The recent choices of each expert, over all layers in a row."""

    seen: Mapping[int, RankCounts] = field(default_factory=dict)
    recent: tuple[float, ...] = ()
    at: timedelta = timedelta()

    def take(self, counts: Mapping[int, RankCounts], now: timedelta) -> Self:
        """Return the demand after newer counts.

        Args:
          counts: The counts of each rank that has answered.
          now: The monotonic time.

        Returns:
          The demand. A rank that is seen for the first time, or has formed
          anew since, adds nothing yet.
        """
        decay = 0.5 ** ((now - self.at) / HALF_LIFE)
        size = max((len(each.counts) for each in counts.values()), default=0)
        recent = [each * decay for each in self.recent] or [float(0)] * size
        for rank, new in counts.items():
            before = self.seen.get(rank)
            if before is None or before.epoch != new.epoch:
                continue
            if len(new.counts) != len(recent):
                continue
            for place, count in enumerate(new.counts):
                recent[place] += max(0, count - before.counts[place])
        return ExpertDemand({**self.seen, **counts}, tuple(recent), now)

    def by_layer(self, layers: int) -> tuple[tuple[float, ...], ...]:
        """Return the demand by layer.

        Args:
          layers: The number of layers.

        Returns:
          For each layer the demand of each expert; empty before any count.
        """
        size = len(self.recent) // max(1, layers)
        return tuple(
            self.recent[layer * size : (layer + 1) * size]
            for layer in range(layers)
        )
