"""Bring all ranks of one layer below a load limit by many small changes.

Handles groups of hundreds of ranks in which many ranks are nearly as slow as
the slowest. There no single change makes a pass shorter, though a hundred of
them together halve it. Each change here takes load off one rank above the
limit, whether or not it is the slowest.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil

from linnetwind.placement_types import LayerMap

# The largest fraction of the load limit that one replica of an expert may take.
# A replica that took the whole limit would leave no load for other experts on
# its rank.
_MAX_REPLICA_FRACTION = 0.7
# How many of the least loaded ranks are tried for an exchange. Trying more
# makes planning slower and the plan hardly better.
_MAX_EXCHANGE_TARGETS = 6
# The exchanges of a layer, per rank. Further exchanges go round in circles.
_EXCHANGES_PER_RANK = 4
# The smallest fraction by which an exchange has to reduce the load of the
# slowest rank.
_MIN_IMPROVEMENT = 0.001


@dataclass(frozen=True, slots=True)
class LevelTask:
    """A layer whose ranks are to be brought below a load limit.

    `size` is the number of slots per rank, and `blank` the expert number that
    stands for an empty slot. `tokens` is the load of each expert and of the
    blank, `slowness` the slowness factor of each rank, `copy_budget` the number
    of experts that may be copied to each rank. `max_load` is the limit, in
    tokens of a rank of usual speed.
    """

    layer: LayerMap
    size: int
    blank: int
    tokens: Sequence[float]
    slowness: Sequence[float]
    copy_budget: Sequence[int]
    max_load: float


@dataclass(frozen=True, slots=True)
class LevelledLayer:
    """The resulting layer.

    `copies` is the number of experts copied to each rank, and `slowest` the
    load of the slowest rank.
    """

    layer: LayerMap
    copies: tuple[int, ...]
    slowest: float


@dataclass(frozen=True, slots=True)
class _Exchange:
    """Two slots that swap their experts.

    `slower` is the load of the slower of both ranks after the exchange.
    """

    slower: float
    heavy: int
    light: int


def level_layer(task: LevelTask, pause: Callable[[], None]) -> LevelledLayer:
    """Bring the ranks of a layer below the load limit, as far as possible.

    Args:
      task: The layer and the limit.
      pause: Called after each change, so that a process that also serves
        callers can do so in between.

    Returns:
      The layer. Every expert keeps a slot, and no rank gets more copies than
      its budget.
    """
    state = _LayerLeveller(task)
    for expert in state.missing_replicas():
        state.add_replica(expert)
        pause()
    exchanges = _EXCHANGES_PER_RANK * len(task.copy_budget)
    while exchanges and state.exchange():
        exchanges -= 1
        pause()
    return state.result()


class _LayerLeveller:
    """A layer while its load is levelled."""

    def __init__(self, task: LevelTask) -> None:
        self._task = task
        self._slots = list(task.layer)
        self._held: list[set[int]] = [set() for _rank in task.copy_budget]
        self._holders: dict[int, set[int]] = defaultdict(set)
        for slot, held in enumerate(task.layer):
            self._index_slot(slot, held)
        self._initial = [frozenset(each) for each in self._held]
        self._copy_budget = list(task.copy_budget)
        self._shares = [
            tokens / max(1, len(self._holders[expert]))
            for expert, tokens in enumerate(task.tokens)
        ]
        self._replica_targets = [
            max(1, ceil(tokens / (task.max_load * _MAX_REPLICA_FRACTION)))
            for tokens in task.tokens[: task.blank]
        ]
        self._loads = [
            sum(self._shares[each] for each in experts) * slowness
            for experts, slowness in zip(self._held, task.slowness, strict=True)
        ]
        # Ranks by load, the lightest first. Outdated entries, whose load has
        # changed since, are skipped.
        self._queue = [(load, rank) for rank, load in enumerate(self._loads)]
        heapq.heapify(self._queue)

    def missing_replicas(self) -> list[int]:
        """Return the experts that lack replicas, the largest share first."""
        missing = [
            (self._task.tokens[expert] / wanted, expert)
            for expert, wanted in enumerate(self._replica_targets)
            for _replica in range(wanted - len(self._holders[expert]))
        ]
        return [expert for _share, expert in sorted(missing, reverse=True)]

    def add_replica(self, expert: int) -> None:
        """Add a replica on the least loaded rank that has a slot for it."""
        slot = self._slot_for(expert)
        if slot is None:
            return
        removed = self._slots[slot]
        self._remove(slot, removed)
        self._insert(slot, expert)
        for changed in (removed, expert):
            if changed != self._task.blank:
                self._update_share(changed)

    def exchange(self) -> bool:
        """Reduce the load of the slowest rank by one exchange.

        Returns:
          Whether an exchange was made; False if the limit is already reached or
          no exchange helps.
        """
        ranks = range(len(self._loads))
        slowest = max(ranks, key=self._loads.__getitem__)
        if self._loads[slowest] <= self._task.max_load:
            return False
        targets = heapq.nsmallest(
            _MAX_EXCHANGE_TARGETS, ranks, key=self._loads.__getitem__
        )
        candidates = [
            each
            for target in targets
            for each in self._exchanges(slowest, target)
        ]
        best = min(candidates, key=lambda each: each.slower, default=None)
        if best is None:
            return False
        heavy, light = self._slots[best.heavy], self._slots[best.light]
        for slot, removed in ((best.heavy, heavy), (best.light, light)):
            self._remove(slot, removed)
        for slot, expert in ((best.heavy, light), (best.light, heavy)):
            self._insert(slot, expert)
        return True

    def result(self) -> LevelledLayer:
        """Return the layer in its current state."""
        copies = tuple(
            len(held - initial)
            for held, initial in zip(self._held, self._initial, strict=True)
        )
        return LevelledLayer(tuple(self._slots), copies, max(self._loads))

    def _index_slot(self, slot: int, expert: int) -> None:
        rank = slot // self._task.size
        if expert in self._held[rank]:
            # A second replica on the same rank takes no load off it.
            self._slots[slot] = self._task.blank
        elif expert != self._task.blank:
            self._held[rank].add(expert)
            self._holders[expert].add(rank)

    def _slot_for(self, expert: int) -> int | None:
        """Return a slot for a replica on the least loaded rank that has one.

        A rank without copy budget or spare slot never gets one back while
        replicas are added, so it is removed from the queue.
        """
        entries_to_keep = []
        slot = None
        while self._queue and slot is None:
            entry = heapq.heappop(self._queue)
            rank = entry[1]
            spare = self._spare_slot(rank) if self._is_current(entry) else None
            if spare is not None:
                entries_to_keep.append(entry)
                slot = None if expert in self._held[rank] else spare
        for entry in entries_to_keep:
            heapq.heappush(self._queue, entry)
        return slot

    def _is_current(self, entry: tuple[float, int]) -> bool:
        load, rank = entry
        return load == self._loads[rank] and self._copy_budget[rank] > 0

    def _spare_slot(self, rank: int) -> int | None:
        """Return a rank's slot that is empty or holds a superfluous replica."""
        first = rank * self._task.size
        slots = range(first, first + self._task.size)
        spare = [slot for slot in slots if self._is_spare(slot)]
        return min(spare, key=self._share_at, default=None)

    def _is_spare(self, slot: int) -> bool:
        expert = self._slots[slot]
        if expert == self._task.blank:
            return True
        return len(self._holders[expert]) > self._replica_targets[expert]

    def _share_at(self, slot: int) -> float:
        expert = self._slots[slot]
        return 0 if expert == self._task.blank else self._shares[expert]

    def _may_copy(self, rank: int, expert: int) -> bool:
        is_copy = (
            expert != self._task.blank and expert not in self._initial[rank]
        )
        return not is_copy or self._copy_budget[rank] > 0

    def _remove(self, slot: int, expert: int) -> None:
        rank = slot // self._task.size
        if expert != self._task.blank:
            self._held[rank].discard(expert)
            self._holders[expert].discard(rank)
            self._add_load(rank, -self._shares[expert])
            if expert not in self._initial[rank]:
                self._copy_budget[rank] += 1

    def _insert(self, slot: int, expert: int) -> None:
        rank = slot // self._task.size
        self._slots[slot] = expert
        if expert != self._task.blank:
            self._held[rank].add(expert)
            self._holders[expert].add(rank)
            self._add_load(rank, self._shares[expert])
            if expert not in self._initial[rank]:
                self._copy_budget[rank] -= 1

    def _add_load(self, rank: int, tokens: float) -> None:
        self._loads[rank] += tokens * self._task.slowness[rank]
        heapq.heappush(self._queue, (self._loads[rank], rank))

    def _update_share(self, expert: int) -> None:
        """Divide an expert's load among the ranks that hold it now."""
        holders = self._holders[expert]
        share = self._task.tokens[expert] / len(holders)
        for rank in holders:
            self._add_load(rank, share - self._shares[expert])
        self._shares[expert] = share

    def _exchanges(self, slowest: int, target: int) -> list[_Exchange]:
        if slowest == target:
            return []
        size = self._task.size
        lights = [
            slot
            for slot in range(target * size, (target + 1) * size)
            if self._may_receive(slowest, self._slots[slot])
        ]
        return [
            each
            for heavy in range(slowest * size, (slowest + 1) * size)
            if self._slots[heavy] != self._task.blank
            and self._may_receive(target, self._slots[heavy])
            for light in lights
            if (each := self._evaluate_exchange(heavy, light)) is not None
        ]

    def _may_receive(self, rank: int, expert: int) -> bool:
        if expert == self._task.blank:
            return True
        return expert not in self._held[rank] and self._may_copy(rank, expert)

    def _evaluate_exchange(self, heavy: int, light: int) -> _Exchange | None:
        moved = self._share_at(heavy) - self._share_at(light)
        if moved <= 0:
            return None
        slowest, target = heavy // self._task.size, light // self._task.size
        before = self._loads[slowest]
        slower = max(
            before - moved * self._task.slowness[slowest],
            self._loads[target] + moved * self._task.slowness[target],
        )
        if slower > before * (1 - _MIN_IMPROVEMENT):
            return None
        return _Exchange(slower, heavy, light)
