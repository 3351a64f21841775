"""The messages between gateway daemons: states by UDP, copies by TCP.

States are small, sent often, and stale at once, so a lost one does not
matter. Copies of what was read from the store are asked for when the store
does not answer this daemon but answers others.
"""

import random
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok

from linnetwind.background import guarded, in_background
from linnetwind.clock import Clock
from linnetwind.frames import receive_frame, send_frame
from linnetwind.gateway_state import GatewayState
from linnetwind.peer_book import GroupBrief, PeerState, leader
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
)
from linnetwind.upstream_list import Address
from linnetwind.wire import Codec

# A state goes out this often at least, and after a change at most this often.
SEND_INTERVAL = timedelta(milliseconds=150)
LEAST_INTERVAL = timedelta(milliseconds=15)
_ASK_TIMEOUT_S = 0.4
_MOST_DATAGRAM = 60_000
_SERVER_THREADS = 8


@dataclass(frozen=True, slots=True)
class CopyQuery:
    """Asks for the newest records of a topic."""

    topic: Topic


@dataclass(frozen=True, slots=True)
class Copy:
    """The newest records of a topic; `end` is -1 if none were read."""

    records: tuple[KeyedRecord, ...]
    end: int


_CODEC = Codec((PeerState, CopyQuery, Copy))


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """This daemon's name and life, its address and first addresses."""

    name: str
    start_id: str
    own: Address
    seeds: tuple[Address, ...]


class PeerMesh:
    """Sends this daemon's state to all peers and hears theirs."""

    def __init__(
        self,
        settings: MeshSettings,
        state: GatewayState,
        clock: Clock,
    ) -> None:
        """Open the sockets.

        Args:
          settings: Who this daemon is and whom to tell first.
          state: The daemon's shared state.
          clock: For intervals.
        """
        self._settings = settings
        self._state = state
        self._clock = clock
        self._counter = 0
        self._changed = threading.Event()
        self._briefs: tuple[GroupBrief, ...] = ()
        self._leaving = False
        self._can_plan = True
        self._copies: Callable[[Topic], Records | None] = _no_copy
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((settings.own.ip, settings.own.port))
        self._listener = socket.create_server(
            (settings.own.ip, settings.own.port), reuse_port=False
        )

    def start(self, copies: Callable[[Topic], Records | None]) -> None:
        """Start the threads.

        Args:
          copies: Returns what this daemon has read of a topic.
        """
        self._copies = copies
        self._state.call_on_change(self._changed.set)
        in_background(self._send_for_ever, 'mesh-send')
        in_background(self._hear_for_ever, 'mesh-hear')
        in_background(self._serve_for_ever, 'mesh-copies')

    def publish(
        self, briefs: tuple[GroupBrief, ...], *, can_plan: bool
    ) -> None:
        """Tell the peers of rank groups, as their planner.

        Args:
          briefs: The state of each group; none when not the planner.
          can_plan: Whether this daemon reaches all ranks.
        """
        self._briefs = briefs
        self._can_plan = can_plan
        self._changed.set()

    def leads(self) -> bool:
        """Return whether this daemon is the one that plans."""
        if self._leaving:
            return False
        first = leader(
            self._state.book,
            self._settings.name,
            self._clock.elapsed(),
            can_plan=self._can_plan,
        )
        return first == self._settings.name

    def leave(self) -> None:
        """Tell the peers that this daemon is stopping."""
        self._leaving = True
        self._changed.set()

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Ask a peer for what it has read of a topic.

        Args:
          topic: The topic.

        Returns:
          The newest copy among two peers' answers, or why there is none.
        """
        addresses = list(self._addresses())
        random.shuffle(addresses)
        found = [self._ask(each, topic) for each in addresses[:2]]
        copies = [each for each in found if isinstance(each, Records)]
        if copies:
            return max(copies, key=lambda each: each.end)
        return StoreUnavailable('no peer has a copy')

    def _addresses(self) -> set[Address]:
        seeds = set(self._settings.seeds) - {self._settings.own}
        return seeds | self._state.book.known

    def _ask(self, peer: Address, topic: Topic) -> Records | StoreUnavailable:
        try:
            with socket.create_connection(
                (peer.ip, peer.port), _ASK_TIMEOUT_S
            ) as sock:
                send_frame(sock, _CODEC.encode(CopyQuery(topic)))
                answer = _CODEC.decode(receive_frame(sock))
        except OSError as error:
            return StoreUnavailable(f'peer {peer}: {error}')
        match answer:
            case Ok(Copy(records, end)) if end >= 0:
                return Records(records, end)
        return StoreUnavailable(f'peer {peer} has no copy')

    def _send_for_ever(self) -> None:
        while True:
            guarded(self._send)
            self._changed.wait(SEND_INTERVAL.total_seconds())
            self._changed.clear()
            threading.Event().wait(LEAST_INTERVAL.total_seconds())

    def _send(self) -> None:
        self._counter += 1
        table = self._state.table
        message = PeerState(
            self._settings.name,
            self._settings.start_id,
            self._counter,
            self._settings.own,
            table.version if table else 0,
            self._leaving,
            self._can_plan,
            self._state.running,
            self._state.waiting,
            tuple(self._state.book.known),
            self._briefs,
        )
        content = _CODEC.encode(message)
        for address in self._addresses():
            try:
                self._datagrams.sendto(content, (address.ip, address.port))
            except OSError:
                # As good as a lost datagram; the next state follows soon.
                continue

    def _hear_for_ever(self) -> None:
        while True:
            guarded(self._hear)

    def _hear(self) -> None:
        content, _sender = self._datagrams.recvfrom(_MOST_DATAGRAM)
        match _CODEC.decode(content):
            case Ok(PeerState() as state):
                if state.name != self._settings.name:
                    self._state.hear(state)
            case Ok(_) | Err(_):
                # Not from a daemon of this version.
                return

    def _serve_for_ever(self) -> None:
        pool = ThreadPoolExecutor(_SERVER_THREADS, 'mesh-copy')
        while True:
            sock, _peer = self._listener.accept()
            pool.submit(guarded, lambda sock=sock: self._serve(sock))

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            sock.settimeout(_ASK_TIMEOUT_S)
            try:
                query = _CODEC.decode(receive_frame(sock))
            except OSError:
                # The peer gave up; it asks again or asks another.
                return
            match query:
                case Ok(CopyQuery(topic)):
                    found = self._copies(topic) or Records((), -1)
                    answer = Copy(found.records, found.end)
                    send_frame(sock, _CODEC.encode(answer))


def _no_copy(topic: Topic) -> Records | None:
    """Return nothing, until the daemon's followers are there."""
