"""One attempt to run a caller's request at one upstream."""

from datetime import timedelta
from http import HTTPStatus

from linnetwind.answer_records import AttemptOutcome, record_outcome
from linnetwind.backpressure import record_backpressure
from linnetwind.call_policy import FailedAttempt
from linnetwind.call_types import Forwarding, ResponseFacts
from linnetwind.caller_connection import CallerConnection
from linnetwind.crash_guard import (
    record_if_crashed,
    record_interrupted_stream,
)
from linnetwind.request_context import (
    CALLER_LEFT,
    GatewayContext,
    RequestContext,
    RequestResult,
    as_failed_attempt,
)
from linnetwind.response_relay import ResponseRelay
from linnetwind.routes import RouteKind
from linnetwind.upstream_call import (
    BrokenCall,
    ConnectFailed,
    Head,
    TimedOut,
    UpstreamCall,
)
from linnetwind.upstreams.upstream_list import Upstream

# The fraction of the remaining time that an idempotent request waits for the
# head of a response. After it the request goes to another upstream, if the
# retry budget allows.
_HEAD_WAIT_FRACTION = 0.4


class UpstreamAttempt:
    """Sends a request to an upstream and relays the response."""

    def __init__(
        self,
        tools: GatewayContext,
        connection: CallerConnection,
        context: RequestContext,
        upstream: Upstream,
    ) -> None:
        """Prepare the attempt; nothing is sent yet.

        Args:
          tools: The shared services.
          connection: The caller's connection.
          context: The request's state, which the attempt updates.
          upstream: The upstream, at which the request is already counted.
        """
        self._tools = tools
        self._connection = connection
        self._context = context
        self._upstream = upstream
        self._refusal: ResponseFacts | None = None

    def run(self) -> RequestResult | FailedAttempt:
        """Make the attempt.

        Returns:
          The result of the request, or why this upstream gave no complete
          response.
        """
        if self._connection.has_disconnected():
            return CALLER_LEFT
        started_at = self._tools.clock.elapsed()
        events_before = self._context.events
        call = self._tools.open_call(
            self._upstream.address,
            self._connection.fileno,
            self._tools.clock,
            self._context.until - started_at,
        )
        if isinstance(call, ConnectFailed):
            self._tools.state.upstream_records.record_connect_failure(
                self._upstream
            )
            return FailedAttempt(
                call.problem, may_have_run=False, reached=False
            )
        if self._is_evacuated():
            # The evacuation was requested while the connection was opened.
            call.close()
            return FailedAttempt(
                'the data centre is evacuated',
                may_have_run=False,
                reached=False,
            )
        self._context.sent_to.append(self._upstream.instance)
        self._context.current_upstream = self._upstream
        try:
            result = self._exchange(call)
        finally:
            call.close()
        self._record_end(call, result, started_at)
        if call.broken is not None:
            self._record_broken(call.broken, started_at, events_before)
        return result

    def _is_evacuated(self) -> bool:
        evacuations = self._tools.state.upstreams.evacuations
        return self._upstream.site in evacuations.sites

    def _record_end(
        self,
        call: UpstreamCall,
        result: RequestResult | FailedAttempt,
        started_at: timedelta,
    ) -> None:
        outcome = AttemptOutcome(
            started_at,
            _is_failure(result),
            self._refusal,
            abandoned=result is CALLER_LEFT,
        )
        record_outcome(
            self._tools.state,
            self._tools.clock,
            self._context.service,
            self._upstream,
            outcome,
        )

    def _record_broken(
        self, broken: BrokenCall, started_at: timedelta, events_before: int
    ) -> None:
        has_crashed = record_if_crashed(
            self._tools, self._context, self._upstream, broken, started_at
        )
        if not has_crashed:
            record_interrupted_stream(
                self._tools, self._context, self._context.events - events_before
            )

    def _exchange(self, call: UpstreamCall) -> RequestResult | FailedAttempt:
        context = self._context
        now = self._tools.clock.elapsed()
        forwarding = Forwarding(
            self._upstream.instance,
            context.customer,
            context.until - now,
            context.last_event_id,
        )
        headers = self._tools.dialect.write_forward(context.request, forwarding)
        send_failure = call.send(context.request, headers, context.until)
        if send_failure is not None:
            return as_failed_attempt(send_failure)
        head = call.next(self._head_deadline(now))
        has_time = self._tools.clock.elapsed() < context.until
        if isinstance(head, TimedOut) and has_time:
            return FailedAttempt(
                'silent upstream', may_have_run=True, reached=True
            )
        if not isinstance(head, Head):
            return as_failed_attempt(head)
        return self._handle_head(call, head)

    def _handle_head(
        self, call: UpstreamCall, head: Head
    ) -> RequestResult | FailedAttempt:
        response = self._tools.dialect.read_response(head.status, head.headers)
        if response.not_executed or response.misdirected:
            self._refusal = response
            self._update_instance(response)
            self._record_backpressure(response)
            reason = f'upstream refused with {head.status}'
            return FailedAttempt(reason, may_have_run=False, reached=True)
        if not self._matches_call(response):
            return FailedAttempt(
                'not an answer to this call', may_have_run=True, reached=True
            )
        self._record_backpressure(response)
        return ResponseRelay(
            self._tools, self._connection, self._context, call, head
        ).run()

    def _record_backpressure(self, response: ResponseFacts) -> None:
        record_backpressure(
            self._tools, self._context, self._upstream, response
        )

    def _update_instance(self, response: ResponseFacts) -> None:
        """Stop using the upstream if another instance has its address now."""
        if not response.misdirected or response.instance is None:
            return
        if response.instance != self._upstream.instance:
            self._tools.state.change_upstreams(
                lambda upstreams: upstreams.bar_replaced_instance(
                    self._upstream
                )
            )

    def _head_deadline(self, now: timedelta) -> timedelta:
        """Return the monotonic time until which to wait for a response."""
        context = self._context
        if context.route.kind is not RouteKind.IDEMPOTENT:
            return context.until
        if len(context.sent_to) >= context.route.max_attempts:
            return context.until
        tried = frozenset((*context.tried, self._upstream.instance))
        if not self._tools.state.candidates(context.service, tried):
            return context.until
        return now + (context.until - now) * _HEAD_WAIT_FRACTION

    def _matches_call(self, response: ResponseFacts) -> bool:
        return (
            response.signed and response.call_id == self._context.facts.call_id
        )


def _is_failure(result: RequestResult | FailedAttempt) -> bool:
    match result:
        case FailedAttempt():
            return result.may_have_run
        case RequestResult():
            return result.status >= HTTPStatus.INTERNAL_SERVER_ERROR
