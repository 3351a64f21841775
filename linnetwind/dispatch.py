"""Dispatches requests from an entry daemon to upstreams, with retries."""

import random
from datetime import timedelta
from itertools import count

from linnetwind.clock import Clock
from linnetwind.decision_log import log_decision
from linnetwind.dispatch_crash_tracker import (
    DispatchCrashTracker,
    SentRequest,
)
from linnetwind.fleet import Fleet
from linnetwind.http_request import CheckedRequest
from linnetwind.in_flight_call import InFlightCall, OpenResponse, SentCall
from linnetwind.link_pool import LinkPool
from linnetwind.messages import Call
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.retry import Attempt, GiveUp, RetryBudget, after_failure
from linnetwind.routing import (
    Choice,
    NoCandidate,
    RouteRequest,
    choose,
    choose_slot_owner,
    exclude_tried,
)

_BLOCK_MS = 2.0
_MS = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)


class Dispatcher:
    """Routes requests to upstreams, and retries failed ones where allowed."""

    def __init__(
        self,
        site: str,
        incarnation: str,
        fleet: Fleet,
        links: LinkPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without requests.

        Args:
          site: The site of this daemon.
          incarnation: Identifies this process; it differs after each restart
            and is the prefix of each call id.
          fleet: The state of the upstreams.
          links: The connections to the side daemons.
          clock: The clock for deadlines.
          rng: The random generator for sampling.
        """
        self._site = site
        self._incarnation = incarnation
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._rng = rng
        self._call_numbers = count()
        self._budget = RetryBudget(clock)
        self._crashes = DispatchCrashTracker(clock)
        self._lock = links.lock

    def open(self, request: CheckedRequest) -> OpenResponse | NotRun | Unknown:
        """Run a request until its response starts or the request fails.

        Args:
          request: The request.

        Returns:
          The open response, or the outcome if there is none.
        """
        self._crashes.record_arrival(request)
        quarantined = self._crashes.refusal(request)
        if quarantined is not None:
            return quarantined
        deadline = self._clock.elapsed() + request.timeout
        base = self._fleet.base
        attempts = base.routing.max_attempts if base else 1
        self._budget.earn(base.routing.retry_budget if base else 0)
        tried: set[str] = set()
        while True:
            attempts -= 1
            attempt_result = self._attempt(request, frozenset(tried), deadline)
            if isinstance(attempt_result, OpenResponse):
                return attempt_result
            outcome, upstream = attempt_result
            tried.add(upstream)
            decision = after_failure(
                Attempt(
                    outcome,
                    # With an idempotency key, the recorded claim prevents a
                    # second run.
                    request.repeatable or request.idempotency is not None,
                    attempts,
                    deadline - self._clock.elapsed(),
                ),
                self._budget,
            )
            log_decision(
                'attempt_failed',
                {
                    'request': request.request_id,
                    'upstream': upstream,
                    'outcome': type(outcome).__name__,
                    'reason': outcome.reason,
                    'then': type(decision).__name__,
                },
            )
            if isinstance(decision, GiveUp):
                return decision.outcome
            if self._crashes.refusal(request) is not None:
                return outcome

    def _attempt(
        self,
        request: CheckedRequest,
        tried: frozenset[str],
        deadline: timedelta,
    ) -> OpenResponse | tuple[NotRun | Unknown, str]:
        with self._lock:
            choice = self._choose(request, tried)
        if isinstance(choice, NoCandidate):
            outcome = NotRun(Reason.NO_UPSTREAM, choice.retry_after)
            return outcome, ''
        started_at = self._clock.elapsed()
        run = self._start(request, choice.upstream, deadline)
        if isinstance(run, NotRun):
            return run, choice.upstream
        opened = run.open()
        sent = SentRequest(request, choice.upstream, started_at)
        if isinstance(opened, OpenResponse):
            return self._crashes.track_answer(sent, opened)
        self._crashes.record_crash(sent, opened)
        return opened, choice.upstream

    def _choose(
        self, request: CheckedRequest, tried: frozenset[str]
    ) -> Choice | NoCandidate:
        base = self._fleet.base
        if base is None:
            return NoCandidate(_SECOND)
        candidates = self._fleet.candidates(request.service, request.blocks)
        route = RouteRequest(
            self._site,
            self._fleet.region(self._site),
            len(request.blocks),
            _BLOCK_MS,
            request.tokens - request.prompt_tokens,
        )
        untried = exclude_tried(candidates, tried)
        identity = request.idempotency
        if identity is None:
            choice = choose(untried, route, base.routing, self._rng)
        else:
            choice = choose_slot_owner(
                untried, request.service.name, identity.slot
            )
        _log_choice(request, choice)
        return choice

    def _start(
        self, request: CheckedRequest, upstream: str, deadline: timedelta
    ) -> InFlightCall | NotRun:
        call = self._make_call(request, upstream, deadline)
        link = self._links.link_to(upstream)
        if link is None:
            return NotRun(Reason.UNREACHABLE, _SECOND)
        with self._lock:
            self._fleet.record_call_sent(upstream, request.blocks)
        started = link.start(call)
        if started.is_err():
            with self._lock:
                self._fleet.record_call_end(upstream, failed=True)
            return NotRun(Reason.UNREACHABLE, _SECOND)
        return InFlightCall(
            SentCall(upstream, link, started.unwrap(), deadline),
            self._fleet,
            self._links,
            self._clock,
            streamed=request.streamed,
        )

    def _make_call(
        self, request: CheckedRequest, upstream: str, deadline: timedelta
    ) -> Call:
        time_left = max(deadline - self._clock.elapsed(), timedelta())
        identity = request.idempotency
        return Call(
            f'{self._incarnation}:{next(self._call_numbers)}',
            request.request_id,
            upstream,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.customer.name,
            request.customer.priority,
            time_left // _MS,
            request.repeatable,
            request.streamed,
            request.service.name,
            identity.slot if identity else None,
            identity.key if identity else None,
            identity.fingerprint if identity else None,
        )


def make_dispatcher(
    site: str,
    incarnation: str,
    fleet: Fleet,
    links: LinkPool,
    clock: Clock,
) -> Dispatcher:
    """Build a dispatcher with its own random generator.

    Args:
      site: The site of this daemon.
      incarnation: Identifies this process; it differs after each restart.
      fleet: The state of the upstreams.
      links: The connections to the side daemons.
      clock: The clock for deadlines.

    Returns:
      The dispatcher.
    """
    rng = random.Random(incarnation)
    return Dispatcher(site, incarnation, fleet, links, clock, rng)


def _log_choice(request: CheckedRequest, choice: Choice | NoCandidate) -> None:
    fields = {
        'request': request.request_id,
        'customer': request.customer.name,
        'service': request.service.name,
    }
    match choice:
        case Choice(upstream=upstream, reason=reason, best=best):
            fields['upstream'] = upstream
            fields['reason'] = reason
            fields['expected_ms'] = str(round(best.total_ms, 1))
            fields['passed_over'] = ' '.join(
                f'{each.upstream}={each.total_ms:.1f}'
                for each in choice.passed_over
            )
            log_decision('routed', fields)
        case NoCandidate():
            log_decision('no_upstream', fields)
