"""One layer brought below a level of load, by many small changes at once.

The load that this answers: a group of hundreds of ranks in which many are
nearly as slow as the slowest. No single change makes a pass shorter there,
though a hundred of them together halve it. Each change here makes one rank
lighter that lies above the level, whether or not it is the slowest.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil

from linnetwind.placement_types import LayerMap

# The part of the level that one replica of an expert may take: with a whole
# level in one place, its rank has no room for any other expert.
_REPLICA_PART = 0.7
# The lightest ranks that are looked at for an exchange. More make a plan
# slower and hardly better.
_EXCHANGE_TARGETS = 6
# Exchanges that a layer may take for each rank; more circle.
_EXCHANGES_PER_RANK = 4
# An exchange has to make the slowest rank lighter by this part at least.
_LEAST_STEP = 0.001


@dataclass(frozen=True, slots=True)
class LevelTask:
    """A layer to be brought below a level.

    `size` is the number of slots of a rank and `blank` stands for an empty
    one. `tokens` is the load of each expert and of the blank, `slowness` the
    factor of each rank, `room` the experts that may be copied to each rank.
    `top` is the level, in tokens of a rank of usual speed.
    """

    layer: LayerMap
    size: int
    blank: int
    tokens: Sequence[float]
    slowness: Sequence[float]
    room: Sequence[int]
    top: float


@dataclass(frozen=True, slots=True)
class Levelled:
    """The layer after the changes, the copies to each rank, the slowest."""

    layer: LayerMap
    copies: tuple[int, ...]
    slowest: float


@dataclass(frozen=True, slots=True)
class _Exchange:
    """Two slots whose experts change places, and the slower rank after it."""

    slower: float
    heavy: int
    light: int


def level_layer(task: LevelTask, pause: Callable[[], None]) -> Levelled:
    """Bring the ranks of a layer below a level, as far as that goes.

    Args:
      task: The layer and the level.
      pause: Called after each change, so that a process that also serves
        callers can do so in between.

    Returns:
      The layer; every expert keeps a place, and no rank gets more copies
      than its room.
    """
    state = _Level(task)
    for expert in state.missing_replicas():
        state.place(expert)
        pause()
    exchanges = _EXCHANGES_PER_RANK * len(task.room)
    while exchanges and state.exchange():
        exchanges -= 1
        pause()
    return state.result()


class _Level:
    """A layer while it is being levelled."""

    def __init__(self, task: LevelTask) -> None:
        self._task = task
        self._slots = list(task.layer)
        self._held: list[set[int]] = [set() for _rank in task.room]
        self._holders: dict[int, set[int]] = defaultdict(set)
        for slot, held in enumerate(task.layer):
            self._take_slot(slot, held)
        self._first = [frozenset(each) for each in self._held]
        self._room = list(task.room)
        self._shares = [
            tokens / max(1, len(self._holders[expert]))
            for expert, tokens in enumerate(task.tokens)
        ]
        self._wanted = [
            max(1, ceil(tokens / (task.top * _REPLICA_PART)))
            for tokens in task.tokens[: task.blank]
        ]
        self._loads = [
            sum(self._shares[each] for each in experts) * slowness
            for experts, slowness in zip(self._held, task.slowness, strict=True)
        ]
        # The lightest rank first; entries of loads that have changed since
        # are passed over.
        self._queue = [(load, rank) for rank, load in enumerate(self._loads)]
        heapq.heapify(self._queue)

    def missing_replicas(self) -> list[int]:
        """Return the experts that lack replicas, the heaviest first."""
        lacking = [
            (self._task.tokens[expert] / wanted, expert)
            for expert, wanted in enumerate(self._wanted)
            for _replica in range(wanted - len(self._holders[expert]))
        ]
        return [expert for _share, expert in sorted(lacking, reverse=True)]

    def place(self, expert: int) -> None:
        """Add a replica at the lightest rank that has a slot for it."""
        slot = self._slot_for(expert)
        if slot is None:
            return
        gone = self._slots[slot]
        self._leave(slot, gone)
        self._enter(slot, expert)
        for changed in (gone, expert):
            if changed != self._task.blank:
                self._share_anew(changed)

    def exchange(self) -> bool:
        """Make the slowest rank lighter by one exchange.

        Returns:
          Whether one was found and the level was not reached before.
        """
        ranks = range(len(self._loads))
        slowest = max(ranks, key=self._loads.__getitem__)
        if self._loads[slowest] <= self._task.top:
            return False
        lightest = heapq.nsmallest(
            _EXCHANGE_TARGETS, ranks, key=self._loads.__getitem__
        )
        found = [
            each
            for target in lightest
            for each in self._exchanges(slowest, target)
        ]
        best = min(found, key=lambda each: each.slower, default=None)
        if best is None:
            return False
        heavy, light = self._slots[best.heavy], self._slots[best.light]
        for slot, gone in ((best.heavy, heavy), (best.light, light)):
            self._leave(slot, gone)
        for slot, expert in ((best.heavy, light), (best.light, heavy)):
            self._enter(slot, expert)
        return True

    def result(self) -> Levelled:
        """Return the layer as it is now."""
        copies = tuple(
            len(held - first)
            for held, first in zip(self._held, self._first, strict=True)
        )
        return Levelled(tuple(self._slots), copies, max(self._loads))

    def _take_slot(self, slot: int, expert: int) -> None:
        rank = slot // self._task.size
        if expert in self._held[rank]:
            # A second replica at the same rank takes nothing off it.
            self._slots[slot] = self._task.blank
        elif expert != self._task.blank:
            self._held[rank].add(expert)
            self._holders[expert].add(rank)

    def _slot_for(self, expert: int) -> int | None:
        """Return a slot at the lightest rank that can take a replica.

        A rank without room or spare slot never has one again while replicas
        are placed, so it is taken out of the queue.
        """
        passed_over = []
        slot = None
        while self._queue and slot is None:
            entry = heapq.heappop(self._queue)
            rank = entry[1]
            found = self._spare_slot(rank) if self._is_current(entry) else None
            if found is not None:
                passed_over.append(entry)
                slot = None if expert in self._held[rank] else found
        for entry in passed_over:
            heapq.heappush(self._queue, entry)
        return slot

    def _is_current(self, entry: tuple[float, int]) -> bool:
        load, rank = entry
        return load == self._loads[rank] and self._room[rank] > 0

    def _spare_slot(self, rank: int) -> int | None:
        """Return a rank's slot that is empty, or holds a needless replica."""
        first = rank * self._task.size
        slots = range(first, first + self._task.size)
        spare = [slot for slot in slots if self._is_spare(slot)]
        return min(spare, key=self._share_at, default=None)

    def _is_spare(self, slot: int) -> bool:
        expert = self._slots[slot]
        if expert == self._task.blank:
            return True
        return len(self._holders[expert]) > self._wanted[expert]

    def _share_at(self, slot: int) -> float:
        expert = self._slots[slot]
        return 0 if expert == self._task.blank else self._shares[expert]

    def _may(self, rank: int, expert: int) -> bool:
        is_copy = expert != self._task.blank and expert not in self._first[rank]
        return not is_copy or self._room[rank] > 0

    def _leave(self, slot: int, expert: int) -> None:
        rank = slot // self._task.size
        if expert != self._task.blank:
            self._held[rank].discard(expert)
            self._holders[expert].discard(rank)
            self._add_load(rank, -self._shares[expert])
            if expert not in self._first[rank]:
                self._room[rank] += 1

    def _enter(self, slot: int, expert: int) -> None:
        rank = slot // self._task.size
        self._slots[slot] = expert
        if expert != self._task.blank:
            self._held[rank].add(expert)
            self._holders[expert].add(rank)
            self._add_load(rank, self._shares[expert])
            if expert not in self._first[rank]:
                self._room[rank] -= 1

    def _add_load(self, rank: int, tokens: float) -> None:
        self._loads[rank] += tokens * self._task.slowness[rank]
        heapq.heappush(self._queue, (self._loads[rank], rank))

    def _share_anew(self, expert: int) -> None:
        """Spread an expert's load over the ranks that hold it now."""
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
            if self._may_come(slowest, self._slots[slot])
        ]
        return [
            each
            for heavy in range(slowest * size, (slowest + 1) * size)
            if self._slots[heavy] != self._task.blank
            and self._may_come(target, self._slots[heavy])
            for light in lights
            if (each := self._weigh(heavy, light)) is not None
        ]

    def _may_come(self, rank: int, expert: int) -> bool:
        if expert == self._task.blank:
            return True
        return expert not in self._held[rank] and self._may(rank, expert)

    def _weigh(self, heavy: int, light: int) -> _Exchange | None:
        moved = self._share_at(heavy) - self._share_at(light)
        if moved <= 0:
            return None
        slowest, target = heavy // self._task.size, light // self._task.size
        before = self._loads[slowest]
        slower = max(
            before - moved * self._task.slowness[slowest],
            self._loads[target] + moved * self._task.slowness[target],
        )
        if slower > before * (1 - _LEAST_STEP):
            return None
        return _Exchange(slower, heavy, light)
