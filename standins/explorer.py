"""Explores the expert-map switch: every order of events for a small group.

Notes and orders once sent can arrive at any time, any number of times, or
never; that covers loss, delay, repetition and reordering at once. Sides and
ranks may restart while the budget lasts. A coordinator that was paused is
one whose notes arrive late.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import product
from typing import Any

from linnetwind.mapcoordinator import (
    Coordination,
    apply_prepared,
    request_preparation,
)
from linnetwind.mapswitch import handle_note, handle_status
from linnetwind.mapswitch_side import Participant, make_participant
from linnetwind.mapswitch_types import (
    Action,
    Arm,
    Arming,
    Attempt,
    JoinQuery,
    Member,
    Note,
    Prepare,
    Prepared,
    RankStatus,
    Send,
)
from standins.rank_model import (
    apply_order,
    complete,
    enter,
    may_enter,
    restarted,
)

FAULT_RATE = 0.03


class Interned:
    """Numbers for values, in the order in which they were first met.

    Sets of small integers are fast, and are walked in the same order in
    every run, so that a seed always gives the same walk.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.numbers: dict[Any, int] = {}
        self.values: list[Any] = []

    def number(self, value: Any) -> int:
        """Return the number of a value."""
        if value not in self.numbers:
            self.numbers[value] = len(self.values)
            self.values.append(value)
        return self.numbers[value]


@dataclass(frozen=True)
class World:
    """Everything that matters for what can happen next.

    `notes` and `orders` hold numbers of what has ever been sent.
    """

    sides: tuple[Participant, ...]
    ranks: tuple[RankStatus, ...]
    notes: frozenset[int]
    orders: frozenset[int]
    side_restarts: int
    rank_restarts: int
    violation: str = ''


@dataclass(frozen=True)
class Scenario:
    """The size of the group, what is tried and what may fail."""

    size: int
    attempts: tuple[Arming, ...]
    side_restarts: int = 1
    rank_restarts: int = 1
    last_step: int = 3
    first_map: str | None = 'old'


def attempt(number: int, coordinator: int, step: int, epoch: int = 1) -> Arming:
    """Return an attempt to switch to a map of its own."""
    found = Attempt(epoch, number, coordinator)
    return Arming(found, step, f'map-{epoch}-{number}')


