"""The request history that a gateway daemon shares with its peers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from linnetwind.clock import Clock
from linnetwind.crashes import Crashes
from linnetwind.peer_book import PeerBook, PeerState, demands_of
from linnetwind.refusal_book import Refusals
from linnetwind.repeat_budget import BudgetTerms, SharedRepeats
from linnetwind.upstream_backoff import UpstreamBackoffs
from linnetwind.upstream_limits import ServiceDemand, UpstreamLimits


@dataclass(frozen=True, slots=True)
class RequestBooks:
    """Retry budgets, refusals, crashes, limits and backoffs; thread-safe.

    `retry_budgets` limits the retries to each service. `refusals` holds the
    requests that were refused with a time to retry, `crashes` the requests
    during which upstreams crashed, `limits` the upstreams' limits on requests
    per second, and `backoffs` the upstreams that currently accept no requests.
    """

    repeats: SharedRepeats
    refusals: Refusals
    crashes: Crashes
    limits: UpstreamLimits
    backoffs: UpstreamBackoffs

    def hear(self, state: PeerState, daemons: int) -> None:
        """Merge the state that a peer sent.

        Args:
          state: The peer's state.
          daemons: The number of daemons, including this one.
        """
        self.refusals.hear(state.refused)
        self.crashes.hear(state.crashes, state.answered)
        self.repeats.share_among(daemons)
        self.limits.hear(state.limits)


def make_books(
    terms: BudgetTerms, clock: Clock, peers: Callable[[], PeerBook]
) -> RequestBooks:
    """Return an empty request history.

    Args:
      terms: The terms of the shared retry budget.
      clock: The clock for expiring records.
      peers: Returns the current states of the peers.

    Returns:
      The request history.
    """
    repeats = SharedRepeats(terms, clock)

    def demands(service: str) -> Mapping[str, float]:  # noqa: WPS430
        own_demand = ServiceDemand(service, repeats.demand(service))
        return demands_of(peers(), own_demand, clock.elapsed())

    return RequestBooks(
        repeats,
        Refusals(clock),
        Crashes(clock),
        UpstreamLimits(clock, str(peers().own), demands),
        UpstreamBackoffs(clock),
    )
