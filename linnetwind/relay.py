"""One caller's request, from its head to its final answer."""

import random
from datetime import timedelta
from http import HTTPStatus

from linnetwind.answer_relay import AnswerRelay
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
    Forwarding,
    Headers,
)
from linnetwind.caller_connection import CallerConnection
from linnetwind.crash_guard import (
    QUARANTINED,
    look_after_break,
    note_end,
    quarantine_left,
)
from linnetwind.gateway_events import AttemptFailed
from linnetwind.gateway_stop import Ending
from linnetwind.journey import (
    CALLER_LEFT,
    Done,
    GatewayTools,
    Journey,
    answer_caller,
    as_lost,
)
from linnetwind.request_report import report_end
from linnetwind.routes import RouteKind, RouteTable, choose_service
from linnetwind.stream_gate import STOPPING, Claim, TurnAway
from linnetwind.upstream_call import Head, NotReached, OutOfTime, UpstreamCall
from linnetwind.upstream_list import Upstream

# The time limit of a caller that names none.
_USUAL_TIME_LIMIT_S = 30
USUAL_TIME_LIMIT = timedelta(seconds=_USUAL_TIME_LIMIT_S)
# When a caller may come back whose request no upstream could take.
_RETRY_SOON_MS = 400
_RETRY_SOON = timedelta(milliseconds=_RETRY_SOON_MS)
# The part of the time that is left after which an idempotent request at a
# silent upstream is given to another one, if the budget allows.
_PATIENCE = 0.4
_REFUSED = HTTPStatus.SERVICE_UNAVAILABLE


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

    def run(self) -> bool:
        """Serve the request.

        Returns:
          Whether the caller's connection may be used again.
        """
        table = self._tools.state.table
        if table is None:
            # Without a configuration nobody can say that a route or key does
            # not exist, so that 404 or 401 would be false.
            self._answer(_REFUSED, _retry_after(_RETRY_SOON))
            return self._connection.reusable
        journey = self._journey(table)
        done = self._decide(journey)
        note_end(self._tools, journey, done)
        report_end(self._tools, journey, done)
        return self._connection.reusable

    def _journey(self, table: RouteTable) -> Journey:
        facts = self._tools.dialect.read_call(self._request)
        limit = facts.time_limit or USUAL_TIME_LIMIT
        return Journey(
            self._request, facts, table, self._request.received + limit
        )

    def _decide(self, journey: Journey) -> Done:
        decision = allow(journey.table, journey.facts)
        match decision:
            case Denied(status, reason):
                self._answer(status, ())
                return Done('denied', status, reason)
            case Allowed(route, customer):
                journey.route = route
                journey.customer = customer
                latest = self._request.received + route.timeout
                journey.until = min(journey.until, latest)
                return self._serve(journey)

    def _serve(self, journey: Journey) -> Done:
        name = choose_service(journey.route, random.random())
        journey.service = journey.table.services.get(name)
        if journey.service is None:
            return self._refuse(journey, 'no such service')
        left = quarantine_left(self._tools, journey)
        if left is not None:
            return self._refuse(journey, QUARANTINED, left)
        stop = self._tools.stop
        if not stop.may_begin(self._ending(journey)):
            return self._send_away(journey, stop.retry_after())
        with self._tools.open_work.request():
            return self._begin(journey)

    def _begin(self, journey: Journey) -> Done:
        self._tools.state.books.repeats.count_request(journey.service.name)
        if journey.service.engine is not None:
            turned = self._wait_for_place(journey)
            if turned is not None:
                return turned
        return self._attempts(journey)

    def _send_away(self, journey: Journey, after: timedelta) -> Done:
        """Refuse a request that this daemon has no time for."""
        if after:
            # It is late when it comes back, and may wait longer.
            self._tools.state.books.refusals.refuse(journey.facts.subject)
        self._answer(_REFUSED, _retry_after(after))
        return Done('refused', _REFUSED, STOPPING.reason)

    def _ending(self, journey: Journey) -> Ending:
        """Return when the request ends if it is begun now."""
        lasts = self._tools.runs.expect(
            journey.service.name, journey.facts.tokens
        )
        if lasts is None:
            return Ending(journey.until, journey.until)
        return Ending(journey.until, self._tools.clock.elapsed() + lasts)

    def _wait_for_place(self, journey: Journey) -> Done | None:
        """Wait in line; return how the request ended if it was turned away."""
        route, service = journey.route, journey.service
        state = self._tools.state
        claim = Claim(
            self._request.received,
            route.target,
            route.gap,
            state.books.refusals.is_returning(journey.facts.subject),
        )
        verdict = state.room.enter(
            service.name,
            claim,
            lambda gap: state.group_view(service, gap),
            lambda: state.take_upstream(service, frozenset()),
            lambda: self._tools.stop.has_time(self._ending(journey)),
        )
        journey.queued = self._tools.clock.elapsed() - self._request.received
        if not isinstance(verdict, TurnAway):
            journey.claimed = verdict
            return None
        if verdict == STOPPING:
            return self._send_away(journey, self._tools.stop.retry_after())
        state.books.refusals.refuse(journey.facts.subject)
        self._answer(_REFUSED, _retry_after(verdict.retry_after))
        return Done('refused', _REFUSED, verdict.reason)

    def _attempts(self, journey: Journey) -> Done:
        ended: Done | None = None
        while ended is None:
            ended = self._next_attempt(journey)
        return ended

    def _next_attempt(self, journey: Journey) -> Done | None:
        """Try one upstream; return how the request ended, if it did."""
        upstream = self._claim(journey)
        if upstream is None:
            return self._refuse(journey, 'no upstream left')
        try:
            ended = self._attempt(journey, upstream)
        finally:
            self._tools.state.give_back(upstream)
        if isinstance(ended, Done):
            return ended
        return self._after(journey, upstream, ended)

    def _claim(self, journey: Journey) -> Upstream | None:
        """Return an upstream at which the request is counted."""
        claimed = journey.claimed
        journey.claimed = None
        if claimed is not None:
            return claimed
        return self._tools.state.take_upstream(
            journey.service, frozenset(journey.tried)
        )

    def _attempt(
        self, journey: Journey, upstream: Upstream
    ) -> Done | AttemptLost:
        if self._connection.left():
            return CALLER_LEFT
        # It may have been put in quarantine while it waited in line.
        left = quarantine_left(self._tools, journey)
        if left is not None:
            return self._refuse(journey, QUARANTINED, left)
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
        journey.at = upstream
        try:
            ended = self._exchange(journey, upstream, call)
        finally:
            call.close()
        failed = _is_failure(ended)
        took = self._tools.clock.elapsed() - started
        self._tools.state.note_answer(upstream, took, failed=failed)
        if call.broken is not None:
            look_after_break(
                self._tools, journey, upstream, call.broken, started
            )
        return ended

    def _exchange(
        self, journey: Journey, upstream: Upstream, call: UpstreamCall
    ) -> Done | AttemptLost:
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
            return as_lost(failed)
        head = call.next(self._patience(journey, upstream, now))
        has_time = self._tools.clock.elapsed() < journey.until
        if isinstance(head, OutOfTime) and has_time:
            return AttemptLost(
                'silent upstream', may_have_run=True, reached=True
            )
        if not isinstance(head, Head):
            return as_lost(head)
        return self._take_head(journey, upstream, call, head)

    def _take_head(
        self,
        journey: Journey,
        upstream: Upstream,
        call: UpstreamCall,
        head: Head,
    ) -> Done | AttemptLost:
        answer = self._tools.dialect.read_answer(head.status, head.headers)
        if answer.not_executed or answer.misdirected:
            self._note_instance(upstream, answer)
            reason = f'upstream refused with {head.status}'
            return AttemptLost(reason, may_have_run=False, reached=True)
        if not _is_ours(answer, journey):
            return AttemptLost(
                'not an answer to this call', may_have_run=True, reached=True
            )
        return AnswerRelay(
            self._tools, self._connection, journey, call, head
        ).run()

    def _note_instance(self, upstream: Upstream, answer: AnswerFacts) -> None:
        if not answer.misdirected or answer.instance is None:
            return
        if answer.instance != upstream.instance:
            self._tools.state.change_upstreams(
                lambda known: known.replace_instance(upstream)
            )

    def _patience(
        self, journey: Journey, upstream: Upstream, now: timedelta
    ) -> timedelta:
        """Return until when the head of an answer is waited for."""
        if journey.route.kind is not RouteKind.IDEMPOTENT:
            return journey.until
        if len(journey.sent_to) >= journey.route.max_attempts:
            return journey.until
        tried = frozenset((*journey.tried, upstream.instance))
        if not self._tools.state.candidates(journey.service, tried):
            return journey.until
        return now + (journey.until - now) * _PATIENCE

    def _after(
        self, journey: Journey, upstream: Upstream, lost: AttemptLost
    ) -> Done | None:
        """Decide what follows a lost attempt; None if another one does."""
        journey.tried.add(upstream.instance)
        journey.may_have_run = journey.may_have_run or lost.may_have_run
        left = journey.until - self._tools.clock.elapsed()
        progressed = Progressed(
            len(journey.sent_to), journey.may_have_run, left
        )
        decision = after_loss(journey.route, lost, progressed)
        if isinstance(decision, TryAnother):
            if not self._may_try_another(journey, decision):
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

    def _may_try_another(self, journey: Journey, another: TryAnother) -> bool:
        if quarantine_left(self._tools, journey) is not None:
            return False
        repeats = self._tools.state.books.repeats
        return not another.counts or repeats.spend(journey.service.name)

    def _refuse(
        self, journey: Journey, reason: str, after: timedelta = _RETRY_SOON
    ) -> Done:
        """Give up without an upstream; true to what may have run before."""
        not_run = not journey.may_have_run
        status = _REFUSED if not_run else HTTPStatus.BAD_GATEWAY
        return self._give_up(
            journey, GiveUp(status, not_run=not_run, reason=reason), after
        )

    def _give_up(
        self,
        journey: Journey,
        decision: GiveUp,
        after: timedelta = _RETRY_SOON,
    ) -> Done:
        if journey.started:
            # Part of a stream is with the caller: only a connection that
            # breaks tells it that the rest is missing.
            self._connection.close()
            return Done('cut', 0, decision.reason)
        if journey.failure is not None:
            # The upstream's own failure says more than one made up here.
            head, body = journey.failure
            headers = self._tools.dialect.answer_headers(head.headers)
            self._answer(head.status, headers, body)
            return Done('answered', head.status, decision.reason)
        headers = _retry_after(after) if decision.not_run else ()
        self._answer(decision.status, headers)
        outcome = 'refused' if decision.not_run else 'unknown'
        return Done(outcome, decision.status, decision.reason)

    def _answer(self, status: int, headers: Headers, body: bytes = b'') -> None:
        answer_caller(self._tools, self._connection, status, headers, body)


def _is_failure(ended: Done | AttemptLost) -> bool:
    match ended:
        case AttemptLost():
            return ended.may_have_run
        case Done():
            return ended.status >= HTTPStatus.INTERNAL_SERVER_ERROR


def _is_ours(answer: AnswerFacts, journey: Journey) -> bool:
    return answer.signed and answer.call_id == journey.facts.call_id


def _retry_after(after: timedelta) -> Headers:
    seconds = f'{after.total_seconds():.2f}'.encode()
    return ((b'Retry-After', seconds),)
