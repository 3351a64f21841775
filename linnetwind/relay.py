"""One caller's request, from its head to its final answer."""

import random
from datetime import timedelta
from http import HTTPStatus

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
    CallerRequest,
    Headers,
)
from linnetwind.caller_connection import CallerConnection
from linnetwind.crash_guard import (
    QUARANTINED,
    note_whole_answer,
    quarantine_left,
)
from linnetwind.gateway_events import AttemptFailed
from linnetwind.gateway_stop import Ending
from linnetwind.group_wait import await_open_group, group_opens_in
from linnetwind.journey import (
    Done,
    GatewayTools,
    Journey,
    answer_caller,
)
from linnetwind.request_report import report_end
from linnetwind.routes import RouteTable, choose_service
from linnetwind.stream_gate import STOPPING, TurnAway, bounded_retry
from linnetwind.upstream_attempt import UpstreamAttempt
from linnetwind.upstream_claim import RETRY_SOON, claim_upstream, next_turn
from linnetwind.upstream_list import Upstream
from linnetwind.waiting_line import Claim

# The time limit of a caller that names none.
_USUAL_TIME_LIMIT_S = 30
USUAL_TIME_LIMIT = timedelta(seconds=_USUAL_TIME_LIMIT_S)
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
            self._answer(_REFUSED, _retry_after(RETRY_SOON))
            return self._connection.reusable
        journey = self._journey(table)
        done = self._decide(journey)
        note_whole_answer(self._tools, journey, done)
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
        return Done('refused', _REFUSED, STOPPING.reason, after)

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
        return Done('refused', _REFUSED, verdict.reason, verdict.retry_after)

    def _attempts(self, journey: Journey) -> Done:
        ended: Done | None = None
        while ended is None:
            ended = self._next_attempt(journey)
        return ended

    def _next_attempt(self, journey: Journey) -> Done | None:
        """Try one upstream; return how the request ended, if it did."""
        upstream = claim_upstream(self._tools, journey)
        if upstream is None:
            return self._refuse(
                journey, 'no upstream left', next_turn(self._tools, journey)
            )
        try:
            ended = self._attempt(journey, upstream)
        finally:
            self._tools.state.give_back(upstream)
        if isinstance(ended, Done):
            return ended
        return self._after(journey, upstream, ended)

    def _attempt(
        self, journey: Journey, upstream: Upstream
    ) -> Done | AttemptLost:
        # It may have been put in quarantine while it waited in line.
        left = quarantine_left(self._tools, journey)
        if left is not None:
            return self._refuse(journey, QUARANTINED, left)
        return UpstreamAttempt(
            self._tools, self._connection, journey, upstream
        ).run()

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
        opens_in = group_opens_in(self._tools, journey)
        if isinstance(decision, TryAnother):
            opens_in = await_open_group(self._tools, self._connection, journey)
            if opens_in is not None:
                decision = decision.instead
            elif not self._may_try_another(journey, decision):
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
        if isinstance(decision, TryAnother):
            return None
        if opens_in is None:
            return self._give_up(journey, decision)
        # The caller may wait for the group when it comes back.
        self._tools.state.books.refusals.refuse(journey.facts.subject)
        return self._give_up(journey, decision, bounded_retry(opens_in))

    def _may_try_another(self, journey: Journey, another: TryAnother) -> bool:
        if quarantine_left(self._tools, journey) is not None:
            return False
        repeats = self._tools.state.books.repeats
        return not another.counts or repeats.spend(journey.service.name)

    def _refuse(
        self, journey: Journey, reason: str, after: timedelta = RETRY_SOON
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
        after: timedelta = RETRY_SOON,
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
        if not decision.not_run:
            self._answer(decision.status, ())
            return Done('unknown', decision.status, decision.reason)
        self._answer(decision.status, _retry_after(after))
        return Done('refused', decision.status, decision.reason, after)

    def _answer(self, status: int, headers: Headers, body: bytes = b'') -> None:
        answer_caller(self._tools, self._connection, status, headers, body)


def _retry_after(after: timedelta) -> Headers:
    seconds = f'{after.total_seconds():.2f}'.encode()
    return ((b'Retry-After', seconds),)
