"""One rank's part in its group: the threads around `mapswitch`.

The runner reads the engine's status at short intervals, takes notes from
the other sides, and may be the group's coordinator.
"""

import queue
import time
from collections.abc import Callable, Iterable
from datetime import timedelta

from loguru import logger
from result import Ok

from linnetwind.background import guarded
from linnetwind.clock import Clock
from linnetwind.config import Group
from linnetwind.decisions import log_decision
from linnetwind.group_planner import GroupPlanner
from linnetwind.mapswitch import handle_note, handle_status
from linnetwind.mapswitch_side import Handled, make_participant
from linnetwind.mapswitch_types import (
    NOTE_CODEC,
    Action,
    JoinQuery,
    Note,
    Order,
    Prepared,
    Send,
)
from linnetwind.messages import GroupNote
from linnetwind.rank_engine import RankEngine

TICK_MS = 50
TICK = timedelta(milliseconds=TICK_MS)

# Orders go to the engine on the same host one at a time, each with a
# time-out of a second; one that a former side daemon gave has arrived or
# failed by then. Acting earlier, this side could answer for a rank that is
# armed a moment later.
SETTLING = timedelta(seconds=1)

SendNote = Callable[[str, GroupNote], None]


class GroupRunner:
    """The side of one rank."""

    def __init__(
        self,
        group: Group,
        rank: int,
        hosts: tuple[str, ...],
        engine: RankEngine,
        send: SendNote,
        planner: GroupPlanner,
        clock: Clock,
    ) -> None:
        """Start as a new incarnation.

        Args:
          group: The group's configuration.
          rank: This rank's number.
          hosts: The host of each rank.
          engine: The rank's engine.
          send: Sends a note to a host.
          planner: Decides on maps while this side coordinates.
          clock: For the settling time.
        """
        self._group = group
        self._rank = rank
        self._hosts = hosts
        self._engine = engine
        self._send = send
        self._planner = planner
        self._clock = clock
        incarnation = time.time_ns()
        self._side = make_participant(rank, len(hosts), incarnation)
        self._notes: queue.SimpleQueue[GroupNote] = queue.SimpleQueue()
        self._stopped = False

    def take_group(self, group: Group) -> None:
        """Replace the group's settings.

        Args:
          group: The configuration in force.
        """
        self._planner.take_group(group)

    def take(self, note: GroupNote) -> None:
        """Take a note from another side; called on its connection's thread.

        Args:
          note: The note.
        """
        self._notes.put(note)

    def run(self) -> None:
        """Take part until stopped."""
        time.sleep(SETTLING.total_seconds())
        while not self._stopped:
            guarded(self._look)
            guarded(self._coordinate)
            guarded(self._take_notes)

    def stop(self) -> None:
        """End `run` after its current round."""
        self._stopped = True

    def _look(self) -> None:
        status = self._engine.status()
        if isinstance(status, Ok):
            self._follow(handle_status(self._side, status.ok_value))

    def _coordinate(self) -> None:
        status = self._side.status
        if status is not None:
            self._perform(self._planner.tick(status, self._engine.counts))

    def _take_notes(self) -> None:
        deadline = self._clock.elapsed() + TICK
        while self._clock.elapsed() < deadline:
            left = deadline - self._clock.elapsed()
            try:
                note = self._notes.get(timeout=max(left.total_seconds(), 0))
            except queue.Empty:
                return
            self._take(note)

    def _take(self, framed: GroupNote) -> None:
        match NOTE_CODEC.decode(framed.note):
            case Ok(Prepared() as prepared):
                self._perform(self._planner.take_prepared(prepared))
            case Ok(JoinQuery() as query):
                self._refresh()
                self._follow(handle_note(self._side, query))
            case Ok(note):
                self._planner.saw_coordinator(note)
                self._follow(handle_note(self._side, note))

    def _refresh(self) -> None:
        # A restarted rank goes by this answer, so it must be of now. Its
        # notes are left out: two restarted ranks would otherwise answer
        # questions by questions without end.
        status = self._engine.status()
        if isinstance(status, Ok):
            side, actions = handle_status(self._side, status.ok_value)
            orders = tuple(
                each for each in actions if not isinstance(each, Send)
            )
            self._follow((side, orders))

    def _follow(self, handled: Handled) -> None:
        side, actions = handled
        self._side = side
        self._perform(actions)

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(target, note):
                    self._post(target, note)
                case _:
                    self._log_order(action)
                    answered = self._engine.order(action)
                    logger.debug('order {}: {}', action, answered)

    def _post(self, target: int, note: Note) -> None:
        framed = GroupNote(
            self._group.name, self._rank, target, NOTE_CODEC.encode(note)
        )
        if target == self._rank:
            self._notes.put(framed)
        else:
            self._send(self._hosts[target], framed)

    def _log_order(self, order: Order) -> None:
        log_decision(
            'rank_order',
            {
                'group': self._group.name,
                'rank': self._rank,
                'order': str(order),
            },
        )
