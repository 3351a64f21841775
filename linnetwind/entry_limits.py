"""Enforcement of customers' limits at an entry daemon.

The module adds locking, logging and the exchange with the side daemons that
own the customers' limits to the limiter.
"""

import threading
from collections import defaultdict

from linnetwind.clock import Clock
from linnetwind.customer_rate_limits import (
    Admitted,
    CustomerRateLimiter,
    OverLimit,
)
from linnetwind.decision_log import log_decision
from linnetwind.http_request import CheckedRequest
from linnetwind.link_pool import LinkPool
from linnetwind.messages import CustomerDemand, Demand, Shares
from linnetwind.outcome import NotRun, Reason
from linnetwind.shares import share_owner

# The fraction of each limit that a daemon uses until it has received its
# share from the owner. Only a few entry hosts behind the balancer share a
# limit.
INITIAL_FRACTION = 0.5


class EntryLimits:
    """Admits and settles requests; exchanges demand and shares."""

    def __init__(self, name: str, links: LinkPool, clock: Clock) -> None:
        """Create the limits with full accounts.

        Args:
          name: The name of the entry daemon.
          links: The connections to the side daemons that own the limits.
          clock: The clock for refilling the accounts.
        """
        self._name = name
        self._links = links
        self._limiter = CustomerRateLimiter(clock, INITIAL_FRACTION)
        self._admitted: dict[str, Admitted] = {}
        self._lock = threading.Lock()

    def admit(self, request: CheckedRequest) -> NotRun | None:
        """Check the limits of a customer before a request runs.

        Args:
          request: The request.

        Returns:
          A refusal with the time after which to retry, or None if the
          request may run.
        """
        with self._lock:
            decision = self._limiter.admit(request.customer, request.tokens)
            if isinstance(decision, Admitted):
                self._admitted[request.request_id] = decision
                return None
        return _over_limit(request, decision)

    def settle(self, request: CheckedRequest, tokens: int) -> None:
        """Correct the account of the customer after a request.

        Args:
          request: The request.
          tokens: The tokens that the request has used.
        """
        with self._lock:
            admitted = self._admitted.pop(request.request_id, None)
            if admitted is not None:
                self._limiter.settle(request.customer, admitted, tokens)

    def exchange(self) -> None:
        """Send this daemon's demand to the owners; called once a second."""
        with self._lock:
            demand = self._limiter.collect_demand()
        links = {link.peer.name: link for link in self._links.links.values()}
        demands_by_owner: dict[str, list[CustomerDemand]] = defaultdict(list)
        for customer, (requests, tokens) in demand.items():
            owner = share_owner(customer, list(links))
            if owner is not None:
                customer_demand = CustomerDemand(customer, requests, tokens)
                demands_by_owner[owner].append(customer_demand)
        for owner, demands in demands_by_owner.items():
            links[owner].post(Demand(self._name, tuple(demands)))

    def apply_shares(self, shares: Shares) -> None:
        """Apply the shares that an owner has sent.

        Args:
          shares: The fractions of some customers' limits.
        """
        fractions = {share.customer: share.fraction for share in shares.shares}
        with self._lock:
            self._limiter.update_fractions(fractions)


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
