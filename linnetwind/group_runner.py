"""The thread that runs `mapswitch` for one rank of a group.

The runner polls the engine's status at short intervals, handles notes from
the side daemons of the other ranks, and may act as the group's coordinator.
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
from linnetwind.decision_log import log_decision
from linnetwind.group_planner import GroupPlanner
from linnetwind.mapswitch import handle_note, handle_status
from linnetwind.mapswitch_side import Transition, make_participant
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

NOTE_WAIT_MS = 50
NOTE_WAIT = timedelta(milliseconds=NOTE_WAIT_MS)

# A side daemon sends orders to the engine on its host one at a time, each
# with a timeout of one second. After this delay, the last order of a former
# incarnation has arrived or failed. Without it, this side daemon could reply
# that the rank is not armed just before such an order arms it.
STARTUP_DELAY = timedelta(seconds=1)

SendNote = Callable[[str, GroupNote], None]


class GroupRunner:
    """Runs the side daemon's part in one rank's group."""

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
        """Start as a new incarnation of the side daemon.

        Args:
          group: The group's configuration.
          rank: This rank's number.
          hosts: The host of each rank.
          engine: The rank's engine.
          send: Sends a note to a host.
          planner: Plans maps while this side daemon coordinates the group.
          clock: Limits how long a round waits for notes.
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

    def update_group(self, group: Group) -> None:
        """Replace the group's settings.

        Args:
          group: The configuration in force.
        """
        self._planner.update_group(group)

    def enqueue_note(self, note: GroupNote) -> None:
        """Queue a note from another side daemon for the next round.

        May be called on any thread, such as that of the connection.

        Args:
          note: The note.
        """
        self._notes.put(note)

    def run(self) -> None:
        """Run rounds of status, coordination and notes until stopped."""
        time.sleep(STARTUP_DELAY.total_seconds())
        while not self._stopped:
            guarded(self._poll_engine)
            guarded(self._coordinate)
            guarded(self._handle_queued_notes)

    def stop(self) -> None:
        """End `run` after its current round."""
        self._stopped = True

    def _poll_engine(self) -> None:
        status = self._engine.status()
        if isinstance(status, Ok):
            self._apply_transition(handle_status(self._side, status.ok_value))

    def _coordinate(self) -> None:
        status = self._side.status
        if status is not None:
            self._perform(self._planner.tick(status, self._engine.counts))

    def _handle_queued_notes(self) -> None:
        deadline = self._clock.elapsed() + NOTE_WAIT
        while self._clock.elapsed() < deadline:
            remaining = deadline - self._clock.elapsed()
            try:
                note = self._notes.get(
                    timeout=max(remaining.total_seconds(), 0)
                )
            except queue.Empty:
                return
            self._handle_note(note)

    def _handle_note(self, framed: GroupNote) -> None:
        match NOTE_CODEC.decode(framed.note):
            case Ok(Prepared() as prepared):
                self._perform(self._planner.apply_prepared(prepared))
            case Ok(JoinQuery() as query):
                self._refresh_status()
                self._apply_transition(handle_note(self._side, query))
            case Ok(note):
                self._planner.record_coordinator(note)
                self._apply_transition(handle_note(self._side, note))

    def _refresh_status(self) -> None:
        # A restarted rank relies on the reply, so the status must be current.
        # Notes that the new status gives rise to are not sent: two restarted
        # ranks would otherwise reply to each other's queries with queries
        # forever.
        status = self._engine.status()
        if isinstance(status, Ok):
            side, actions = handle_status(self._side, status.ok_value)
            orders = tuple(
                each for each in actions if not isinstance(each, Send)
            )
            self._apply_transition((side, orders))

    def _apply_transition(self, transition: Transition) -> None:
        side, actions = transition
        self._side = side
        self._perform(actions)

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(target, note):
                    self._send_note(target, note)
                case _:
                    self._log_order(action)
                    result = self._engine.order(action)
                    logger.debug('order {}: {}', action, result)

    def _send_note(self, target: int, note: Note) -> None:
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