class Explorer:
    """One scenario and the values met in it."""

    def __init__(self, scenario: Scenario) -> None:
        """Prepare the first world."""
        self.scenario = scenario
        self.notes = Interned()
        self.orders = Interned()

    def start(self) -> World:
        """Return a group on one map, with all attempts announced."""
        scenario = self.scenario
        size = scenario.size
        staged = frozenset(each.map_id for each in scenario.attempts)
        notes = [
            self.notes.number((rank, Prepare(each.attempt, each.map_id)))
            for each in scenario.attempts
            for rank in range(size)
        ]
        rank = RankStatus(1, map_id=scenario.first_map, staged=staged)
        return World(
            tuple(make_participant(number, size, 1) for number in range(size)),
            (rank,) * size,
            frozenset(notes),
            frozenset(),
            scenario.side_restarts,
            scenario.rank_restarts,
        )

    def moves(self, world: World) -> Iterator[Callable[[], World]]:
        """Yield everything that can happen next, except faults."""
        for rank, status in enumerate(world.ranks):
            yield lambda rank=rank: self.see_status(world, rank)
            if may_enter(status) and status.step < self.scenario.last_step:
                yield lambda rank=rank, status=status: with_rank(
                    world, rank, enter(status)
                )
        for number in sorted(world.notes):
            target, note = self.notes.values[number]
            if not isinstance(note, Prepared):
                yield lambda target=target, note=note: self.deliver(
                    world, target, note
                )
        for number in sorted(world.orders):
            rank, order = self.orders.values[number]
            yield lambda rank=rank, order=order: with_rank(
                world, rank, apply_order(world.ranks[rank], order)
            )
        for arming in self.scenario.attempts:
            for members in self.preparations(world, arming):
                yield lambda arming=arming, members=members: self.send_arm(
                    world, arming, members
                )

    def faults(self, world: World) -> Iterator[Callable[[], World]]:
        """Yield the faults that the budget still allows."""
        for rank in range(self.scenario.size):
            if world.side_restarts:
                yield lambda rank=rank: self.restart_side(world, rank)
            if world.rank_restarts:
                yield lambda rank=rank: self.restart_rank(world, rank)

    def restart_side(self, world: World, rank: int) -> World:
        """Restart a side: it forgets everything.

        Its orders go over connections on its own host, which end with it;
        a new side waits until they must have arrived (`side_group`).
        """
        sides = list(world.sides)
        old = sides[rank]
        sides[rank] = make_participant(rank, old.size, old.incarnation + 1)
        return replace(
            world,
            sides=tuple(sides),
            orders=self.orders_without(world, rank),
            side_restarts=world.side_restarts - 1,
        )

    def restart_rank(self, world: World, rank: int) -> World:
        """Restart a rank; orders to the old process die with it."""
        new = with_rank(world, rank, restarted(world.ranks[rank]))
        return replace(
            new,
            orders=self.orders_without(world, rank),
            rank_restarts=world.rank_restarts - 1,
        )

    def orders_without(self, world: World, rank: int) -> frozenset[int]:
        """Return the orders under way to the other ranks."""
        return frozenset(
            number
            for number in world.orders
            if self.orders.values[number][0] != rank
        )

    def preparations(
        self, world: World, arming: Arming
    ) -> Iterator[tuple[Member, ...]]:
        """Yield the member lists that a coordinator can have collected."""
        choices: list[list[Member]] = [[] for _rank in world.ranks]
        for number in sorted(world.notes):
            _target, note = self.notes.values[number]
            if isinstance(note, Prepared) and note.attempt == arming.attempt:
                member = Member(note.generation, note.incarnation)
                if member not in choices[note.rank]:
                    choices[note.rank].append(member)
        for members in product(*choices):
            known = self.notes.numbers.get((0, Arm(arming, members)))
            if known is None or known not in world.notes:
                yield members

    def send_arm(
        self, world: World, arming: Arming, members: tuple[Member, ...]
    ) -> World:
        """Send an arming to all ranks."""
        arms = {
            self.notes.number((rank, Arm(arming, members)))
            for rank in range(len(members))
        }
        return replace(world, notes=world.notes | arms)

    def see_status(self, world: World, rank: int) -> World:
        """Let a side read its engine's status."""
        side, actions = handle_status(world.sides[rank], world.ranks[rank])
        return self.perform(world, rank, side, actions)

    def deliver(self, world: World, target: int, note: Note) -> World:
        """Deliver a note; a joining rank's question meets a fresh status."""
        if isinstance(note, JoinQuery):
            world = self.see_status(world, target)
        side, actions = handle_note(world.sides[target], note)
        return self.perform(world, target, side, actions)

    def perform(
        self,
        world: World,
        rank: int,
        side: Participant,
        actions: tuple[Action, ...],
    ) -> World:
        """Put a side's actions under way."""
        notes, orders = set(world.notes), set(world.orders)
        for action in actions:
            if isinstance(action, Send):
                pair = (action.target, action.note)
                notes.add(self.notes.number(pair))
            else:
                orders.add(self.orders.number((rank, action)))
        sides = list(world.sides)
        sides[rank] = side
        return replace(
            world,
            sides=tuple(sides),
            notes=frozenset(notes),
            orders=frozenset(orders),
        )

    def explore(self, most: int) -> tuple[int, str, bool]:
        """Visit worlds breadth first.

        Returns the number of worlds, the first violation or an empty
        string, and whether every reachable world was visited.
        """
        first = self.start()
        seen = {first}
        queue = deque([first])
        while queue and len(seen) <= most:
            world = queue.popleft()
            for move in (*self.moves(world), *self.faults(world)):
                after = move()
                if after.violation:
                    return len(seen), after.violation, False
                if after not in seen:
                    seen.add(after)
                    queue.append(after)
        return len(seen), '', not queue

    def walk(self, rng: random.Random, length: int) -> World:
        """Take random moves, some of them faults."""
        world = self.start()
        for _move in range(length):
            options = list(self.moves(world))
            if rng.random() < FAULT_RATE:
                options = list(self.faults(world)) or options
            world = rng.choice(options)()
            if world.violation:
                break
        return world

    def settle(self, world: World, rounds: int) -> World:
        """Go on without faults: all that was sent arrives once, in order.

        A live coordinator tries once more, with a new attempt.
        """
        return Settling(self, world).run(rounds)


