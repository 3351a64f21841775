"""Which experts are in demand now, from counts that only grow."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Self

from linnetwind.rank_messages import goes_on
from linnetwind.rank_packing import split_counts
from linnetwind.rank_types import CountLanes

# Half of the demand that was seen is forgotten after this time. The popular
# experts change within seconds; a tenth of a second holds thousands of
# choices already. At 400 ms the plan still went by what was in demand before:
# the most loaded rank had 2.0 times the mean, at 150 ms 1.89 (72 ranks, half
# of the popular experts changed every 2.3 s).
_HALF_LIFE_MS = 150
HALF_LIFE = timedelta(milliseconds=_HALF_LIFE_MS)


@dataclass(frozen=True)
class ExpertDemand:
    """The recent choices of each expert, over all layers in a row."""

    seen: Mapping[int, CountLanes] = field(default_factory=dict)
    recent: tuple[float, ...] = ()
    at: timedelta = timedelta()

    def take(self, counts: Mapping[int, CountLanes], now: timedelta) -> Self:
        """Return the demand after newer counts.

        Args:
          counts: The counts of each rank that has answered.
          now: The monotonic time.

        Returns:
          The demand. A rank that is seen for the first time, has formed or
          started anew since, adds nothing yet.
        """
        decay = 0.5 ** ((now - self.at) / HALF_LIFE)
        size = max((each.size for each in counts.values()), default=0)
        recent = self.recent or (float(0),) * size
        grown = sum(
            new.lanes - self.seen[rank].lanes
            for rank, new in counts.items()
            if new.size == len(recent) and goes_on(self.seen.get(rank), new)
        )
        added = split_counts(grown, len(recent))
        recent = tuple(
            held * decay + new for held, new in zip(recent, added, strict=True)
        )
        return ExpertDemand({**self.seen, **counts}, recent, now)

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
