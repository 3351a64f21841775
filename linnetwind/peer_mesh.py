"""Messages between gateway daemons: states over UDP, copies over TCP.

States are small, sent often, and soon superseded, so a lost datagram does not
matter. A daemon queries its peers for copies of store records while the store
does not respond to it, but may respond to them.
"""

import random
import socket
import threading
from collections.abc import Callable, Hashable
from contextlib import suppress
from dataclasses import dataclass, replace
from datetime import timedelta

from result import Ok

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.codec import Codec
from linnetwind.daemon_threads import DaemonThreads
from linnetwind.drain_order import StopTime, plans_while_stopping
from linnetwind.frames import receive_frame, send_frame
from linnetwind.gateway_state import GatewayState
from linnetwind.peers.peer_table import (
    MAX_SEND_INTERVAL,
    GroupSummary,
    PeerState,
    PlannerCandidate,
    leader,
)
from linnetwind.peers.peer_wire import (
    FullStateSchedule,
    StateReader,
    pack_state,
)
from linnetwind.rank_crashes import merge_peer_rank_crashes
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
)
from linnetwind.upstreams.upstream_limits import ServiceDemand

_QUERY_TIMEOUT_S = 0.4
# How long a daemon does not lead after its start. It knows no peer then and
# would elect itself: after a power loss, dozens of daemons polled all ranks of
# a group, and the first poll of the elected one was seconds late. Within this
# time the states of all peers that started with it arrive, some of them twice.
_LEADERSHIP_DELAY_MS = 600
LEADERSHIP_DELAY = timedelta(milliseconds=_LEADERSHIP_DELAY_MS)
_MAX_DATAGRAM_BYTES = 60_000
_SERVER_THREADS = 8


@dataclass(frozen=True, slots=True)
class CopyQuery:
    """Queries the newest records of a topic."""

    topic: Topic


