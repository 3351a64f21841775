"""Relays an upstream's response to the caller, whole or event by event."""

from datetime import timedelta

from linnetwind.bytes_in_hand import Holder
from linnetwind.call_policy import FailedAttempt
from linnetwind.caller_connection import CallerConnection
from linnetwind.event_stream import EventSplitter, StreamEvent
from linnetwind.request_context import (
    CALLER_LEFT,
    GatewayContext,
    RequestContext,
    RequestResult,
    as_failed_attempt,
    respond_to_caller,
    with_connection_close,
)
from linnetwind.routes import RouteKind
from linnetwind.upstream_call import (
    BodyChunk,
    BrokenCall,
    CallerDisconnected,
    End,
    Head,
    TimedOut,
    UpstreamCall,
    read_body_up_to,
)

# Responses up to this size are read completely before the caller receives any
# of them, so that another upstream can replace one that breaks off. Larger
# responses are relayed as they arrive.
BUFFERED_BYTES = 262_144
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_FIRST_FAILURE = 500
_EVENT_TOO_LARGE = FailedAttempt(
    'no memory for the rest of an event', may_have_run=True, reached=True
)


class ResponseRelay:
    """Relays the response of one upstream call."""

    def __init__(
        self,
        tools: GatewayContext,
        connection: CallerConnection,
        context: RequestContext,
        call: UpstreamCall,
        head: Head,
    ) -> None:
        """Prepare to relay a response whose head belongs to the request.

        Args:
          tools: The shared services.
          connection: The caller's connection.
          context: The request's state, which the relay updates.
          call: The upstream call, from which the body is read.
          head: The head of the response.
        """
        self._tools = tools
        self._connection = connection
        self._context = context
        self._call = call
        self._head = head
        self._headers = tools.dialect.response_headers(head.headers)

    def run(self) -> RequestResult | FailedAttempt:
        """Relay the response.

        Returns:
          The result of the request, or why this response is not complete.
        """
        with self._tools.bytes_in_hand.holder() as held:
            return self._relay(held)

    def _relay(self, held: Holder) -> RequestResult | FailedAttempt:
        is_stream = self._context.route.kind is RouteKind.STREAM
        success = _FIRST_SUCCESS <= self._head.status < _FIRST_REDIRECT
        if is_stream and success:
            return self._relay_stream(held)
        if self._context.response_started:
            # The caller already received part of another attempt's response.
            # This one can neither continue nor replace that part.
            return _upstream_failure(self._head.status)
        return self._relay_whole(held)

    def _relay_whole(self, held: Holder) -> RequestResult | FailedAttempt:
        result = read_body_up_to(
            self._call, BUFFERED_BYTES, self._context.until, held.may_hold
        )
        if not isinstance(result, tuple):
            return as_failed_attempt(result)
        body, whole = result
        status = self._head.status
        if whole and status >= _FIRST_FAILURE and self._may_retry():
            self._context.failure = (self._head, body)
            return _upstream_failure(status)
        self._context.first_byte = self._tools.clock.elapsed()
        if not whole:
            return self._relay_unbuffered(body)
        # The response is complete, so a slow reader need not hold the upstream.
        self._call.close()
        respond_to_caller(
            self._tools, self._connection, status, self._headers, body
        )
        return RequestResult('answered', status)

    def _may_retry(self) -> bool:
        """Return whether another upstream may replace an error response."""
        route = self._context.route
        left = self._context.until - self._tools.clock.elapsed()
        return (
            route.kind is RouteKind.IDEMPOTENT
            and len(self._context.sent_to) < route.max_attempts
            and left > timedelta()
        )

    def _relay_unbuffered(self, body: bytes) -> RequestResult:
        """Relay a response that is too large to buffer."""
        self._context.response_started = True
        until = self._context.until
        sent = self._connection.start(
            self._head.status,
            with_connection_close(self._tools, self._headers),
            until,
        )
        sent = sent and self._connection.send(body, until)
        while sent:
            progress = self._call.next(until)
            match progress:
                case BodyChunk(content):
                    sent = self._connection.send(content, until)
                case End():
                    self._connection.finish(until)
                    return RequestResult('answered', self._head.status)
                case _:
                    self._connection.close()
                    return RequestResult('cut', 0, 'the answer broke off')
        return CALLER_LEFT

    def _relay_stream(self, held: Holder) -> RequestResult | FailedAttempt:
        splitter = EventSplitter()
        outcome: RequestResult | FailedAttempt | None = None
        while outcome is None:
            progress = self._call.next(self._context.until)
            match progress:
                case BodyChunk(content):
                    splitter, events = splitter.feed(content)
                    fits = held.may_hold(len(splitter.incomplete))
                    outcome = self._relay_events(events, fits=fits)
                case End():
                    outcome = self._end_stream(splitter)
                case BrokenCall() | TimedOut() | CallerDisconnected():
                    outcome = as_failed_attempt(progress)
        return outcome

    def _relay_events(
        self, events: list[StreamEvent], *, fits: bool
    ) -> RequestResult | FailedAttempt | None:
        """Relay the events that the caller has not received yet.

        `fits` says whether the begin of the next event may be held.
        """
        following = None if fits else _EVENT_TOO_LARGE
        last = self._context.last_event_id
        undelivered = [each for each in events if _is_undelivered(each, last)]
        if not undelivered:
            return following
        if not self._start_stream():
            return CALLER_LEFT
        self._record_pause()
        self._context.events += len(undelivered)
        numbers = [
            each.number for each in undelivered if each.number is not None
        ]
        self._context.last_event_id = max(numbers, default=last)
        content = b''.join(each.content for each in undelivered)
        if self._connection.send(content, self._context.until):
            return following
        return CALLER_LEFT

    def _start_stream(self) -> bool:
        """Write the head unless an earlier attempt has written it."""
        if self._context.response_started:
            return True
        self._context.response_started = True
        now = self._tools.clock.elapsed()
        self._context.first_byte = now
        received = self._context.request.received
        self._tools.state.stream_admission.record_start(
            self._context.current_upstream,
            now - received - self._context.queued,
        )
        headers = with_connection_close(self._tools, self._headers)
        return self._connection.start(
            self._head.status, headers, self._context.until
        )

    def _record_pause(self) -> None:
        now = self._tools.clock.elapsed()
        before = self._context.last_event_at
        self._context.last_event_at = now
        if before is None:
            return
        pause = now - before
        longest = max(self._context.longest_pause, pause)
        self._context.longest_pause = longest
        self._tools.state.record_pause(self._context.current_upstream, pause)

    def _record_run(self) -> None:
        context = self._context
        if context.facts.tokens is None or context.first_byte is None:
            return
        took = self._tools.clock.elapsed() - context.first_byte
        self._tools.runs.record_stream(
            context.service.name, context.facts.tokens, took
        )

    def _end_stream(
        self, splitter: EventSplitter
    ) -> RequestResult | FailedAttempt:
        if splitter.is_within_event:
            # Finishing the response normally would make it look complete,
            # although the end of its last event is missing.
            return FailedAttempt(
                'the stream ended within an event',
                may_have_run=True,
                reached=True,
            )
        if self._relay_events(splitter.finish(), fits=True) is not None:
            return CALLER_LEFT
        until = self._context.until
        if self._start_stream() and self._connection.finish(until):
            self._record_run()
            return RequestResult('answered', self._head.status)
        return CALLER_LEFT


def _upstream_failure(status: int) -> FailedAttempt:
    return FailedAttempt(
        f'upstream failed with {status}', may_have_run=True, reached=True
    )


def _is_undelivered(event: StreamEvent, last: int | None) -> bool:
    return event.number is None or last is None or event.number > last
