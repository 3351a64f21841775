"""Relays one caller's request to upstreams until it has a final response."""

import random
from datetime import timedelta
from http import HTTPStatus

from linnetwind.admission.admission_policy import (
    STOPPING,
    RejectStream,
)
from linnetwind.admission.queue_order import PermitRequest
from linnetwind.admission.retry_decision import decide_retry
from linnetwind.admission.retry_times import clamp_retry_after
from linnetwind.call_policy import (
    Allowed,
    Denied,
    FailedAttempt,
    GiveUp,
    RequestProgress,
    RetryElsewhere,
    after_failed_attempt,
    allow,
)
from linnetwind.call_types import (
    CallerRequest,
    Headers,
)
from linnetwind.caller_connection import CallerConnection
from linnetwind.crash_guard import (
    QUARANTINED,
    record_complete_answer,
    remaining_quarantine,
)
from linnetwind.gateway_events import AttemptFailed, StreamRejected
from linnetwind.gateway_stop import EndEstimate
from linnetwind.group_wait import await_open_group, group_opens_in
from linnetwind.request_context import (
    GatewayContext,
    RequestContext,
    RequestResult,
    respond_to_caller,
    retry_after_header,
)
from linnetwind.request_end_log import log_request_end
from linnetwind.routes import RouteTable, choose_service, request_priority
from linnetwind.upstream_acquisition import (
    MIN_RETRY_DELAY,
    acquire_or_wait,
    time_until_accepted,
)
from linnetwind.upstream_attempt import UpstreamAttempt
from linnetwind.upstreams.upstream_list import Upstream

# The time limit of a request whose headers state none.
_DEFAULT_TIME_LIMIT_S = 30
DEFAULT_TIME_LIMIT = timedelta(seconds=_DEFAULT_TIME_LIMIT_S)
_REFUSED = HTTPStatus.SERVICE_UNAVAILABLE
# A daemon without a configuration has found neither the store nor a peer that
# has one, and such an outage lasts for seconds. A rejected caller retries only
# once, so it is told to come back late, and callers are spread.
_MIN_UNCONFIGURED_RETRY_S = 1.5
_MAX_UNCONFIGURED_RETRY_S = 2.5