class Settling:
    """The calm after a walk: first in, first out, nothing lost."""

    def __init__(self, explorer: Explorer, world: World) -> None:
        """Queue what is under way."""
        self.explorer = explorer
        self.world = world
        values = explorer.notes.values
        self.notes = deque(values[number] for number in sorted(world.notes))
        orders = explorer.orders.values
        self.orders = deque(orders[number] for number in sorted(world.orders))
        last = Attempt(99, 1, 0)
        self.coordination = Coordination(last, 'last', len(world.ranks), 2)

    def run(self, rounds: int) -> World:
        """Let rounds of events pass; stop at a violation."""
        size = len(self.world.ranks)
        for number in range(rounds):
            if number > 5:
                self.send(request_preparation(self.coordination))
            for rank in range(size):
                self.handle(
                    rank,
                    handle_status(
                        self.world.sides[rank], self.world.ranks[rank]
                    ),
                )
            self.drain()
            for rank in range(size):
                if may_enter(self.world.ranks[rank]):
                    self.world = with_rank(
                        self.world, rank, enter(self.world.ranks[rank])
                    )
            if self.world.violation:
                break
        return self.world

    def drain(self) -> None:
        """Deliver what is under way, and the answers to it next time."""
        for _note in range(len(self.notes)):
            while self.orders:
                rank, order = self.orders.popleft()
                self.world = with_rank(
                    self.world, rank, apply_order(self.world.ranks[rank], order)
                )
            self.take(*self.notes.popleft())

    def take(self, target: int, note: Note) -> None:
        """Deliver one note."""
        if isinstance(note, Prepared):
            self.coordination, notes = apply_prepared(self.coordination, note)
            self.send(notes)
            return
        if isinstance(note, JoinQuery):
            status = self.world.ranks[target]
            side, actions = handle_status(self.world.sides[target], status)
            # Two new ranks would otherwise answer questions by questions.
            orders = tuple(
                each for each in actions if not isinstance(each, Send)
            )
            self.handle(target, (side, orders))
        self.handle(target, handle_note(self.world.sides[target], note))

    def send(self, sends: tuple[Send, ...]) -> None:
        """Put notes under way."""
        self.notes.extend((send.target, send.note) for send in sends)

    def handle(
        self, rank: int, handled: tuple[Participant, tuple[Action, ...]]
    ) -> None:
        """Take over a side's new state and its actions."""
        side, actions = handled
        sides = list(self.world.sides)
        sides[rank] = side
        self.world = replace(self.world, sides=tuple(sides))
        for action in actions:
            if isinstance(action, Send):
                self.send((action,))
            else:
                self.orders.append((rank, action))


def with_rank(world: World, rank: int, status: RankStatus) -> World:
    """Replace a rank, check the promise and complete the step if due."""
    ranks = list(world.ranks)
    ranks[rank] = status
    inside = {(each.step, each.map_id) for each in ranks if each.entered}
    violation = world.violation
    if len({step for step, _map in inside}) > 1:
        violation = f'ranks in different steps: {sorted(inside, key=str)}'
    elif len(inside) > 1:
        violation = f'two maps in one step: {sorted(inside, key=str)}'
    moved, _record = complete(tuple(ranks))
    return replace(world, ranks=moved, violation=violation)
