"""One request's way from the entry daemon to an answer."""

import queue
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count

from linnetwind.answer import (
    AnswerAssembler,
    Body,
    Failed,
    Finished,
    Frame,
    Opened,
    Step,
)
from linnetwind.clock import Clock
from linnetwind.decisions import log_decision
from linnetwind.fleet import Fleet
from linnetwind.http_request import CheckedRequest
from linnetwind.link import CallStream, Link
from linnetwind.link_pool import LinkPool
from linnetwind.messages import Call, Cancel, Headers
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.retry import Attempt, GiveUp, RetryBudget, after_failure
from linnetwind.routing import (
    Choice,
    NoCandidate,
    RouteRequest,
    choose,
    choose_home,
    without,
)

FATE_SECONDS = 1.0
MOST_HELD_BYTES = 65_536

# Failures that say something about the upstream's or its host's health.
_BLAMED = frozenset(
    (
        Reason.CONNECTION_LOST,
        Reason.UPSTREAM_REFUSED,
        Reason.INCOMPLETE_ANSWER,
        Reason.UNREACHABLE,
    )
)
_BLOCK_MS = 2.0
_SHORTEST_WAIT = 0.001
_MS = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)


@dataclass(frozen=True)
class OpenAnswer:
    """An answer whose head and first part have come."""

    status: int
    headers: Headers
    body: Iterator[bytes]


@dataclass
class _Run:
    """One attempt under way."""

    request: CheckedRequest
    upstream: str
    link: Link
    stream: CallStream
    deadline: timedelta
    assembler: AnswerAssembler = field(default_factory=AnswerAssembler)


class BrokenAnswer(Exception):  # noqa: N818
    """The answer broke after its head went out to the caller."""

    def __init__(self, outcome: NotRun | Unknown) -> None:
        """Keep the outcome.

        Args:
          outcome: What is known of the request.
        """
        super().__init__(outcome.reason)
        self.outcome = outcome


