"""Runs one call at an upstream over HTTP.

Each call opens a new connection. If the upstream has closed a pooled
connection in the meantime, the first bytes are sent before the connection
fails, and it is then unknown whether the call ran. On one host a new
connection costs well under a millisecond.
"""

import re
from collections.abc import Iterator
from datetime import timedelta
from http.client import HTTPConnection, HTTPException, HTTPResponse

from loguru import logger

from linnetwind.address import Address
from linnetwind.event_stream import EventSplitter, StreamEvent
from linnetwind.messages import Call, Chunk, End, Head, Headers, Lost, Refused
from linnetwind.outcome import Reason

CONNECT_SECONDS = 1.0
READ_BYTES = 65_536
RESUME_ATTEMPTS = 2
RESUME_HEADER = 'X-Resume-From'
REQUEST_ID_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'

_OK = 200
_STREAM_END = b'data: [DONE]'
_MS = 1000
_RETRY_MS = 500
_TRANSPORT_ERRORS = (OSError, HTTPException, ValueError)
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

_REPLACED_HEADERS = _HOP_BY_HOP | frozenset(('content-length', 'host'))

_REFUSED = 503
_BACKOFF_HEADER = 'retry-after'
_SECONDS_PATTERN = re.compile('[0-9]{1,9}')

CallFrame = Head | Chunk | End | Refused | Lost


class UpstreamHttpCall:
    """One call at one upstream."""

    def __init__(self, address: Address, call: Call) -> None:
        """Prepare the call; nothing is sent yet.

        Args:
          address: The upstream's address.
          call: The call.
        """
        self._address = address
        self._call = call
        self._connection: HTTPConnection | None = None
        self._chunks_sent = 0
        self._events_sent = 0
        self._splitter = EventSplitter()
        self._end_mark_seen = False
        self._cancelled = False

    def answers(self) -> Iterator[CallFrame]:
        """Run the call.

        Yields:
          Either one `Refused`, or a `Head`, `Chunk`s and an `End`. If the
          response cannot be completed, a `Lost` replaces the remaining frames.
        """
        connection = self._connect()
        if connection is None:
            yield Refused(
                self._call.call_id, Reason.UPSTREAM_REFUSED, _RETRY_MS
            )
            return
        try:
            yield from self._run(connection)
        except _TRANSPORT_ERRORS as error:
            logger.debug('call {} failed: {!r}', self._call.call_id, error)
            yield from self._resume()
        finally:
            self._close()

    def cancel(self) -> None:
        """Cancel the call by closing the connection to the upstream."""
        self._cancelled = True
        self._close()

    def _connect(self) -> HTTPConnection | None:
        connection = HTTPConnection(
            self._address.ip, self._address.port, timeout=CONNECT_SECONDS
        )
        try:
            connection.connect()
        except OSError:
            # Nothing was sent, so the call cannot have run.
            return None
        connection.sock.settimeout(self._call.timeout_ms / _MS)
        self._connection = connection
        return connection

    def _run(self, connection: HTTPConnection) -> Iterator[CallFrame]:
        response = self._send(connection, ())
        yield Head(
            self._call.call_id,
            response.status,
            _without_headers(response.getheaders(), _HOP_BY_HOP),
        )
        yield from self._body(response)

    def _send(
        self, connection: HTTPConnection, extra_headers: Headers
    ) -> HTTPResponse:
        call = self._call
        headers = {
            **dict(_without_headers(call.headers, _REPLACED_HEADERS)),
            REQUEST_ID_HEADER: call.request_id,
            PRIORITY_HEADER: str(call.priority),
            **dict(extra_headers),
        }
        connection.request(call.method, call.path, call.body, headers)
        return connection.getresponse()

    def _body(self, response: HTTPResponse) -> Iterator[CallFrame]:
        events = self._call.streamed and response.status == _OK
        while body := response.read1(READ_BYTES):
            complete = self._complete_events(body) if events else body
            if complete:
                yield Chunk(self._call.call_id, self._chunks_sent, complete)
                self._chunks_sent += 1
        rest = self._join_events(self._splitter.finish())
        if rest:
            yield Chunk(self._call.call_id, self._chunks_sent, rest)
            self._chunks_sent += 1
        # A stream whose engine crashed ends like a complete one, except for
        # the end mark. Without this check the caller would take a truncated
        # response for a complete one.
        if events and not self._end_mark_seen:
            raise HTTPException('the end mark is missing')
        ends_by_mark = events and response.length is None
        if not ends_by_mark and not _has_complete_body(response, self._call):
            raise HTTPException('the body is not complete')
        yield End(self._call.call_id, self._chunks_sent)

    def _complete_events(self, body: bytes) -> bytes:
        # A resumed stream starts with a whole event. Part of that event must
        # not have been sent before, or the caller would receive it twice.
        splitter, events = self._splitter.feed(body)
        self._splitter = splitter
        return self._join_events(events)

    def _join_events(self, events: list[StreamEvent]) -> bytes:
        complete = b''.join(each.content for each in events)
        self._events_sent += len(events)
        self._end_mark_seen = self._end_mark_seen or _STREAM_END in complete
        return complete

    def _resume(self) -> Iterator[CallFrame]:
        """Resume a broken stream if the engine still holds it."""
        for _ in range(RESUME_ATTEMPTS):
            connection = self._connect() if self._can_resume() else None
            if connection is None:
                break
            try:
                yield from self._run_resumed(connection)
            except _TRANSPORT_ERRORS as error:
                logger.debug(
                    'resuming call {} failed: {!r}', self._call.call_id, error
                )
            else:
                return
        yield Lost(self._call.call_id, self._loss_reason())

    def _loss_reason(self) -> Reason:
        """Return why the response is incomplete.

        An upstream that accepts no new connection counts as crashed.
        """
        if self._cancelled:
            return Reason.INCOMPLETE_ANSWER
        probe = self._connect()
        if probe is None:
            return Reason.UPSTREAM_CRASHED
        return Reason.INCOMPLETE_ANSWER

    def _can_resume(self) -> bool:
        return (
            self._call.streamed
            and self._events_sent > 0
            and not self._cancelled
        )

    def _run_resumed(self, connection: HTTPConnection) -> Iterator[CallFrame]:
        self._splitter = EventSplitter()
        response = self._send(
            connection, ((RESUME_HEADER, str(self._events_sent)),)
        )
        if response.status != _OK:
            raise HTTPException(f'status {response.status} on resume')
        yield from self._body(response)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()


def requested_backoff(head: Head) -> timedelta | None:
    """Return for how long an upstream asks to receive no calls.

    Args:
      head: The head of its response.

    Returns:
      The delay in its `Retry-After` header, None if the status is not 503,
      or the header is missing or states a date.
    """
    if head.status != _REFUSED:
        return None
    header_values = {name.lower(): text.strip() for name, text in head.headers}
    text = header_values.get(_BACKOFF_HEADER, '')
    if not _SECONDS_PATTERN.fullmatch(text):
        return None
    return timedelta(seconds=int(text))


def _has_complete_body(response: HTTPResponse, call: Call) -> bool:
    # `http.client` raises an error for a chunked body without its end. A body
    # without Content-Length ends when the connection closes, which does not
    # show that it is complete.
    if response.chunked or call.method == 'HEAD':
        return True
    return response.length == 0


def _without_headers(
    headers: Headers | list[tuple[str, str]], excluded: frozenset[str]
) -> Headers:
    return tuple(
        (name, text) for name, text in headers if name.lower() not in excluded
    )