class Relay:
    """Sends one request to upstreams and the response to the caller."""

    def __init__(
        self,
        tools: GatewayContext,
        connection: CallerConnection,
        request: CallerRequest,
    ) -> None:
        """Prepare to relay a request; nothing is sent yet.

        Args:
          tools: The shared services.
          connection: The caller's connection.
          request: The complete request.
        """
        self._tools = tools
        self._connection = connection
        self._request = request

    def run(self) -> bool:
        """Process the request and write the response.

        Returns:
          Whether the caller's connection may be used for another request.
        """
        table = self._tools.state.table
        if table is None:
            # Before the first configuration arrives, the daemon cannot know
            # whether a route or key exists, so 404 or 401 would be wrong.
            self._respond(_REFUSED, _retry_after(_unconfigured_retry_delay()))
            return self._connection.reusable
        context = self._make_context(table)
        done = self._authorize(context)
        record_complete_answer(self._tools, context, done)
        log_request_end(self._tools, context, done)
        return self._connection.reusable

    def _make_context(self, table: RouteTable) -> RequestContext:
        facts = self._tools.dialect.read_call(self._request)
        limit = facts.time_limit or DEFAULT_TIME_LIMIT
        return RequestContext(
            self._request, facts, table, self._request.received + limit
        )

    def _authorize(self, context: RequestContext) -> RequestResult:
        """Check the route and the API key, then process the request."""
        decision = allow(context.table, context.facts)
        match decision:
            case Denied(status, reason):
                self._respond(status, ())
                return RequestResult('denied', status, reason)
            case Allowed(route, customer):
                context.route = route
                context.customer = customer
                latest = self._request.received + route.timeout
                context.until = min(context.until, latest)
                return self._admit(context)

    def _admit(self, context: RequestContext) -> RequestResult:
        """Check service, quarantine and daemon stop, then run the request."""
        name = choose_service(context.route, random.random())
        context.service = context.table.services.get(name)
        if context.service is None:
            return self._refuse(context, 'no such service')
        self._tools.state.request_history.prompts.record_arrival(
            name, context.prompt_parts
        )
        quarantine_remaining = remaining_quarantine(self._tools, context)
        if quarantine_remaining is not None:
            return self._refuse(context, QUARANTINED, quarantine_remaining)
        stop = self._tools.stop
        if not stop.may_start(self._expected_ending(context)):
            return self._refuse_while_stopping(context, stop.retry_after())
        with self._tools.open_work.request():
            return self._run_admitted(context)

    def _run_admitted(self, context: RequestContext) -> RequestResult:
        self._tools.state.request_history.retry_budgets.count_request(
            context.service.name
        )
        if context.service.engine is not None:
            rejection = self._wait_for_admission(context)
            if rejection is not None:
                return rejection
        return self._run_attempts(context)

    def _refuse_while_stopping(
        self, context: RequestContext, retry_delay: timedelta
    ) -> RequestResult:
        """Refuse a request that cannot end before this daemon stops."""
        if retry_delay:
            # The retry is late in any case and may wait longer in the queue.
            self._tools.state.request_history.refusals.record_rejection(
                context.facts.subject
            )
        self._respond(_REFUSED, _retry_after(retry_delay))
        return RequestResult('refused', _REFUSED, STOPPING.reason, retry_delay)

    def _expected_ending(self, context: RequestContext) -> EndEstimate:
        """Return when the request would end if it started now."""
        duration = self._tools.runs.expected_duration(
            context.service.name, context.facts.tokens
        )
        if duration is None:
            return EndEstimate(context.until, context.until)
        return EndEstimate(
            context.until, self._tools.clock.elapsed() + duration
        )

    def _wait_for_admission(
        self, context: RequestContext
    ) -> RequestResult | None:
        """Wait for admission; return the result if the stream is rejected."""
        route, service = context.route, context.service
        state = self._tools.state
        claim = PermitRequest(
            self._request.received,
            route.target,
            route.gap,
            state.request_history.refusals.is_retry(context.facts.subject),
            request_priority(context.table, route, context.customer),
            context.until - self._request.received,
            context.customer or '',
            self._tools.stream_work.relative(route.name, context.facts.tokens),
        )
        admission = state.stream_admission.acquire_permit(
            service.name,
            claim,
            lambda gap: state.group_view(service, gap),
            lambda: state.acquire_upstream(
                service, frozenset(), claim.priority
            ),
            lambda: self._tools.stop.has_time(self._expected_ending(context)),
        )
        context.queued = self._tools.clock.elapsed() - self._request.received
        if not isinstance(admission, RejectStream):
            context.acquired = admission
            return None
        if admission == STOPPING:
            return self._refuse_while_stopping(
                context, self._tools.stop.retry_after()
            )
        state.request_history.refusals.record_rejection(context.facts.subject)
        self._log_rejection(context, claim, admission)
        self._respond(_REFUSED, _retry_after(admission.retry_after))
        return RequestResult(
            'refused', _REFUSED, admission.reason, admission.retry_after
        )

    def _log_rejection(
        self,
        context: RequestContext,
        claim: PermitRequest,
        rejection: RejectStream,
    ) -> None:
        service = context.service.name
        states = self._tools.state.stream_admission.class_states(service)
        room = sum(
            each.room for each in states if each.priority == claim.priority
        )
        self._tools.log.event(
            StreamRejected(
                context.facts.call_id,
                service,
                claim.priority,
                claim.customer,
                room,
                rejection.reason,
                rejection.retry_after,
                claim.returning,
            )
        )

    def _run_attempts(self, context: RequestContext) -> RequestResult:
        result: RequestResult | None = None
        while result is None:
            result = self._run_next_attempt(context)
        return result

    def _run_next_attempt(
        self, context: RequestContext
    ) -> RequestResult | None:
        """Try one upstream; return the result, None if another is due."""
        upstream = acquire_or_wait(self._tools, context)
        if upstream is None:
            return self._refuse(
                context,
                'no upstream left',
                time_until_accepted(self._tools, context),
            )
        try:
            result = self._run_attempt(context, upstream)
        finally:
            self._tools.state.release_upstream(upstream)
        if isinstance(result, RequestResult):
            return result
        return self._after_failed_attempt(context, upstream, result)

    def _run_attempt(
        self, context: RequestContext, upstream: Upstream
    ) -> RequestResult | FailedAttempt:
        # The request may have been quarantined while it was queued.
        quarantine_remaining = remaining_quarantine(self._tools, context)
        if quarantine_remaining is not None:
            return self._refuse(context, QUARANTINED, quarantine_remaining)
        return UpstreamAttempt(
            self._tools, self._connection, context, upstream
        ).run()

    def _after_failed_attempt(
        self, context: RequestContext, upstream: Upstream, failed: FailedAttempt
    ) -> RequestResult | None:
        """Return the result after a failed attempt, None to try another."""
        context.tried.add(upstream.instance)
        context.may_have_run = context.may_have_run or failed.may_have_run
        time_left = context.until - self._tools.clock.elapsed()
        progressed = RequestProgress(
            len(context.sent_to), context.may_have_run, time_left
        )
        decision = after_failed_attempt(context.route, failed, progressed)
        opens_in = group_opens_in(self._tools, context)
        if isinstance(decision, RetryElsewhere):
            opens_in = await_open_group(self._tools, self._connection, context)
            if opens_in is not None:
                decision = decision.fallback
            elif not self._may_retry_elsewhere(context, decision):
                decision = decision.fallback
        will_retry = isinstance(decision, RetryElsewhere)
        self._tools.log.event(
            AttemptFailed(
                context.facts.call_id,
                upstream.instance,
                'may have run' if failed.may_have_run else 'not run',
                failed.reason,
                context.events,
                'another upstream' if will_retry else 'final answer',
            )
        )
        if isinstance(decision, RetryElsewhere):
            return None
        if opens_in is None:
            return self._give_up(context, decision)
        # The caller's retry may wait until the group opens.
        self._tools.state.request_history.refusals.record_rejection(
            context.facts.subject
        )
        return self._give_up(context, decision, clamp_retry_after(opens_in))

    def _may_retry_elsewhere(
        self, context: RequestContext, retry: RetryElsewhere
    ) -> bool:
        if remaining_quarantine(self._tools, context) is not None:
            return False
        return decide_retry(
            self._tools.state.request_history.retry_budgets,
            self._tools.log,
            context.facts.call_id,
            context.service.name,
            counts=retry.counts,
        )

    def _refuse(
        self,
        context: RequestContext,
        reason: str,
        retry_delay: timedelta = MIN_RETRY_DELAY,
    ) -> RequestResult:
        """Give up without another upstream.

        The status says "not run" only if no earlier attempt may have run.
        """
        not_run = not context.may_have_run
        status = _REFUSED if not_run else HTTPStatus.BAD_GATEWAY
        return self._give_up(
            context, GiveUp(status, not_run=not_run, reason=reason), retry_delay
        )

    def _give_up(
        self,
        context: RequestContext,
        decision: GiveUp,
        retry_delay: timedelta = MIN_RETRY_DELAY,
    ) -> RequestResult:
        if context.response_started:
            # The caller already received part of the stream. Only a broken
            # connection shows it that the rest is missing.
            self._connection.close()
            return RequestResult('cut', 0, decision.reason)
        if context.failure is not None:
            # The upstream's own error response is more informative than one
            # generated here.
            head, body = context.failure
            headers = self._tools.dialect.response_headers(head.headers)
            self._respond(head.status, headers, body)
            return RequestResult('answered', head.status, decision.reason)
        if not decision.not_run:
            self._respond(decision.status, ())
            return RequestResult('unknown', decision.status, decision.reason)
        self._respond(decision.status, _retry_after(retry_delay))
        return RequestResult(
            'refused', decision.status, decision.reason, retry_delay
        )

    def _respond(
        self, status: int, headers: Headers, body: bytes = b''
    ) -> None:
        respond_to_caller(self._tools, self._connection, status, headers, body)


def _unconfigured_retry_delay() -> timedelta:
    return timedelta(
        seconds=random.uniform(
            _MIN_UNCONFIGURED_RETRY_S, _MAX_UNCONFIGURED_RETRY_S
        )
    )


def _retry_after(retry_delay: timedelta) -> Headers:
    return (retry_after_header(retry_delay),)
