"""One layer of a plan: its loads, and what a change would gain.

A change touches only the ranks that hold the experts concerned, so its gain
is found from those and the slowest rank that is not touched. Adding up all
ranks anew for each candidate took ten times as long.
"""

import heapq
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import islice

from linnetwind.placement_pack import repack
from linnetwind.placement_types import CopyLimits, LayerMap, Move

# The lightest ranks that are tried as a target for a part of the slowest
# rank's work; more make a plan slower and hardly better.
TARGETS = 4
# Of the slowest rank's experts only the heaviest, and of a target's only the
# lightest, are tried as a replica: a lighter part gains less, and a heavier
# one that gives way costs more. Of exchanges those two are tried that come
# nearest to halving the difference of the ranks. Tried all with all, a plan
# for 8 ranks of 11 places in 6 layers took 70 ms of processor in the mean
# and 163 at most; so it takes 25 and 38, with the same skew (made demand).
HEAVIEST = 5
LIGHTEST = 3
NEAREST = 2


@dataclass(frozen=True)
class Change:
    """Moves that belong together, and the time that they save in a step."""

    gain: float
    moves: tuple[Move, ...]

    @property
    def rate(self) -> float:
        """Return the gain for each expert that is moved."""
        return self.gain / len(self.moves)


class CopyRoom:
    """The copies that a plan may still bring to each rank, in all layers."""

    def __init__(self, limits: CopyLimits) -> None:
        """Start with the whole room.

        Args:
          limits: The limits of one plan.
        """
        self.limits = limits
        self._by_rank: Counter[int] = Counter()
        self._by_layer: Counter[tuple[int, int]] = Counter()

    def allows(self, rank: int, layer: int) -> bool:
        """Return whether one more expert may be copied to a rank."""
        return (
            self._by_rank[rank] < self.limits.per_rank
            and self._by_layer[rank, layer] < self.limits.per_layer
        )

    def take(self, rank: int, layer: int) -> None:
        """Take note of a copy."""
        self._by_rank[rank] += 1
        self._by_layer[rank, layer] += 1


_Candidate = tuple[tuple[Move, ...], dict[int, float]]