class Dispatcher:
    """Routes requests, follows their answers and retries where allowed."""

    def __init__(
        self,
        site: str,
        incarnation: str,
        fleet: Fleet,
        links: LinkPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with no requests.

        Args:
          site: Where this daemon is.
          incarnation: Differs after each restart; starts each call id.
          fleet: What is known of the upstreams.
          links: The connections to the side daemons.
          clock: For deadlines.
          rng: For sampling.
        """
        self._site = site
        self._incarnation = incarnation
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._rng = rng
        self._numbers = count()
        self._budget = RetryBudget(0)
        self._lock = links.lock

    def open(self, request: CheckedRequest) -> OpenAnswer | NotRun | Unknown:
        """Run a request until its answer begins, or until it has failed.

        Args:
          request: The request.

        Returns:
          The open answer, or the outcome without one.
        """
        deadline = self._clock.elapsed() + request.timeout
        base = self._fleet.base
        attempts = base.routing.max_attempts if base else 1
        self._budget.ratio = base.routing.retry_budget if base else 0
        self._budget.earn()
        tried: set[str] = set()
        while True:
            attempts -= 1
            found = self._attempt(request, frozenset(tried), deadline)
            if isinstance(found, OpenAnswer):
                return found
            outcome, upstream = found
            tried.add(upstream)
            decision = after_failure(
                Attempt(
                    outcome,
                    # The key's ledger keeps a second run from happening.
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

    def _attempt(
        self,
        request: CheckedRequest,
        tried: frozenset[str],
        deadline: timedelta,
    ) -> OpenAnswer | tuple[NotRun | Unknown, str]:
        with self._lock:
            choice = self._choose(request, tried)
        if isinstance(choice, NoCandidate):
            outcome = NotRun(Reason.NO_UPSTREAM, choice.retry_after)
            return outcome, ''
        run = self._start(request, choice.upstream, deadline)
        if isinstance(run, NotRun):
            return run, choice.upstream
        opened = self._wait_for_head(run)
        if isinstance(opened, OpenAnswer):
            return opened
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
        )
        fresh = without(candidates, tried)
        identity = request.idempotency
        if identity is None:
            choice = choose(fresh, route, base.routing, self._rng)
        else:
            choice = choose_home(fresh, request.service.name, identity.slot)
        _log_choice(request, choice)
        return choice

    def _start(
        self, request: CheckedRequest, upstream: str, deadline: timedelta
    ) -> _Run | NotRun:
        call = self._make_call(request, upstream, deadline)
        link = self._links.link_to(upstream)
        if link is None:
            return NotRun(Reason.UNREACHABLE, _SECOND)
        with self._lock:
            self._fleet.call_sent(upstream, request.blocks)
        started = link.start(call)
        if started.is_err():
            self._ended(upstream, Reason.UNREACHABLE)
            return NotRun(Reason.UNREACHABLE, _SECOND)
        return _Run(request, upstream, link, started.unwrap(), deadline)

    def _make_call(
        self, request: CheckedRequest, upstream: str, deadline: timedelta
    ) -> Call:
        left = max(deadline - self._clock.elapsed(), timedelta())
        identity = request.idempotency
        return Call(
            f'{self._incarnation}:{next(self._numbers)}',
            request.request_id,
            upstream,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.customer.name,
            request.customer.priority,
            left // _MS,
            request.repeatable,
            request.streamed,
            request.service.name,
            identity.slot if identity else None,
            identity.key if identity else None,
            identity.fingerprint if identity else None,
        )

    def _wait_for_head(self, run: _Run) -> OpenAnswer | NotRun | Unknown:
        # The head of a stream is held until its first part has come, that
        # of another answer until it is whole or large: until then nothing
        # went out to the caller, a repeatable request can still be tried
        # elsewhere, and a failure has a status of its own.
        opened: Opened | None = None
        held: list[bytes] = []
        most = 1 if run.request.streamed else MOST_HELD_BYTES
        steps = self._steps(run)
        for step in steps:
            match step:
                case Opened():
                    opened = step
                case Failed(outcome):
                    return outcome
                case Body(body):
                    held.append(body)
            enough = sum(len(body) for body in held) >= most
            if opened is not None and (enough or isinstance(step, Finished)):
                rest = self._body(held, steps, run)
                return OpenAnswer(opened.status, opened.headers, rest)
        return Unknown(Reason.INTERNAL)

    def _body(
        self, held: list[bytes], steps: Iterator[Step], run: _Run
    ) -> Iterator[bytes]:
        try:
            yield from held
            yield from _bodies(steps)
        finally:
            if not run.assembler.done:
                # The caller has gone away.
                run.link.post(Cancel(run.stream.call_id))
                self._conclude(run, None)

    def _steps(self, run: _Run) -> Iterator[Step]:
        while not run.assembler.done:
            frame = self._next_frame(run)
            with self._lock:
                self._fleet.sign_of_life(run.upstream)
            if frame is None:
                outcome = self._resolve(run, Reason.DEADLINE)
                self._conclude(run, outcome.reason)
                yield Failed(outcome)
                return
            for step in run.assembler.accept(frame):
                yield self._settle(run, step)

    def _settle(self, run: _Run, step: Step) -> Step:
        match step:
            case Failed(Unknown(Reason.CONNECTION_LOST)):
                outcome = self._resolve(run, Reason.CONNECTION_LOST)
                self._conclude(run, Reason.CONNECTION_LOST)
                return Failed(outcome)
            case Failed(outcome):
                self._conclude(run, outcome.reason)
            case Finished():
                self._conclude(run, None)
        return step

    def _next_frame(self, run: _Run) -> Frame | None:
        left = run.deadline - self._clock.elapsed()
        try:
            return run.stream.frames.get(
                timeout=max(left.total_seconds(), _SHORTEST_WAIT)
            )
        except queue.Empty:
            return None

    def _resolve(self, run: _Run, reason: Reason) -> NotRun | Unknown:
        """Find out whether a call whose answer is missing has started."""
        call_id = run.stream.call_id
        link = self._links.fresh_link_to(run.upstream)
        # Only the very process that took the call can say that it did not
        # start it; one that was restarted meanwhile knows nothing.
        if link is None or link.peer.incarnation != run.link.peer.incarnation:
            return Unknown(reason)
        fate = link.ask_fate(call_id, FATE_SECONDS)
        if fate is None or fate.started:
            link.post(Cancel(call_id))
            return Unknown(reason)
        return NotRun(reason, _SECOND)

    def _conclude(self, run: _Run, reason: Reason | None) -> None:
        run.link.forget(run.stream.call_id)
        self._ended(run.upstream, reason)

    def _ended(self, upstream: str, reason: Reason | None) -> None:
        with self._lock:
            self._fleet.call_ended(upstream, failed=reason in _BLAMED)


def make_dispatcher(
    site: str,
    incarnation: str,
    fleet: Fleet,
    links: LinkPool,
    clock: Clock,
) -> Dispatcher:
    """Build a dispatcher with a random generator of its own.

    Args:
      site: Where this daemon is.
      incarnation: Differs after each restart.
      fleet: What is known of the upstreams.
      links: The connections to the side daemons.
      clock: For deadlines.

    Returns:
      The dispatcher.
    """
    rng = random.Random(incarnation)  # noqa: S311
    return Dispatcher(site, incarnation, fleet, links, clock, rng)


def _bodies(steps: Iterator[Step]) -> Iterator[bytes]:
    for step in steps:
        match step:
            case Body(body):
                yield body
            case Failed(outcome):
                raise BrokenAnswer(outcome)


def _log_choice(request: CheckedRequest, choice: Choice | NoCandidate) -> None:
    facts = {
        'request': request.request_id,
        'customer': request.customer.name,
        'service': request.service.name,
    }
    match choice:
        case Choice(upstream=upstream, reason=reason, best=best):
            facts['upstream'] = upstream
            facts['reason'] = reason
            facts['expected_ms'] = str(round(best.total_ms, 1))
            facts['passed_over'] = ' '.join(
                f'{each.upstream}={each.total_ms:.1f}'
                for each in choice.passed_over
            )
            log_decision('routed', facts)
        case NoCandidate():
            log_decision('no_upstream', facts)
