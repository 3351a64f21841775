"""Which experts are in demand now, from counts that only grow."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Self

from linnetwind.rank_types import RankCounts

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

    seen: Mapping[int, RankCounts] = field(default_factory=dict)
    recent: tuple[float, ...] = ()
    at: timedelta = timedelta()

    def take(self, counts: Mapping[int, RankCounts], now: timedelta) -> Self:
        """Return the demand after newer counts.

        Args:
          counts: The counts of each rank that has answered.
          now: The monotonic time.

        Returns:
          The demand. A rank that is seen for the first time, has formed or
          started anew since, adds nothing yet.
        """
        decay = 0.5 ** ((now - self.at) / HALF_LIFE)
        size = max((len(each.counts) for each in counts.values()), default=0)
        recent = self.recent or (float(0),) * size
        known = [
            rank
            for rank, new in counts.items()
            if _goes_on(self.seen.get(rank), new, len(recent))
        ]
        before = _add_up(self.seen, known)
        after = _add_up(counts, known)
        # Ranks are added up first: 72 ranks with 1,728 counts each took 36 ms
        # one by one, and take 7 ms so (processor time of one call).
        if known:
            recent = tuple(
                held * decay + max(0, new - old)
                for held, new, old in zip(recent, after, before, strict=True)
            )
        else:
            recent = tuple(held * decay for held in recent)
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


def _goes_on(before: RankCounts | None, new: RankCounts, size: int) -> bool:
    """Return whether counts go on where older ones of the rank ended."""
    if before is None or before.epoch != new.epoch:
        return False
    # A rank that started again counts from nothing. Taken from what it had
    # before, it would hide what the other ranks have counted. Its last pass
    # shows it where the start is not stated or falls into the same
    # millisecond.
    if before.born_ms != new.born_ms or new.step < before.step:
        return False
    return len(new.counts) == len(before.counts) == size


def _add_up(counts: Mapping[int, RankCounts], ranks: list[int]) -> list[int]:
    rows = [counts[rank].counts for rank in ranks]
    return list(map(sum, zip(*rows, strict=True)))
