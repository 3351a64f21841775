"""The request history that a gateway daemon shares with its peers."""

import zlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import (
    RetryBudgetTerms,
    SharedRetryBudget,
)
from linnetwind.clock import Clock
from linnetwind.crash_tracker import CrashTracker
from linnetwind.peers.peer_table import (
    PEER_EXPIRY,
    PeerState,
    PeerTable,
    demands_of,
)
from linnetwind.refusal_history import RefusalTracker
from linnetwind.upstream_backoff import UpstreamBackoffs
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.cold_allowance import ColdBound
from linnetwind.upstreams.cold_quotas import ColdQuotas, ColdSettings
from linnetwind.upstreams.cold_upstreams import ColdUpstreams
from linnetwind.upstreams.ejected_upstreams import EjectedUpstreams
from linnetwind.upstreams.fleet_members import LEFT_SILENCE
from linnetwind.upstreams.fleet_tracker import FleetSettings, FleetTracker
from linnetwind.upstreams.prompt_quarantines import PromptQuarantines
from linnetwind.upstreams.upstream_limits import ServiceDemand, UpstreamLimits

_MAX_CRC32 = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """Retry budgets, refusals, crashes, limits and backoffs; thread-safe.

    `retry_budgets` limits the retries to each service. `refusals` holds the
    requests that were refused with a time to retry, `crashes` the requests
    during which upstreams crashed, `prompts` the prompt parts that crash them,
    `limits` the upstreams' limits on requests per second, `backoffs` the
    upstreams that currently accept no requests, `cold` those that have just
    started, and `ejections` those that refuse or fail too many requests.
    `fleet` are the daemons among which shared bounds are divided.
    """

    retry_budgets: SharedRetryBudget
    refusals: RefusalTracker
    crashes: CrashTracker
    prompts: PromptQuarantines
    limits: UpstreamLimits
    backoffs: UpstreamBackoffs
    cold: ColdUpstreams
    ejections: EjectedUpstreams
    fleet: FleetTracker

    def keep_only(self, lives: Collection[UpstreamIncarnation]) -> None:
        """Discard what is known of upstreams that are not registered.

        Args:
          lives: The incarnations that are registered.
        """
        self.limits.keep_only(lives)
        self.cold.keep_only(lives)
        self.ejections.keep_only(lives)

    def merge_advertised(self, state: PeerState) -> None:
        """Merge the state that a peer sent.

        Args:
          state: The peer's state.
        """
        self.refusals.merge_advertised(state.refused)
        self.crashes.merge_advertised(state.crashes, state.answered)
        for news in state.prompts:
            self.prompts.merge_advertised(news)
        self.limits.merge_advertised(state.limits)
        self.fleet.hear_peer(
            state.address,
            (*state.members, *state.unheard),
            leaving=state.leaving,
        )
        self.cold.merge_advertised(state.cold)
        self.ejections.merge_advertised(state.name, state.avoided)


def make_request_history(
    terms: RetryBudgetTerms,
    clock: Clock,
    peers: Callable[[], PeerTable],
    bound: ColdBound,
    started_at: timedelta,
    seeds: Collection[Address],
) -> RequestHistory:
    """Return an empty request history.

    Args:
      terms: The terms of the shared retry budget.
      clock: The clock for expiring records.
      peers: Returns the current states of the peers.
      bound: The bound for cold upstreams.
      started_at: The monotonic time at which this daemon started.
      seeds: The addresses of the first peers.

    Returns:
      The request history.
    """
    fleet = FleetTracker(_fleet_settings(terms, peers().own, seeds), clock)
    retry_budgets = SharedRetryBudget(terms, clock, fleet, started_at)

    def demands(service: str) -> Mapping[str, float]:  # noqa: WPS430
        own_demand = ServiceDemand(service, retry_budgets.demand(service))
        return demands_of(peers(), own_demand, clock.elapsed())

    cold_settings = ColdSettings(bound, lambda: peers().peer_timeout)
    cold = ColdUpstreams(ColdQuotas(cold_settings, fleet), clock)
    return RequestHistory(
        retry_budgets,
        RefusalTracker(clock),
        CrashTracker(clock),
        PromptQuarantines(clock, _spread(peers().own)),
        UpstreamLimits(clock, str(peers().own), demands, cold),
        UpstreamBackoffs(clock),
        cold,
        EjectedUpstreams(clock, _spread(peers().own)),
        fleet,
    )


def _fleet_settings(
    terms: RetryBudgetTerms, own: Address, seeds: Collection[Address]
) -> FleetSettings:
    """Return the settings for the fleet.

    A daemon that has left counts until its last retries do not count any more.
    If the others took over its part of the allowance before that, all of them
    together would exceed the budget.
    """
    left_silence = max(LEFT_SILENCE, terms.retention)
    return FleetSettings(own, frozenset(seeds), PEER_EXPIRY, left_silence)


def _spread(own: Address) -> float:
    """Return a number from 0 to 1 that differs from daemon to daemon."""
    return zlib.crc32(str(own).encode()) / _MAX_CRC32
