"""Passes an upstream's answer on to the caller: whole, or event by event."""

from datetime import timedelta

from linnetwind.call_policy import AttemptLost
from linnetwind.caller_connection import CallerConnection
from linnetwind.event_stream import EventSplitter, StreamEvent
from linnetwind.journey import (
    CALLER_LEFT,
    Done,
    GatewayTools,
    Journey,
    answer_caller,
    as_lost,
    with_close,
)
from linnetwind.routes import RouteKind
from linnetwind.upstream_call import (
    Broken,
    CallerLeft,
    End,
    Head,
    OutOfTime,
    Piece,
    UpstreamCall,
    read_whole,
)

# Answers up to this size are read whole before any of it goes on, so that
# one that breaks off can be replaced. Larger ones are passed on as they come.
BUFFERED_BYTES = 262_144
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_FIRST_FAILURE = 500


class AnswerRelay:
    """Passes on the answer of one upstream call."""

    def __init__(
        self,
        tools: GatewayTools,
        connection: CallerConnection,
        journey: Journey,
        call: UpstreamCall,
        head: Head,
    ) -> None:
        """Take a call whose head was read and is an answer to the request.

        Args:
          tools: What every request needs.
          connection: The caller's connection.
          journey: The request; kept up to date.
          call: The call.
          head: The head.
        """
        self._tools = tools
        self._connection = connection
        self._journey = journey
        self._call = call
        self._head = head
        self._headers = tools.dialect.answer_headers(head.headers)

    def run(self) -> Done | AttemptLost:
        """Pass the answer on.

        Returns:
          How the request ended, or why this answer is not whole.
        """
        is_stream = self._journey.route.kind is RouteKind.STREAM
        success = _FIRST_SUCCESS <= self._head.status < _FIRST_REDIRECT
        if is_stream and success:
            return self._stream()
        if self._journey.started:
            # The caller has a part of another run's answer, and this one can
            # neither be joined to it nor replace it.
            return _failed(self._head.status)
        return self._whole()

    def _whole(self) -> Done | AttemptLost:
        found = read_whole(self._call, BUFFERED_BYTES, self._journey.until)
        if not isinstance(found, tuple):
            return as_lost(found)
        body, whole = found
        status = self._head.status
        if whole and status >= _FIRST_FAILURE and self._may_repeat():
            self._journey.failure = (self._head, body)
            return _failed(status)
        self._journey.first_byte = self._tools.clock.elapsed()
        if not whole:
            return self._pass_on(body)
        answer_caller(
            self._tools, self._connection, status, self._headers, body
        )
        return Done('answered', status)

    def _may_repeat(self) -> bool:
        """Return whether a failure may be replaced by another upstream's."""
        route = self._journey.route
        left = self._journey.until - self._tools.clock.elapsed()
        return (
            route.kind is RouteKind.IDEMPOTENT
            and len(self._journey.sent_to) < route.max_attempts
            and left > timedelta()
        )

    def _pass_on(self, body: bytes) -> Done:
        """Pass on an answer that is too long to be kept."""
        self._journey.started = True
        sent = self._connection.start(
            self._head.status, with_close(self._tools, self._headers)
        )
        sent = sent and self._connection.send(body)
        while sent:
            progress = self._call.next(self._journey.until)
            match progress:
                case Piece(content):
                    sent = self._connection.send(content)
                case End():
                    self._connection.finish()
                    return Done('answered', self._head.status)
                case _:
                    self._connection.close()
                    return Done('cut', 0, 'the answer broke off')
        return CALLER_LEFT

    def _stream(self) -> Done | AttemptLost:
        splitter = EventSplitter()
        ended: Done | AttemptLost | None = None
        while ended is None:
            progress = self._call.next(self._journey.until)
            match progress:
                case Piece(content):
                    splitter, events = splitter.feed(content)
                    ended = self._pass_events(events)
                case End():
                    ended = self._end_stream(splitter)
                case Broken() | OutOfTime() | CallerLeft():
                    ended = as_lost(progress)
        return ended

    def _pass_events(self, events: list[StreamEvent]) -> Done | None:
        """Pass on events that the caller does not have yet."""
        last = self._journey.last_event
        fresh = [each for each in events if _is_new(each, last)]
        if not fresh:
            return None
        if not self._start_stream():
            return CALLER_LEFT
        self._note_pause()
        self._journey.events += len(fresh)
        numbers = [each.number for each in fresh if each.number is not None]
        self._journey.last_event = max(numbers, default=last)
        content = b''.join(each.content for each in fresh)
        return None if self._connection.send(content) else CALLER_LEFT

    def _start_stream(self) -> bool:
        """Write the head, unless a run before this one has written it."""
        if self._journey.started:
            return True
        self._journey.started = True
        now = self._tools.clock.elapsed()
        self._journey.first_byte = now
        received = self._journey.request.received
        self._tools.state.room.note_start(
            self._journey.service.name, now - received - self._journey.queued
        )
        headers = with_close(self._tools, self._headers)
        return self._connection.start(self._head.status, headers)

    def _note_pause(self) -> None:
        now = self._tools.clock.elapsed()
        before = self._journey.last_event_at
        self._journey.last_event_at = now
        if before is None:
            return
        pause = now - before
        longest = max(self._journey.longest_pause, pause)
        self._journey.longest_pause = longest
        self._tools.state.note_pause(self._journey.at, pause)

    def _note_run(self) -> None:
        journey = self._journey
        if journey.facts.tokens is None or journey.first_byte is None:
            return
        took = self._tools.clock.elapsed() - journey.first_byte
        self._tools.runs.note(journey.service.name, journey.facts.tokens, took)

    def _end_stream(self, splitter: EventSplitter) -> Done | AttemptLost:
        if splitter.rest:
            # Passed on as it is, the answer would look complete.
            return AttemptLost(
                'the stream ended within an event',
                may_have_run=True,
                reached=True,
            )
        if self._start_stream() and self._connection.finish():
            self._note_run()
            return Done('answered', self._head.status)
        return CALLER_LEFT


def _failed(status: int) -> AttemptLost:
    return AttemptLost(
        f'upstream failed with {status}', may_have_run=True, reached=True
    )


def _is_new(event: StreamEvent, last: int | None) -> bool:
    return event.number is None or last is None or event.number > last
