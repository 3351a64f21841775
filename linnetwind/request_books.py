"""What a gateway and its peers remember of callers' requests."""

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
    """The books; each may be used from any thread.

    `repeats` are the budgets of second tries, `refusals` who was told to come
    back, `crashes` the requests under which upstreams have crashed, `limits`
    how many requests upstreams take, `backoffs` which of them want none for a
    time.
    """

    repeats: SharedRepeats
    refusals: Refusals
    crashes: Crashes
    limits: UpstreamLimits
    backoffs: UpstreamBackoffs

    def hear(self, state: PeerState, daemons: int) -> None:
        """Take in a peer's message.

        Args:
          state: What the peer sent.
          daemons: How many daemons there are, this one included.
        """
        self.refusals.hear(state.refused)
        self.crashes.hear(state.crashes, state.answered)
        self.repeats.share_among(daemons)
        self.limits.hear(state.limits)


def make_books(
    terms: BudgetTerms, clock: Clock, peers: Callable[[], PeerBook]
) -> RequestBooks:
    """Return empty books.

    Args:
      terms: The shared budget of second tries.
      clock: For forgetting.
      peers: Returns what is known of the peers.

    Returns:
      The books.
    """
    repeats = SharedRepeats(terms, clock)

    def demands(service: str) -> Mapping[str, float]:  # noqa: WPS430
        own = ServiceDemand(service, repeats.demand(service))
        return demands_of(peers(), own, clock.elapsed())

    return RequestBooks(
        repeats,
        Refusals(clock),
        Crashes(clock),
        UpstreamLimits(clock, str(peers().own), demands),
        UpstreamBackoffs(clock),
    )