@dataclass(frozen=True, slots=True)
class Copy:
    """The newest records of a topic, or `end` -1 if none were read.

    `era` counts the times that the store was restored from an older copy.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int = 0


_CODEC = Codec((CopyQuery, Copy))


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """The identity and addresses of a daemon.

    `start_id` names this start of its process. `own` is its address, `seeds`
    are the addresses of the first peers. `power` is the relative capacity of
    its host.
    """

    name: str
    site: str
    start_id: str
    own: Address
    seeds: tuple[Address, ...]
    power: int = 0


@dataclass(frozen=True, slots=True)
class _FullStateKey:
    """What a full state holds, without the ages and times that always change.

    Full states are sent for some time after it has changed.
    """

    members: frozenset[Hashable]
    start_ids: frozenset[Hashable]
    rosters: tuple[Hashable, ...]
    crashes: tuple[Hashable, ...]
    answered: tuple[Hashable, ...]
    evacuations: tuple[Hashable, ...]
    cold: frozenset[Hashable]
    prompts: tuple[Hashable, ...]


class PeerMesh:
    """Sends this daemon's state to all peers and receives theirs."""

    def __init__(
        self,
        settings: MeshSettings,
        state: GatewayState,
        clock: Clock,
    ) -> None:
        """Open the sockets.

        Args:
          settings: The daemon's identity and the first peers.
          state: The daemon's shared state.
          clock: The clock, for intervals.
        """
        self._settings = settings
        self._seeds = settings.seeds
        self._state = state
        self._clock = clock
        self._started = clock.elapsed()
        self._counter = 0
        self._sending = threading.Lock()
        self._reader = StateReader()
        self._full_states = FullStateSchedule()
        self._changed = threading.Event()
        self._summaries: tuple[GroupSummary, ...] = ()
        self._leaving_at: timedelta | None = None
        self._can_plan = True
        self._copies: Callable[[Topic], Records | None] = _no_copy
        self._on_state: Callable[[PeerState], None] = _ignore_state
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((settings.own.ip, settings.own.port))
        self._listener = socket.create_server(
            (settings.own.ip, settings.own.port), reuse_port=False
        )

    def start(
        self,
        threads: DaemonThreads,
        copies: Callable[[Topic], Records | None],
        on_state: Callable[[PeerState], None],
    ) -> None:
        """Start the threads that send and receive.

        Args:
          threads: Starts threads.
          copies: Returns the records that this daemon has read of a topic.
          on_state: Called with each state of a peer, once it is merged.
        """
        self._copies = copies
        self._on_state = on_state
        self._state.call_on_change(self._changed.set)
        threads.repeat_forever(self._send_next, 'mesh-send')
        threads.repeat_forever(self._receive_next, 'mesh-hear')
        threads.accept(
            self._listener, self._serve, 'mesh-copy', _SERVER_THREADS
        )

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Use other first peers, since the settings have changed.

        Args:
          seeds: Their addresses.
        """
        self._seeds = seeds
        self._state.request_history.fleet.replace_seeds(seeds)
        self._changed.set()

    def publish(
        self, summaries: tuple[GroupSummary, ...], *, can_plan: bool
    ) -> None:
        """Advertise the state of rank groups to the peers, as their planner.

        Args:
          summaries: The state of each group; empty if this daemon is not the
            planner.
          can_plan: Whether this daemon reaches all ranks.
        """
        self._summaries = summaries
        self._can_plan = can_plan
        self._changed.set()

    def leads(self) -> bool:
        """Return whether this daemon plans the expert maps."""
        if self._clock.elapsed() - self._started < LEADERSHIP_DELAY:
            return False
        if self._leaving_at is not None:
            own = StopTime(self._settings.name, self._leaving_at)
            now = self._clock.elapsed()
            return plans_while_stopping(self._state.peer_table, own, now)
        own = PlannerCandidate(
            self._settings.name, self._settings.power, self._can_plan
        )
        elected = leader(self._state.peer_table, own, self._clock.elapsed())
        return elected == own.name

    def leave(self) -> None:
        """Advertise to the peers that this daemon is stopping."""
        self._leaving_at = self._clock.elapsed()
        self._changed.set()

    def advertise_now(self) -> None:
        """Send the state at once, regardless of the send interval.

        With hundreds of daemons the states of each are seconds apart. Meanwhile
        peers would forward a request that crashes upstreams, or exceed a limit
        that an upstream has named.
        """
        self._send()

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Query two random peers for the records that they have read.

        Args:
          topic: The topic.

        Returns:
          The newest copy among their replies, or why there is none.
        """
        addresses = list(self._addresses())
        random.shuffle(addresses)
        replies = [self._query(each, topic) for each in addresses[:2]]
        copies = [each for each in replies if isinstance(each, Records)]
        if copies:
            return max(copies, key=lambda each: each.position)
        return StoreUnavailable('no peer has a copy')

    def _addresses(self) -> set[Address]:
        seeds = set(self._seeds) - {self._settings.own}
        return seeds | self._state.peer_table.known_addresses

    def _query(self, peer: Address, topic: Topic) -> Records | StoreUnavailable:
        try:
            with socket.create_connection(
                (peer.ip, peer.port), _QUERY_TIMEOUT_S
            ) as sock:
                send_frame(sock, _CODEC.encode(CopyQuery(topic)))
                reply = _CODEC.decode(receive_frame(sock))
        except OSError as error:
            return StoreUnavailable(f'peer {peer}: {error}')
        if isinstance(reply, Ok) and isinstance(reply.ok_value, Copy):
            copy = reply.ok_value
            if copy.end >= 0:
                return Records(copy.records, copy.end, copy.era)
        return StoreUnavailable(f'peer {peer} has no copy')

    def _send_next(self) -> timedelta:
        self._changed.wait(MAX_SEND_INTERVAL.total_seconds())
        self._changed.clear()
        self._send()
        return self._state.peer_table.min_send_interval

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
            tuple(self._state.peer_table.known_addresses),
            self._summaries,
            self._state.stream_admission.loads(),
            self._state.request_history.refusals.to_advertise(),
            self._stopping_ms(),
            self._settings.site,
            self._settings.power,
            self._state.request_history.crashes.to_advertise(),
            self._state.request_history.crashes.answered_to_advertise(),
            self._state.request_history.limits.to_advertise(),
            self._demands(),
            self._state.upstreams.evacuations.to_advertise,
            self._state.request_history.cold.to_advertise(),
            self._state.request_history.fleet.unheard(),
            self._state.request_history.ejections.to_advertise(),
            self._state.request_history.prompts.to_advertise(),
        )
        full = self._full_states.next_is_full(
            self._full_state_key(message), self._clock.elapsed()
        )
        # Backoffs change often: full states after each change would be sent
        # all the time.
        if not self._state.request_history.ejections.take_news() and not full:
            message = replace(message, avoided=())
        content = pack_state(message, full=full)
        for address in self._addresses():
            # A datagram that cannot be sent counts as lost; the next state
            # follows soon.
            with suppress(OSError):
                self._datagrams.sendto(content, (address.ip, address.port))

    def _demands(self) -> tuple[ServiceDemand, ...]:
        """Return the request rate for each service with a limited upstream."""
        if not self._state.request_history.limits.any_known:
            return ()
        limited = {
            each.upstream.service
            for each in self._state.upstreams.records.values()
            if each.upstream is not None
            and self._state.request_history.limits.per_s(each.upstream.life)
            is not None
        }
        demand = self._state.request_history.retry_budgets.demand
        return tuple(
            ServiceDemand(service, demand(service)) for service in limited
        )

    def _full_state_key(self, message: PeerState) -> Hashable:
        """Return a value that changes when peers need a full state."""
        start_ids = frozenset(
            (name, each.state.start_id)
            for name, each in self._state.peer_table.received.items()
        )
        rosters = tuple(
            (each.service, each.group, each.members) for each in message.groups
        )
        return _FullStateKey(
            frozenset(message.members),
            start_ids,
            rosters,
            tuple((each.fingerprint, each.life) for each in message.crashes),
            message.answered,
            message.evacuations,
            frozenset(each.life for each in message.cold),
            tuple(each.subjects for each in message.prompts),
        )

    def _stopping_ms(self) -> int:
        if self._leaving_at is None:
            return 0
        since = self._clock.elapsed() - self._leaving_at
        return int(since / timedelta(milliseconds=1))

    def _receive_next(self) -> None:
        content, _sender = self._datagrams.recvfrom(_MAX_DATAGRAM_BYTES)
        received = self._reader.read(
            content, self._state.upstreams.incarnations_by_tag
        )
        # Other datagrams are not states, or are this daemon's own.
        if received is not None and received.name != self._settings.name:
            self._state.merge_advertised(received)
            now = self._clock.elapsed()
            merge_peer_rank_crashes(self._state, received.crashes, now)
            self._on_state(received)

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(_QUERY_TIMEOUT_S)
        try:
            query = _CODEC.decode(receive_frame(sock))
        except OSError:
            # The peer closed the connection; it queries again, or another peer.
            return
        if isinstance(query, Ok) and isinstance(query.ok_value, CopyQuery):
            newest = self._copies(query.ok_value.topic) or Records((), -1)
            reply = Copy(newest.records, newest.end, newest.era)
            send_frame(sock, _CODEC.encode(reply))


def _ignore_state(state: PeerState) -> None:
    """Do nothing, until the daemon's followers are set."""


def _no_copy(topic: Topic) -> Records | None:
    """Return no records, until the daemon's followers are set."""