class LayerState:
    """A layer while its plan is being made."""

    def __init__(
        self,
        number: int,
        layer: LayerMap,
        size: int,
        tokens: Sequence[float],
        slowness: Sequence[float],
        room: CopyRoom | None = None,
    ) -> None:
        """Add up the loads.

        Args:
          number: The layer's number, for its moves.
          layer: The layer's map.
          size: The slots of a rank.
          tokens: The load of each expert.
          slowness: The factor of each rank.
          room: What may be copied, shared with the other layers; None if
            there is no limit.
        """
        self._room = room
        self._first = frozenset(
            (slot // size, expert) for slot, expert in enumerate(layer)
        )
        self._number = number
        self._slots = list(layer)
        self._size = size
        self._tokens = tokens
        self._slowness = slowness
        self._counts = Counter(layer)
        self._holders: dict[int, Counter[int]] = defaultdict(Counter)
        for slot, expert in enumerate(layer):
            self._holders[expert][slot // size] += 1
        self._loads = self._add_up()

    @property
    def layer(self) -> LayerMap:
        """Return the map with the changes made so far."""
        return tuple(self._slots)

    @property
    def loads(self) -> list[float]:
        """Return the time of each rank."""
        return self._loads

    def apply(self, change: Change) -> None:
        """Make a change.

        Args:
          change: What `best_change` gave.
        """
        for move in change.moves:
            rank = move.slot // self._size
            if self._room is not None and self._is_copy(rank, move.expert):
                self._room.take(rank, self._number)
            gone = self._slots[move.slot]
            touched = {gone, move.expert}
            self._add_loads(touched, -1)
            self._slots[move.slot] = move.expert
            self._counts.subtract((gone,))
            self._counts.update((move.expert,))
            self._holders[gone][rank] -= 1
            if not self._holders[gone][rank]:
                self._holders[gone].pop(rank)
            self._holders[move.expert][rank] += 1
            self._add_loads(touched, 1)

    def _add_loads(self, experts: set[int], sign: int) -> None:
        """Add the loads of experts to their ranks, or take them off.

        Only the ranks that hold them are touched: adding up all slots after
        each change grows with the size of the group.
        """
        for expert in experts:
            share = sign * self._share(expert) if self._counts[expert] else 0
            for holder, slots in self._holders[expert].items():
                self._loads[holder] += share * slots * self._slowness[holder]

    def allows(self, change: Change) -> bool:
        """Return whether there still is room for a change's copies.

        Args:
          change: What `best_change` gave before other layers changed.

        Returns:
          Whether each rank that gets a copy has room for it.
        """
        targets = (
            (each.slot // self._size, each.expert) for each in change.moves
        )
        return all(self._may_go(rank, expert) for rank, expert in targets)

    def best_change(self) -> Change | None:
        """Return the change with the largest gain for each expert moved.

        Returns:
          The change, or None if none makes the slowest rank faster.
        """
        ranks = range(len(self._loads))
        slowest = max(ranks, key=self._loads.__getitem__)
        open_ranks = [rank for rank in ranks if self._has_room(rank)]
        lightest = heapq.nsmallest(
            TARGETS, open_ranks, key=self._loads.__getitem__
        )
        # The slowest ranks in order, to find one that a change leaves alone.
        order = sorted(ranks, key=self._loads.__getitem__, reverse=True)
        changes = (
            Change(self._loads[slowest] - self._reached(deltas, order), moves)
            for rank in lightest
            for moves, deltas in self._candidates(slowest, rank)
        )
        best = max(changes, key=lambda each: each.rate, default=None)
        if best is not None and best.gain > 0:
            return best
        return self._repacked(max(self._loads))

    def _repacked(self, slowest: float) -> Change | None:
        # Changing one expert after the other ends where no single change
        # helps, some per cent above what packing from scratch reaches. That
        # moves most experts, so it is out of the question under a limit.
        if self._room is not None:
            return None
        slots = repack(self.layer, self._size, self._tokens, self._slowness)
        moves = tuple(
            Move(self._number, slot, expert)
            for slot, expert in enumerate(slots)
            if expert != self._slots[slot]
        )
        packed = LayerState(
            self._number, slots, self._size, self._tokens, self._slowness
        )
        gain = slowest - max(packed.loads)
        return Change(gain, moves) if moves and gain > 0 else None

    def _add_up(self) -> list[float]:
        loads = [float(0)] * len(self._slowness)
        for slot, expert in enumerate(self._slots):
            rank = slot // self._size
            loads[rank] += self._share(expert) * self._slowness[rank]
        return loads

    def _share(self, expert: int, extra: int = 0) -> float:
        return self._tokens[expert] / (self._counts[expert] + extra)

    def _reached(self, deltas: dict[int, float], order: Sequence[int]) -> float:
        touched = max(self._loads[rank] + deltas[rank] for rank in deltas)
        others = (self._loads[rank] for rank in order if rank not in deltas)
        return max(touched, next(others, touched))

    def _candidates(self, slowest: int, rank: int) -> Iterator[_Candidate]:
        """Yield replicas of the slowest rank's experts, and exchanges."""
        mine = self._by_share(slowest)
        theirs = self._by_share(rank)
        held = self._experts_at(theirs)
        heavy = [slot for slot in mine if self._slots[slot] not in held]
        # Many changes gain the same, as far as the next rank that is slow.
        # The heaviest comes first and so is the one that is made: in the other
        # order 72 ranks kept a skew of 3.2 where this leaves 2.6.
        heaviest = heavy[: -HEAVIEST - 1 : -1]
        for slot in heaviest:
            yield from self._replicas(self._slots[slot], theirs, rank)
        own = self._experts_at(mine)
        foreign = [each for each in theirs if self._slots[each] not in own]
        half = (self._loads[slowest] - self._loads[rank]) / 2
        for slot in heaviest:
            share = self._share_at(slot) - half
            place = bisect_left(foreign, share, key=self._share_at)
            first = max(0, place - NEAREST // 2)
            for other in foreign[first : first + NEAREST]:
                if self._may_go(slowest, self._slots[other]):
                    yield self._exchange(slot, other)

    def _replicas(
        self, heavy: int, slots: Sequence[int], rank: int
    ) -> Iterator[_Candidate]:
        spare = (each for each in slots if self._counts[self._slots[each]] > 1)
        for light in islice(spare, LIGHTEST):
            there = Move(self._number, light, heavy)
            yield (there,), self._replicated(there, rank)

    def _experts_at(self, slots: Sequence[int]) -> set[int]:
        return {self._slots[slot] for slot in slots}

    def _share_at(self, slot: int) -> float:
        return self._share(self._slots[slot])

    def _by_share(self, rank: int) -> list[int]:
        """Return the slots of a rank, that with the lightest part first."""
        slots = range(rank * self._size, (rank + 1) * self._size)
        return sorted(slots, key=self._share_at)

    def _has_room(self, rank: int) -> bool:
        return self._room is None or self._room.allows(rank, self._number)

    def _may_go(self, rank: int, expert: int) -> bool:
        return self._has_room(rank) or not self._is_copy(rank, expert)

    def _is_copy(self, rank: int, expert: int) -> bool:
        blank = self._room.limits.blank if self._room else None
        return expert != blank and (rank, expert) not in self._first

    def _replicated(self, move: Move, rank: int) -> dict[int, float]:
        light = self._slots[move.slot]
        deltas: dict[int, float] = defaultdict(float)
        for expert, extra in ((move.expert, 1), (light, -1)):
            change = self._share(expert, extra) - self._share(expert)
            for holder, slots in self._holders[expert].items():
                deltas[holder] += change * slots * self._slowness[holder]
            share = self._share(expert, extra)
            deltas[rank] += extra * share * self._slowness[rank]
        return deltas

    def _exchange(self, slot: int, other: int) -> _Candidate:
        heavy, light = self._slots[slot], self._slots[other]
        slowest, rank = slot // self._size, other // self._size
        there = Move(self._number, other, heavy)
        back = Move(self._number, slot, light)
        difference = self._share(heavy) - self._share(light)
        deltas = {
            slowest: -difference * self._slowness[slowest],
            rank: difference * self._slowness[rank],
        }
        return (there, back), deltas
