"""The state of one layer while a plan is made: loads, and gains of changes.

A change affects only the ranks that hold the experts concerned, so its gain is
computed from those and from the slowest rank that it leaves alone. Adding up
the loads of all ranks for each candidate took ten times as long.
"""

import heapq
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import islice

from linnetwind.placement_pack import repack
from linnetwind.placement_types import CopyLimits, LayerMap, Move

# How many of the least loaded ranks are tried as the target for part of the
# slowest rank's load. Trying more makes planning slower and the plan hardly
# better.
MAX_TARGET_RANKS = 4
# Only the heaviest experts of the slowest rank are tried as replicas, and only
# the lightest experts of a target rank are tried as the one to be replaced: a
# lighter replica gains less, and replacing a heavier expert costs more. Of the
# possible exchanges of a heavy expert only the ones that come nearest to
# halving the difference between the two ranks are tried. With all combinations
# tried, a plan for 8 ranks of 11 slots in 6 layers took 70 ms of processor time
# in the mean and 163 ms at most; with these limits 25 and 38 ms, at the same
# skew (synthetic demand).
MAX_HEAVY_EXPERTS = 5
MAX_REPLACED_EXPERTS = 3
EXCHANGES_PER_EXPERT = 2


@dataclass(frozen=True)
class LayerChange:
    """Moves that are made together, and the step time that they save."""

    gain: float
    moves: tuple[Move, ...]

    @property
    def rate(self) -> float:
        """Return the gain per expert moved."""
        return self.gain / len(self.moves)


