"""The table of peer gateway daemons, and the choice of a leader among them.

Each daemon sends its state to all others several times a second. The others
use it to count the requests in flight at each upstream, to detect a newer
configuration, and to elect the daemon that plans the expert maps: the one on
the most powerful host and, of equals, the one whose name sorts first. Two
daemons that consider themselves the leader at once do no harm, since the
rollout of a map is safe with any number of planners. All functions here are
pure.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Annotated, Self

from msgspec import Meta

from linnetwind.address import Address
from linnetwind.crash_history import AdvertisedCrash
from linnetwind.fingerprint import Fingerprint
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.cold_upstreams import AdvertisedCold
from linnetwind.upstreams.ejection_hints import AdvertisedEjection
from linnetwind.upstreams.evacuation import Evacuation
from linnetwind.upstreams.prompt_news import PromptNews
from linnetwind.upstreams.upstream_limits import AdvertisedLimit, ServiceDemand

# The longest time between two states that a daemon sends, and the shortest
# time when its counts change. In a large fleet both are longer, see
# `min_send_interval`.
_MAX_SEND_INTERVAL_MS = 150
MAX_SEND_INTERVAL = timedelta(milliseconds=_MAX_SEND_INTERVAL_MS)
_MIN_SEND_INTERVAL_MS = 30
MIN_SEND_INTERVAL = timedelta(milliseconds=_MIN_SEND_INTERVAL_MS)
# The states that a daemon receives from all its peers in a second. Decoding
# and applying one takes 0.5 ms with 16 daemons and 72 ranks: sent every 30 ms,
# they took a quarter of a core.
_MAX_RECEIVED_PER_S = 100
# A peer counts as gone after this many states are missing in a row: single
# datagrams are lost, three in a row hardly ever. The timeout has to be short,
# since a group stops for as long when its planner freezes while holding a pass.
_MAX_LOST_IN_A_ROW = 3
# A peer that was silent for this long is removed from the addresses to send
# to, so that addresses of replaced hosts do not accumulate.
_PEER_EXPIRY_S = 30
PEER_EXPIRY = timedelta(seconds=_PEER_EXPIRY_S)
# The highest pace that is advertised: a rank that slow serves nothing.
MAX_PACE = 1_000
Pace = Annotated[float, Meta(ge=0, le=MAX_PACE)]
_MAX_CORRECTION = 1_000_000
Correction = Annotated[float, Meta(ge=0, le=_MAX_CORRECTION)]


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """The state of a rank group, as its planner advertises it.

    `skew` is the expert load of the most loaded rank divided by the mean,
    `opens_in_ms` the expected time until a broken group opens. `members` are
    the incarnations of its ranks, `slow` the ones whose rank runs slowly.
    `pace` is the time of the slowest rank for the same work over the usual one.
    """

    service: str
    group: str
    epoch: int
    is_open: bool
    skew: float
    opens_in_ms: int
    members: tuple[UpstreamIncarnation, ...]
    slow: tuple[UpstreamIncarnation, ...] = ()
    pace: Pace = 1


@dataclass(frozen=True, slots=True)
class PassTimePerStream:
    """The time that each stream adds to a pass of a group.

    `part_ms` is the time in milliseconds, estimated from `pauses` pauses
    between events. `reading_ms` and `factor` correct the forecast of passes,
    see `PassCorrection`; the factor is 0 if there is no correction.
    """

    group: str
    part_ms: float
    pauses: int
    reading_ms: Correction = 0
    factor: Correction = 0


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """The streams of one priority on one daemon.

    `waiting` streams wait for a permit, `arrivals_per_s` arrived in the last
    second. `customers` holds the work of the largest customers, packed by
    `customer_shares.py`.
    """

    priority: int
    waiting: int
    arrivals_per_s: float
    customers: bytes = b''


@dataclass(frozen=True, slots=True)
class StreamLoad:
    """The load of a service's streams on one daemon.

    `waiting` streams wait for a permit, `arrivals_per_s` arrived in the last
    second, and `parts` holds the pass time per stream of each group. `classes`
    holds the same streams by priority; the streams of a daemon that sends none
    count as the most urgent.
    """

    service: str
    waiting: int
    arrivals_per_s: float
    parts: tuple[PassTimePerStream, ...]
    classes: tuple[ClassLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerState:
    """The state that a daemon sends to its peers.

    `running` counts the daemon's requests in flight by incarnation of their
    upstream, and `loads` describes its streams by service. `members` are the
    daemon addresses that it knows, `can_plan` whether it reaches all ranks.
    `refused` are the subjects of requests that were rejected lately and whose
    callers were asked to retry. `counter` increases with each message of one
    `start_id`. `stopping_ms` is the time since a `leaving` daemon received its
    stop signal, `site` the data centre of its callers. `power` is the relative
    capacity of its host, for the choice of the planner. `crashes` are crashes
    of upstreams while they ran a request, `answered` the requests that were
    answered after such a crash. `limits` are the request rates that upstreams
    named to this daemon, `demands` its request rates for their services.
    `evacuations` are the newest decisions on evacuated data centres. `cold` are
    the upstreams that it found to be cold, other than by their entries, and
    `unheard` the daemons that it counts but has not heard for long. `avoided`
    are the upstreams that it has ejected or that asked it to back off.
    `prompts` is what it knows of prompt parts that crash upstreams, empty if it
    knows none.
    """

    name: str
    start_id: str
    counter: int
    address: Address
    config_version: int
    leaving: bool
    can_plan: bool
    running: dict[UpstreamIncarnation, int]
    members: tuple[Address, ...]
    groups: tuple[GroupSummary, ...]
    loads: tuple[StreamLoad, ...] = ()
    refused: tuple[str, ...] = ()
    stopping_ms: int = 0
    site: str = ''
    power: int = 0
    crashes: tuple[AdvertisedCrash, ...] = ()
    answered: tuple[Fingerprint, ...] = ()
    limits: tuple[AdvertisedLimit, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    cold: tuple[AdvertisedCold, ...] = ()
    unheard: tuple[Address, ...] = ()
    avoided: tuple[AdvertisedEjection, ...] = ()
    prompts: tuple[PromptNews, ...] = ()


@dataclass(frozen=True)
class ReceivedState:
    """A peer's newest state, with monotonic times by the receiver's clock.

    `at` is when the state arrived. `serves_since` is when the peer was first
    seen with a configuration since its start, or None if it has none yet.
    """

    state: PeerState
    at: timedelta
    serves_since: timedelta | None = None


@dataclass(frozen=True)
class PeerTable:
    """The newest state received from each peer, and the addresses to send to.

    `own` is this daemon's address, which is not among the others.
    """

    own: Address
    received: Mapping[str, ReceivedState] = field(default_factory=dict)
    known_addresses: frozenset[Address] = frozenset()

    def merge_advertised(self, state: PeerState, now: timedelta) -> Self:
        """Return the table updated with a state that a peer sent.

        Args:
          state: The peer's state.
          now: The monotonic time.

        Returns:
          The table; unchanged if a newer state of the peer arrived before.
        """
        before = self.received.get(state.name)
        if before is not None and _is_superseded(before.state, state):
            return self
        addresses = frozenset((state.address, *state.members))
        return replace(
            self,
            received={
                **self.received,
                state.name: _received(before, state, now),
            },
            known_addresses=self.known_addresses | (addresses - {self.own}),
        )

    @property
    def min_send_interval(self) -> timedelta:
        """Return the shortest time between two states that a daemon sends.

        It grows with the number of daemons, so that the number of states that
        each daemon receives in a second is bounded.
        """
        share = timedelta(seconds=len(self.received) / _MAX_RECEIVED_PER_S)
        return max(MIN_SEND_INTERVAL, share)

    @property
    def peer_timeout(self) -> timedelta:
        """Return the time without a state after which a peer counts as gone."""
        return _MAX_LOST_IN_A_ROW * max(
            MAX_SEND_INTERVAL, self.min_send_interval
        )

    def live(self, now: timedelta) -> list[PeerState]:
        """Return the states of the peers that have not timed out.

        Args:
          now: The monotonic time.

        Returns:
          The newest state of each.
        """
        peer_timeout = self.peer_timeout
        return [
            each.state
            for each in self.received.values()
            if now - each.at < peer_timeout
        ]

    def expire_peers(self, now: timedelta) -> Self:
        """Return the table without peers that were silent for `PEER_EXPIRY`.

        Args:
          now: The monotonic time.

        Returns:
          The table, without the addresses of these peers.
        """
        received = {
            name: each
            for name, each in self.received.items()
            if now - each.at < PEER_EXPIRY
        }
        gone = {
            each.state.address
            for name, each in self.received.items()
            if name not in received
        }
        return replace(
            self, received=received, known_addresses=self.known_addresses - gone
        )


@dataclass(frozen=True, slots=True)
class PlannerCandidate:
    """A daemon that may be elected to plan the expert maps.

    `power` is the relative capacity of its host, `can_plan` whether it reaches
    all ranks.
    """

    name: str
    power: int
    can_plan: bool


def leader(peer_table: PeerTable, own: PlannerCandidate, now: timedelta) -> str:
    """Return the name of the daemon that plans the expert maps.

    The planner should run on a powerful host: a plan for hundreds of ranks
    takes a large part of a small host's core, and the ranks' expert counts take
    a large part of its link, so that its streams pause for longer than those of
    other hosts.

    Args:
      peer_table: The peers.
      own: This daemon.
      now: The monotonic time.

    Returns:
      Of the daemons that are not stopping and reach all ranks, the one on the
      most powerful host and, of equals, the one whose name sorts first. If none
      reaches all ranks, all daemons that are not stopping are considered.
    """
    staying = [
        PlannerCandidate(each.name, each.power, each.can_plan)
        for each in peer_table.live(now)
        if not each.leaving
    ]
    candidates = [own, *staying]
    able = [each for each in candidates if each.can_plan]
    chosen = min(able or candidates, key=lambda each: (-each.power, each.name))
    return chosen.name


def demands_of(
    peer_table: PeerTable, own: ServiceDemand, now: timedelta
) -> dict[str, float]:
    """Return the request rate of each daemon for a service.

    Args:
      peer_table: The peers.
      own: The service, and the request rate of this daemon for it.
      now: The monotonic time.

    Returns:
      The requests per second by daemon address, of all daemons that are not
      stopping.
    """
    advertised = {
        str(peer.address): _advertised_demand(peer, own.service)
        for peer in peer_table.live(now)
        if not peer.leaving
    }
    reported = [
        own.per_s,
        *(each for each in advertised.values() if each is not None),
    ]
    # A daemon that has not advertised its rate yet is assumed to have the mean
    # rate of the others, since it may be sending requests already.
    mean = sum(reported) / len(reported)
    demands = {
        name: mean if per_s is None else per_s
        for name, per_s in advertised.items()
    }
    return {**demands, str(peer_table.own): own.per_s}


def _advertised_demand(peer: PeerState, service: str) -> float | None:
    rates = (each.per_s for each in peer.demands if each.service == service)
    return next(rates, None)


def _received(
    before: ReceivedState | None, state: PeerState, now: timedelta
) -> ReceivedState:
    since = now if state.config_version else None
    if before is not None and before.state.start_id == state.start_id:
        since = before.serves_since or since
    return ReceivedState(state, now, since)


def _is_superseded(before: PeerState, state: PeerState) -> bool:
    same_process = before.start_id == state.start_id
    return same_process and state.counter <= before.counter
