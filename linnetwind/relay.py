"""One caller's request, from its head to its final answer."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.call_policy import (
    Allowed,
    AttemptLost,
    Denied,
    GiveUp,
    Progressed,
    TryAnother,
    after_loss,
    allow,
)
from linnetwind.call_types import (
    AnswerFacts,
    CallerRequest,
    CallFacts,
    Dialect,
    Forwarding,
    Headers,
)
from linnetwind.caller_connection import CallerConnection
from linnetwind.clock import Clock
from linnetwind.event_stream import EventSplitter, StreamEvent
from linnetwind.gateway_events import AttemptFailed, RequestEnded
from linnetwind.gateway_state import GatewayState
from linnetwind.routes import (
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    choose_service,
)
from linnetwind.step_log import StepLog
from linnetwind.stream_gate import RunNow, TurnAway
from linnetwind.upstream_call import (
    Broken,
    CallerLeft,
    CallOpener,
    End,
    Head,
    NotReached,
    OutOfTime,
    Piece,
    UpstreamCall,
    read_whole,
)
from linnetwind.upstream_list import Upstream

# Answers up to this size are read whole before any of it goes on, so that
# one that breaks off can be replaced. Larger ones are passed on as they come.
BUFFERED_BYTES = 262_144
# The time limit of a caller that names none.
USUAL_TIME_LIMIT = timedelta(seconds=30)
# When a caller may come back whose request no upstream could take.
_RETRY_SOON = timedelta(milliseconds=400)
# The part of the time that is left after which an idempotent request at a
# silent upstream is given to another one, if the budget allows.
_PATIENCE = 0.4
_SERVER_ERRORS = 500
_OK = range(200, 300)


@dataclass(frozen=True, slots=True)
class GatewayTools:
    """What every request needs."""

    state: GatewayState
    dialect: Dialect
    clock: Clock
    log: StepLog
    open_call: CallOpener
    is_draining: Callable[[], bool]


@dataclass(slots=True)
class _Journey:
    """How far a request is."""

    facts: CallFacts
    table: RouteTable
    until: timedelta
    route: Route | None = None
    customer: str | None = None
    service: RoutedService | None = None
    queued: timedelta = timedelta()
    sent_to: list[str] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    first_byte: timedelta | None = None
    last_event: int | None = None
    events: int = 0
    started: bool = False
    last_at: timedelta | None = None
    longest_pause: timedelta = timedelta()
    failure: tuple[Head, bytes] | None = None


@dataclass(frozen=True, slots=True)
class _Done:
    """The request has ended; what the log says of it."""

    outcome: str
    status: int
    reason: str = ''


class Relay:
    """Carries one request to upstreams and the answer back."""

    def __init__(
        self,
        tools: GatewayTools,
        connection: CallerConnection,
        request: CallerRequest,
    ) -> None:
        """Take a request that was read whole.

        Args:
          tools: What every request needs.
          connection: The caller's connection.
          request: The request.
        """
        self._tools = tools
        self._connection = connection
        self._request = request
        self._facts = tools.dialect.read_call(request)

    def run(self) -> bool:
        """Serve the request.

        Returns:
          Whether the caller's connection may be used again.
        """
        table = self._tools.state.table
        if table is None:
            # Without a configuration nobody can say that a route or key does
            # not exist, so that 404 or 401 would be false.
            return self._refuse_early(_RETRY_SOON)
        decision = allow(table, self._facts)
        journey = self._journey(table)
        match decision:
            case Denied(status, reason):
                self._answer(status, ())
                done = _Done('denied', status, reason)
            case Allowed(route, customer):
                journey.route = route
                journey.customer = customer
                journey.until = min(
                    journey.until, self._request.received + route.timeout
                )
                done = self._serve(journey)
        self._report(journey, done)
        return self._connection.reusable and done.outcome != 'cut'

    def _journey(self, table: RouteTable) -> _Journey:
        limit = self._facts.time_limit or USUAL_TIME_LIMIT
        return _Journey(self._facts, table, self._request.received + limit)

    def _refuse_early(self, retry_after: timedelta) -> bool:
        self._answer(503, _retry_after(retry_after))
        return self._connection.reusable

    def _serve(self, journey: _Journey) -> _Done:
        name = choose_service(journey.route, random.random())
        service = journey.table.services.get(name)
        if service is None:
            return self._give_up(
                journey, GiveUp(503, not_run=True, reason='no such service')
            )
        journey.service = service
        self._tools.state.count_request(name)
        if service.engine is not None:
            turned = self._wait_for_place(journey)
            if turned is not None:
                return turned
        return self._attempts(journey)

    def _wait_for_place(self, journey: _Journey) -> _Done | None:
        route, service = journey.route, journey.service
        state = self._tools.state
        line = state.line(service.name)
        verdict = line.enter(
            lambda: state.group_view(service, route.gap),
            self._request.received,
            route.target,
        )
        journey.queued = self._tools.clock.elapsed() - self._request.received
        match verdict:
            case TurnAway(retry_after, reason):
                self._answer(503, _retry_after(retry_after))
                return _Done('refused', 503, reason)
            case RunNow():
                return None
        return None

    def _attempts(self, journey: _Journey) -> _Done:
        state = self._tools.state
        while True:
            if self._connection.left():
                return _Done('caller left', 0)
            upstream = state.take_upstream(
                journey.service, frozenset(journey.tried)
            )
            if upstream is None:
                return self._no_upstream(journey)
            try:
                ended = self._attempt(journey, upstream)
            finally:
                state.give_back(upstream)
            if isinstance(ended, _Done):
                return ended
            after = self._after(journey, upstream, ended)
            if after is not None:
                return after

    def _no_upstream(self, journey: _Journey) -> _Done:
        status = 502 if journey.may_have_run else 503
        not_run = not journey.may_have_run
        return self._give_up(
            journey, GiveUp(status, not_run=not_run, reason='no upstream left')
        )

    def _after(
        self, journey: _Journey, upstream: Upstream, lost: AttemptLost
    ) -> _Done | None:
        """Decide what follows a lost attempt; None if another one does."""
        journey.tried.add(upstream.instance)
        journey.may_have_run = journey.may_have_run or lost.may_have_run
        left = journey.until - self._tools.clock.elapsed()
        progressed = Progressed(
            len(journey.sent_to), journey.may_have_run, left
        )
        decision = after_loss(journey.route, lost, progressed)
        if isinstance(decision, TryAnother) and decision.counts:
            if not self._tools.state.spend_repeat(journey.service.name):
                decision = decision.instead
        again = isinstance(decision, TryAnother)
        self._tools.log.event(
            AttemptFailed(
                journey.facts.call_id,
                upstream.instance,
                'may have run' if lost.may_have_run else 'not run',
                lost.reason,
                journey.events,
                'another upstream' if again else 'final answer',
            )
        )
        if isinstance(decision, GiveUp):
            return self._give_up(journey, decision)
        return None

    def _give_up(self, journey: _Journey, decision: GiveUp) -> _Done:
        if journey.started:
            # Part of a stream is with the caller: only a connection that
            # breaks tells it that the rest is missing.
            self._connection.close()
            return _Done('cut', 0, decision.reason)
        if journey.failure is not None:
            # The upstream's own failure says more than one made up here.
            head, body = journey.failure
            headers = self._tools.dialect.answer_headers(head.headers)
            self._answer(head.status, headers, body)
            return _Done('answered', head.status, decision.reason)
        headers = _retry_after(_RETRY_SOON) if decision.not_run else ()
        self._answer(decision.status, headers)
        outcome = 'refused' if decision.not_run else 'unknown'
        return _Done(outcome, decision.status, decision.reason)

    def _attempt(
        self, journey: _Journey, upstream: Upstream
    ) -> _Done | AttemptLost:
        started = self._tools.clock.elapsed()
        call = self._tools.open_call(
            upstream.address,
            self._connection.fileno,
            self._tools.clock,
            journey.until - started,
        )
        if isinstance(call, NotReached):
            self._tools.state.note_miss(upstream)
            return AttemptLost(call.problem, may_have_run=False, reached=False)
        journey.sent_to.append(upstream.instance)
        try:
            ended = self._exchange(journey, upstream, call)
        finally:
            call.close()
        failed = isinstance(ended, AttemptLost) and ended.may_have_run
        took = self._tools.clock.elapsed() - started
        self._tools.state.note_answer(upstream, took, failed=failed)
        return ended

    def _exchange(
        self, journey: _Journey, upstream: Upstream, call: UpstreamCall
    ) -> _Done | AttemptLost:
        now = self._tools.clock.elapsed()
        forwarding = Forwarding(
            upstream.instance,
            journey.customer,
            journey.until - now,
            journey.last_event,
        )
        headers = self._tools.dialect.write_forward(self._request, forwarding)
        failed = call.send(self._request, headers, journey.until)
        if failed is not None:
            return _lost(failed)
        head = call.next(self._patience(journey, now))
        if isinstance(head, OutOfTime) and not self._time_is_over(journey):
            return AttemptLost(
                'silent upstream', may_have_run=True, reached=True
            )
        if not isinstance(head, Head):
            return _lost(head)
        answer = self._tools.dialect.read_answer(head.status, head.headers)
        if answer.not_executed or answer.misdirected:
            reason = f'upstream refused with {head.status}'
            return AttemptLost(reason, may_have_run=False, reached=True)
        if not self._is_ours(answer):
            return AttemptLost(
                'not an answer to this call', may_have_run=True, reached=True
            )
        if journey.route.kind is RouteKind.STREAM and head.status in _OK:
            return self._stream(journey, call, head)
        return self._whole(journey, call, head)

    def _patience(self, journey: _Journey, now: timedelta) -> timedelta:
        if journey.route.kind is not RouteKind.IDEMPOTENT:
            return journey.until
        if len(journey.sent_to) >= journey.route.max_attempts:
            return journey.until
        return now + (journey.until - now) * _PATIENCE

    def _time_is_over(self, journey: _Journey) -> bool:
        return self._tools.clock.elapsed() >= journey.until

    def _is_ours(self, answer: AnswerFacts) -> bool:
        return answer.signed and answer.call_id == self._facts.call_id

    def _whole(
        self, journey: _Journey, call: UpstreamCall, head: Head
    ) -> _Done | AttemptLost:
        found = read_whole(call, BUFFERED_BYTES, journey.until)
        if not isinstance(found, tuple):
            return _lost(found)
        body, whole = found
        if head.status >= _SERVER_ERRORS and self._may_repeat(journey):
            if whole:
                journey.failure = (head, body)
            return AttemptLost(
                f'upstream failed with {head.status}',
                may_have_run=True,
                reached=True,
            )
        journey.first_byte = self._tools.clock.elapsed()
        headers = self._tools.dialect.answer_headers(head.headers)
        if whole:
            self._answer(head.status, headers, body)
            return _Done('answered', head.status)
        return self._pass_on(journey, call, head, body)

    def _may_repeat(self, journey: _Journey) -> bool:
        """Return whether a failure may be replaced by another upstream's."""
        route = journey.route
        left = journey.until - self._tools.clock.elapsed()
        return (
            route.kind is RouteKind.IDEMPOTENT
            and len(journey.sent_to) < route.max_attempts
            and left > timedelta()
        )

    def _pass_on(
        self, journey: _Journey, call: UpstreamCall, head: Head, body: bytes
    ) -> _Done:
        """Pass on an answer that is too long to be kept."""
        headers = self._tools.dialect.answer_headers(head.headers)
        journey.started = True
        sent = self._connection.start(head.status, headers)
        sent = sent and self._connection.send(body)
        while sent:
            progress = call.next(journey.until)
            match progress:
                case Piece(content):
                    sent = self._connection.send(content)
                case End():
                    self._connection.finish()
                    return _Done('answered', head.status)
                case _:
                    self._connection.close()
                    return _Done('cut', 0, 'the answer broke off')
        return _Done('caller left', 0)

    def _stream(
        self, journey: _Journey, call: UpstreamCall, head: Head
    ) -> _Done | AttemptLost:
        splitter = EventSplitter()
        while True:
            progress = call.next(journey.until)
            match progress:
                case Piece(content):
                    splitter, events = splitter.feed(content)
                    if not self._pass_events(journey, head, events):
                        return _Done('caller left', 0)
                case End() if not splitter.rest:
                    return self._end_stream(journey, head)
                case End():
                    return AttemptLost(
                        'the stream ended within an event',
                        may_have_run=True,
                        reached=True,
                    )
                case Broken() | OutOfTime() | CallerLeft():
                    return _lost(progress)

    def _pass_events(
        self, journey: _Journey, head: Head, events: list[StreamEvent]
    ) -> bool:
        """Pass on events that the caller does not have yet."""
        fresh = [each for each in events if _is_new(each, journey.last_event)]
        if not fresh:
            return True
        if not journey.started and not self._start_stream(journey, head):
            return False
        self._note_pause(journey)
        journey.events += len(fresh)
        numbers = [each.number for each in fresh if each.number is not None]
        journey.last_event = max(numbers, default=journey.last_event)
        return self._connection.send(b''.join(each.content for each in fresh))

    def _start_stream(self, journey: _Journey, head: Head) -> bool:
        journey.started = True
        journey.first_byte = self._tools.clock.elapsed()
        headers = self._tools.dialect.answer_headers(head.headers)
        return self._connection.start(head.status, headers)

    def _note_pause(self, journey: _Journey) -> None:
        now = self._tools.clock.elapsed()
        if journey.last_at is not None:
            pause = now - journey.last_at
            journey.longest_pause = max(journey.longest_pause, pause)
            self._tools.state.note_pause(journey.service.name, pause)
        journey.last_at = now

    def _end_stream(self, journey: _Journey, head: Head) -> _Done:
        if not journey.started and not self._start_stream(journey, head):
            return _Done('caller left', 0)
        if not self._connection.finish():
            return _Done('caller left', 0)
        return _Done('answered', head.status)

    def _answer(self, status: int, headers: Headers, body: bytes = b'') -> None:
        if self._tools.is_draining():
            # The daemon stops soon; the caller's next request goes elsewhere.
            headers = (*headers, (b'Connection', b'close'))
        self._connection.answer(status, headers, body)

    def _report(self, journey: _Journey, done: _Done) -> None:
        now = self._tools.clock.elapsed()
        received = self._request.received
        first = journey.first_byte
        service = journey.service.name if journey.service else ''
        self._tools.log.event(
            RequestEnded(
                journey.facts.call_id,
                journey.route.name if journey.route else '',
                done.outcome,
                done.status,
                done.reason,
                journey.table.version,
                tuple(journey.sent_to),
                journey.queued,
                first - received if first is not None else None,
                now - received,
                journey.until - received,
                journey.longest_pause,
                self._tools.state.group_running(service),
            )
        )


def _is_new(event: StreamEvent, last: int | None) -> bool:
    return event.number is None or last is None or event.number > last


def _lost(failure: Broken | OutOfTime | CallerLeft) -> _Done | AttemptLost:
    match failure:
        case Broken(problem):
            return AttemptLost(problem, may_have_run=True, reached=True)
        case OutOfTime():
            return AttemptLost(
                'no answer in time',
                may_have_run=True,
                reached=True,
                out_of_time=True,
            )
        case CallerLeft():
            return _Done('caller left', 0)


def _retry_after(after: timedelta) -> Headers:
    seconds = f'{after.total_seconds():.2f}'.encode()
    return ((b'Retry-After', seconds),)
