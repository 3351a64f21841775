"""The limiter of an entry daemon at work: threads, homes and log lines."""

import threading
from collections import defaultdict

from linnetwind.clock import Clock
from linnetwind.decisions import log_decision
from linnetwind.http_request import CheckedRequest
from linnetwind.limits import Admitted, Limiter, OverLimit
from linnetwind.link_pool import LinkPool
from linnetwind.messages import CustomerDemand, Demand, Shares
from linnetwind.outcome import NotRun, Reason
from linnetwind.shares import home_of

# Until a home has told better, a daemon takes this part of each limit: a
# few entry hosts stand behind the balancer.
FIRST_FRACTION = 0.5


class EntryLimits:
    """Admits and settles requests; exchanges demand and shares."""

    def __init__(self, name: str, links: LinkPool, clock: Clock) -> None:
        """Start with full accounts.

        Args:
          name: The entry daemon's name.
          links: The connections to the homes.
          clock: For refilling.
        """
        self._name = name
        self._links = links
        self._limiter = Limiter(clock, FIRST_FRACTION)
        self._admitted: dict[str, Admitted] = {}
        self._lock = threading.Lock()

    def admit(self, request: CheckedRequest) -> NotRun | None:
        """Check a customer's limits before a request runs.

        Args:
          request: The request.

        Returns:
          A refusal with the time to come back, or None.
        """
        with self._lock:
            decision = self._limiter.admit(request.customer, request.tokens)
            if isinstance(decision, Admitted):
                self._admitted[request.request_id] = decision
                return None
        return _over_limit(request, decision)

    def settle(self, request: CheckedRequest, tokens: int) -> None:
        """Correct the account after a request.

        Args:
          request: The request.
          tokens: The tokens generated.
        """
        with self._lock:
            admitted = self._admitted.pop(request.request_id, None)
            if admitted is not None:
                self._limiter.settle(request.customer, admitted, tokens)

    def exchange(self) -> None:
        """Tell the homes this daemon's demand; called once a second."""
        with self._lock:
            demand = self._limiter.take_demand()
        links = {link.peer.name: link for link in self._links.links.values()}
        by_home: dict[str, list[CustomerDemand]] = defaultdict(list)
        for customer, (requests, tokens) in demand.items():
            home = home_of(customer, list(links))
            if home is not None:
                each = CustomerDemand(customer, requests, tokens)
                by_home[home].append(each)
        for home, demands in by_home.items():
            links[home].post(Demand(self._name, tuple(demands)))

    def take_shares(self, shares: Shares) -> None:
        """Take a home's answer.

        Args:
          shares: The parts of some customers' limits.
        """
        fractions = {each.customer: each.fraction for each in shares.shares}
        with self._lock:
            self._limiter.take_fractions(fractions)


def _over_limit(request: CheckedRequest, decision: OverLimit) -> NotRun:
    log_decision(
        'over_limit',
        {
            'request': request.request_id,
            'customer': request.customer.name,
            'retry_after_s': decision.retry_after.total_seconds(),
        },
    )
    return NotRun(Reason.CUSTOMER_LIMIT, decision.retry_after)
