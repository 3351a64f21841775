"""What a gateway and its peers remember of callers' requests."""

from dataclasses import dataclass

from linnetwind.clock import Clock
from linnetwind.crashes import Crashes
from linnetwind.peer_book import PeerState
from linnetwind.refusal_book import Refusals
from linnetwind.repeat_budget import BudgetTerms, SharedRepeats


@dataclass(frozen=True, slots=True)
class RequestBooks:
    """The books; each may be used from any thread.

    `repeats` are the budgets of second tries, `refusals` who was told to come
    back, `crashes` the requests under which upstreams have crashed.
    """

    repeats: SharedRepeats
    refusals: Refusals
    crashes: Crashes

    def hear(self, state: PeerState, daemons: int) -> None:
        """Take in a peer's message.

        Args:
          state: What the peer sent.
          daemons: How many daemons there are, this one included.
        """
        self.refusals.hear(state.refused)
        self.crashes.hear(state.crashes, state.answered)
        self.repeats.share_among(daemons)


def make_books(terms: BudgetTerms, clock: Clock) -> RequestBooks:
    """Return empty books.

    Args:
      terms: The shared budget of second tries.
      clock: For forgetting.

    Returns:
      The books.
    """
    return RequestBooks(
        SharedRepeats(terms, clock), Refusals(clock), Crashes(clock)
    )