class CopyBudget:
    """The copies that a plan may still make to each rank, over all layers."""

    def __init__(self, limits: CopyLimits) -> None:
        """Start with no copies made.

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

    def record_copy(self, rank: int, layer: int) -> None:
        """Record a copy."""
        self._by_rank[rank] += 1
        self._by_layer[rank, layer] += 1


_Candidate = tuple[tuple[Move, ...], dict[int, float]]


class LayerState:
    """A layer while its plan is made."""

    def __init__(
        self,
        number: int,
        layer: LayerMap,
        size: int,
        tokens: Sequence[float],
        slowness: Sequence[float],
        copy_budget: CopyBudget | None = None,
    ) -> None:
        """Compute the loads of the ranks.

        Args:
          number: The number of the layer, for its moves.
          layer: The layer's map.
          size: The number of slots per rank.
          tokens: The load of each expert.
          slowness: The slowness factor of each rank.
          copy_budget: The copies that may still be made, shared with the other
            layers; None if there is no limit.
        """
        self._copy_budget = copy_budget
        self._initial = frozenset(
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
        self._loads = self._sum_loads()

    @property
    def layer(self) -> LayerMap:
        """Return the map with the changes made so far."""
        return tuple(self._slots)

    @property
    def loads(self) -> list[float]:
        """Return the time of each rank."""
        return self._loads

    def apply(self, change: LayerChange) -> None:
        """Apply a change.

        Args:
          change: A change that `best_change` returned.
        """
        for move in change.moves:
            rank = move.slot // self._size
            if self._copy_budget is not None and self._is_copy(
                rank, move.expert
            ):
                self._copy_budget.record_copy(rank, self._number)
            removed = self._slots[move.slot]
            touched = {removed, move.expert}
            self._add_loads(touched, -1)
            self._slots[move.slot] = move.expert
            self._counts.subtract((removed,))
            self._counts.update((move.expert,))
            self._holders[removed][rank] -= 1
            if not self._holders[removed][rank]:
                self._holders[removed].pop(rank)
            self._holders[move.expert][rank] += 1
            self._add_loads(touched, 1)

    def _add_loads(self, experts: set[int], sign: int) -> None:
        """Add the loads of experts to their ranks, or subtract them.

        Only the ranks that hold the experts are updated: summing all slots
        after each change would take time in proportion to the size of the
        group.
        """
        for expert in experts:
            share = sign * self._share(expert) if self._counts[expert] else 0
            for holder, slots in self._holders[expert].items():
                self._loads[holder] += share * slots * self._slowness[holder]

    def allows(self, change: LayerChange) -> bool:
        """Return whether the copy limits still allow a change.

        Args:
          change: A change that `best_change` returned before other layers
            changed.

        Returns:
          Whether each rank that needs a copy may still get it.
        """
        copies = (
            (move.slot // self._size, move.expert) for move in change.moves
        )
        return all(self._may_hold(rank, expert) for rank, expert in copies)

    def best_change(self) -> LayerChange | None:
        """Return the change with the largest gain per expert moved.

        Returns:
          The change, or None if no change makes the slowest rank faster.
        """
        ranks = range(len(self._loads))
        slowest = max(ranks, key=self._loads.__getitem__)
        allowed_ranks = [rank for rank in ranks if self._may_copy_to(rank)]
        target_ranks = heapq.nsmallest(
            MAX_TARGET_RANKS, allowed_ranks, key=self._loads.__getitem__
        )
        # The ranks from the slowest on, to find the slowest one that a change
        # does not affect.
        ranks_by_load = sorted(ranks, key=self._loads.__getitem__, reverse=True)
        changes = (
            LayerChange(
                self._loads[slowest]
                - self._max_load_after(deltas, ranks_by_load),
                moves,
            )
            for rank in target_ranks
            for moves, deltas in self._candidates(slowest, rank)
        )
        best = max(changes, key=lambda change: change.rate, default=None)
        if best is not None and best.gain > 0:
            return best
        return self._repack_change(max(self._loads))

    def _repack_change(self, slowest: float) -> LayerChange | None:
        # Single changes end where none of them helps any more, some per cent
        # above the load that packing from scratch reaches. Packing moves most
        # of the experts, so it is not used where copies are limited.
        if self._copy_budget is not None:
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
        return LayerChange(gain, moves) if moves and gain > 0 else None

    def _sum_loads(self) -> list[float]:
        loads = [float(0)] * len(self._slowness)
        for slot, expert in enumerate(self._slots):
            rank = slot // self._size
            loads[rank] += self._share(expert) * self._slowness[rank]
        return loads

    def _share(self, expert: int, extra: int = 0) -> float:
        return self._tokens[expert] / (self._counts[expert] + extra)

    def _max_load_after(
        self, deltas: dict[int, float], ranks_by_load: Sequence[int]
    ) -> float:
        touched = max(self._loads[rank] + deltas[rank] for rank in deltas)
        others = (
            self._loads[rank] for rank in ranks_by_load if rank not in deltas
        )
        return max(touched, next(others, touched))

    def _candidates(self, slowest: int, target: int) -> Iterator[_Candidate]:
        """Yield replicas of the slowest rank's experts, and exchanges."""
        slowest_slots = self._by_share(slowest)
        target_slots = self._by_share(target)
        target_experts = self._experts_at(target_slots)
        movable_slots = [
            slot
            for slot in slowest_slots
            if self._slots[slot] not in target_experts
        ]
        # Many changes gain the same amount, down to the load of the next
        # slowest rank. Of these the first one is applied, so the heaviest
        # expert comes first: in the opposite order 72 ranks kept a skew of 3.2,
        # in this one 2.6.
        heaviest_slots = movable_slots[: -MAX_HEAVY_EXPERTS - 1 : -1]
        for slot in heaviest_slots:
            yield from self._replica_candidates(
                self._slots[slot], target_slots, target
            )
        slowest_experts = self._experts_at(slowest_slots)
        other_slots = [
            each
            for each in target_slots
            if self._slots[each] not in slowest_experts
        ]
        half_difference = (self._loads[slowest] - self._loads[target]) / 2
        for slot in heaviest_slots:
            share = self._share_at(slot) - half_difference
            nearest = bisect_left(other_slots, share, key=self._share_at)
            first = max(0, nearest - EXCHANGES_PER_EXPERT // 2)
            for other in other_slots[first : first + EXCHANGES_PER_EXPERT]:
                if self._may_hold(slowest, self._slots[other]):
                    yield self._exchange_candidate(slot, other)

    def _replica_candidates(
        self, heavy: int, target_slots: Sequence[int], rank: int
    ) -> Iterator[_Candidate]:
        spare = (
            slot for slot in target_slots if self._counts[self._slots[slot]] > 1
        )
        for light in islice(spare, MAX_REPLACED_EXPERTS):
            move = Move(self._number, light, heavy)
            yield (move,), self._replica_deltas(move, rank)

    def _experts_at(self, slots: Sequence[int]) -> set[int]:
        return {self._slots[slot] for slot in slots}

    def _share_at(self, slot: int) -> float:
        return self._share(self._slots[slot])

    def _by_share(self, rank: int) -> list[int]:
        """Return the slots of a rank, the one with the lightest share first."""
        slots = range(rank * self._size, (rank + 1) * self._size)
        return sorted(slots, key=self._share_at)

    def _may_copy_to(self, rank: int) -> bool:
        return self._copy_budget is None or self._copy_budget.allows(
            rank, self._number
        )

    def _may_hold(self, rank: int, expert: int) -> bool:
        return self._may_copy_to(rank) or not self._is_copy(rank, expert)

    def _is_copy(self, rank: int, expert: int) -> bool:
        blank = self._copy_budget.limits.blank if self._copy_budget else None
        return expert != blank and (rank, expert) not in self._initial

    def _replica_deltas(self, move: Move, rank: int) -> dict[int, float]:
        light = self._slots[move.slot]
        deltas: dict[int, float] = defaultdict(float)
        for expert, extra in ((move.expert, 1), (light, -1)):
            change = self._share(expert, extra) - self._share(expert)
            for holder, slots in self._holders[expert].items():
                deltas[holder] += change * slots * self._slowness[holder]
            share = self._share(expert, extra)
            deltas[rank] += extra * share * self._slowness[rank]
        return deltas

    def _exchange_candidate(self, slot: int, other: int) -> _Candidate:
        heavy, light = self._slots[slot], self._slots[other]
        slowest, rank = slot // self._size, other // self._size
        heavy_move = Move(self._number, other, heavy)
        light_move = Move(self._number, slot, light)
        difference = self._share(heavy) - self._share(light)
        deltas = {
            slowest: -difference * self._slowness[slowest],
            rank: difference * self._slowness[rank],
        }
        return (heavy_move, light_move), deltas
