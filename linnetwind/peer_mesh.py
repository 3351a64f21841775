"""The messages between gateway daemons: states by UDP, copies by TCP.

States are small, sent often, and stale at once, so a lost one does not
matter. Copies of what was read from the store are asked for when the store
does not answer this daemon but answers others.
"""

import random
import socket
import threading
from collections.abc import Callable, Hashable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta

from result import Ok

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.codec import Codec
from linnetwind.daemon_threads import DaemonThreads
from linnetwind.frames import receive_frame, send_frame
from linnetwind.gateway_state import GatewayState
from linnetwind.peer_book import (
    SEND_INTERVAL,
    Candidate,
    GroupBrief,
    PeerState,
    leader,
)
from linnetwind.peer_wire import StateReader, WholeTurns, pack_state
from linnetwind.rank_crashes import hear_rank_crashes
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
)
from linnetwind.stop_turns import Told, leads_to_the_end
from linnetwind.upstream_limits import ServiceDemand

_ASK_TIMEOUT_S = 0.4
# A daemon that has just started knows no peer, so that it seems to lead. After
# a power loss each of dozens looked at all ranks of a group, and the one that
# stays was seconds late with its first look. By then the states of all that
# started with it have come, some of them twice.
_FIRST_CLAIM_MS = 600
FIRST_CLAIM = timedelta(milliseconds=_FIRST_CLAIM_MS)
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
    era: int = 0


_CODEC = Codec((CopyQuery, Copy))


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """This daemon's name and life, its address and first addresses.

    `power` tells how much its host bears.
    """

    name: str
    site: str
    start_id: str
    own: Address
    seeds: tuple[Address, ...]
    power: int = 0


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
        self._started = clock.elapsed()
        self._counter = 0
        self._sending = threading.Lock()
        self._reader = StateReader()
        self._turns = WholeTurns()
        self._changed = threading.Event()
        self._briefs: tuple[GroupBrief, ...] = ()
        self._leaving_at: timedelta | None = None
        self._can_plan = True
        self._copies: Callable[[Topic], Records | None] = _no_copy
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((settings.own.ip, settings.own.port))
        self._listener = socket.create_server(
            (settings.own.ip, settings.own.port), reuse_port=False
        )

    def start(
        self,
        threads: DaemonThreads,
        copies: Callable[[Topic], Records | None],
    ) -> None:
        """Start the threads.

        Args:
          threads: Starts threads.
          copies: Returns what this daemon has read of a topic.
        """
        self._copies = copies
        self._state.call_on_change(self._changed.set)
        threads.for_ever(self._send_next, 'mesh-send')
        threads.for_ever(self._hear, 'mesh-hear')
        threads.accept(
            self._listener, self._serve, 'mesh-copy', _SERVER_THREADS
        )

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
        if self._clock.elapsed() - self._started < FIRST_CLAIM:
            return False
        if self._leaving_at is not None:
            own = Told(self._settings.name, self._leaving_at)
            now = self._clock.elapsed()
            return leads_to_the_end(self._state.book, own, now)
        own = Candidate(
            self._settings.name, self._settings.power, self._can_plan
        )
        first = leader(self._state.book, own, self._clock.elapsed())
        return first == own.name

    def leave(self) -> None:
        """Tell the peers that this daemon is stopping."""
        self._leaving_at = self._clock.elapsed()
        self._changed.set()

    def tell_now(self) -> None:
        """Send the state at once, whenever the last one went.

        States of hundreds of daemons are seconds apart. Meanwhile peers would
        send on a request that crashes upstreams, or send an upstream more
        than it says it takes.
        """
        self._send()

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
            return max(copies, key=lambda each: each.position)
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
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Copy):
            copy = answer.ok_value
            if copy.end >= 0:
                return Records(copy.records, copy.end, copy.era)
        return StoreUnavailable(f'peer {peer} has no copy')

    def _send_next(self) -> timedelta:
        self._changed.wait(SEND_INTERVAL.total_seconds())
        self._changed.clear()
        self._send()
        return self._state.book.send_interval

    def _send(self) -> None:
        with self._sending:
            self._send_state()

    def _send_state(self) -> None:
        self._counter += 1
        table = self._state.table
        message = PeerState(
            self._settings.name,
            self._settings.start_id,
            self._counter,
            self._settings.own,
            table.version if table else 0,
            self._leaving_at is not None,
            self._can_plan,
            self._state.running,
            tuple(self._state.book.known),
            self._briefs,
            self._state.room.loads(),
            self._state.books.refusals.tell(),
            self._stopping_ms(),
            self._settings.site,
            self._settings.power,
            self._state.books.crashes.tell(),
            self._state.books.crashes.tell_answered(),
            self._state.books.limits.tell(),
            self._demands(),
        )
        whole = self._turns.is_whole(self._news(message), self._clock.elapsed())
        content = pack_state(message, whole=whole)
        for address in self._addresses():
            # A datagram that cannot be sent is as good as a lost one; the
            # next state follows soon.
            with suppress(OSError):
                self._datagrams.sendto(content, (address.ip, address.port))

    def _demands(self) -> tuple[ServiceDemand, ...]:
        """Return this daemon's demand for services with a limited upstream."""
        if not self._state.books.limits.any_known:
            return ()
        limited = {
            each.upstream.service
            for each in self._state.upstreams.records.values()
            if each.upstream is not None
            and self._state.books.limits.per_s(each.upstream.life) is not None
        }
        demand = self._state.books.repeats.demand
        return tuple(
            ServiceDemand(service, demand(service)) for service in limited
        )

    def _news(self, message: PeerState) -> Hashable:
        """Return what peers have to be told again when it changes."""
        lives = frozenset(
            (name, each.state.start_id)
            for name, each in self._state.book.heard.items()
        )
        rosters = tuple(
            (each.service, each.group, each.members) for each in message.groups
        )
        crashes = tuple(
            (each.fingerprint, each.life) for each in message.crashes
        )
        return (
            frozenset(message.members),
            lives,
            rosters,
            crashes,
            message.answered,
        )

    def _stopping_ms(self) -> int:
        if self._leaving_at is None:
            return 0
        since = self._clock.elapsed() - self._leaving_at
        return int(since / timedelta(milliseconds=1))

    def _hear(self) -> None:
        content, _sender = self._datagrams.recvfrom(_MOST_DATAGRAM)
        heard = self._reader.read(content, self._state.upstreams.lives_by_tag)
        # Anything else is not from a daemon of this version.
        if heard is not None and heard.name != self._settings.name:
            self._state.hear(heard)
            now = self._clock.elapsed()
            hear_rank_crashes(self._state, heard.crashes, now)

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(_ASK_TIMEOUT_S)
        try:
            query = _CODEC.decode(receive_frame(sock))
        except OSError:
            # The peer gave up; it asks again or asks another.
            return
        if isinstance(query, Ok) and isinstance(query.ok_value, CopyQuery):
            found = self._copies(query.ok_value.topic) or Records((), -1)
            answer = Copy(found.records, found.end, found.era)
            send_frame(sock, _CODEC.encode(answer))


def _no_copy(topic: Topic) -> Records | None:
    """Return nothing, until the daemon's followers are there."""
