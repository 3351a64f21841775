"""Running one call at an upstream over HTTP.

A connection is opened for each call. A pooled connection that the upstream
has closed meanwhile takes the first bytes and dies, and then nobody knows
whether the call ran; on one host a new connection costs well under a
millisecond.
"""

import re
from collections.abc import Iterator
from datetime import timedelta
from http.client import HTTPConnection, HTTPException, HTTPResponse

from loguru import logger

from linnetwind.address import Address
from linnetwind.messages import Call, Chunk, End, Head, Headers, Lost, Refused
from linnetwind.outcome import Reason

CONNECT_SECONDS = 1.0
READ_BYTES = 65_536
RESUME_ATTEMPTS = 2
RESUME_HEADER = 'X-Resume-From'
REQUEST_ID_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'

_OK = 200
_EVENT_END = b'\n\n'
_STREAM_END = b'data: [DONE]'
_MS = 1000
_RETRY_MS = 500
_ERRORS = (OSError, HTTPException, ValueError)
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

_SET_HERE = _HOP_BY_HOP | frozenset(('content-length', 'host'))

_REFUSED = 503
_BACKOFF_HEADER = 'retry-after'
_SECONDS = re.compile('[0-9]{1,9}')

Answer = Head | Chunk | End | Refused | Lost


class UpstreamRun:
    """One call on its way through one upstream."""

    def __init__(self, address: Address, call: Call) -> None:
        """Prepare the run; nothing is sent yet.

        Args:
          address: The upstream's address.
          call: The call to run.
        """
        self._address = address
        self._call = call
        self._connection: HTTPConnection | None = None
        self._chunks = 0
        self._events = 0
        self._partial = b''
        self._ended = False
        self._cancelled = False

    def answers(self) -> Iterator[Answer]:
        """Run the call.

        Yields:
          Either one `Refused`; or a `Head`, `Chunk`s and an `End`, with a
          `Lost` in place of the rest if the whole answer cannot be had.
        """
        connection = self._connect()
        if connection is None:
            yield Refused(
                self._call.call_id, Reason.UPSTREAM_REFUSED, _RETRY_MS
            )
            return
        try:
            yield from self._run(connection)
        except _ERRORS as error:
            logger.debug('call {} broke: {!r}', self._call.call_id, error)
            yield from self._resume()
        finally:
            self._close()

    def cancel(self) -> None:
        """Stop the run; the upstream sees its connection close."""
        self._cancelled = True
        self._close()

    def _connect(self) -> HTTPConnection | None:
        connection = HTTPConnection(
            self._address.ip, self._address.port, timeout=CONNECT_SECONDS
        )
        try:
            connection.connect()
        except OSError:
            # No byte has left, so "not run" is true.
            return None
        connection.sock.settimeout(self._call.timeout_ms / _MS)
        self._connection = connection
        return connection

    def _run(self, connection: HTTPConnection) -> Iterator[Answer]:
        response = self._send(connection, ())
        yield Head(
            self._call.call_id,
            response.status,
            _kept(response.getheaders(), _HOP_BY_HOP),
        )
        yield from self._body(response)

    def _send(self, connection: HTTPConnection, extra: Headers) -> HTTPResponse:
        call = self._call
        headers = {
            **dict(_kept(call.headers, _SET_HERE)),
            REQUEST_ID_HEADER: call.request_id,
            PRIORITY_HEADER: str(call.priority),
            **dict(extra),
        }
        connection.request(call.method, call.path, call.body, headers)
        return connection.getresponse()

    def _body(self, response: HTTPResponse) -> Iterator[Answer]:
        events = self._call.streamed and response.status == _OK
        while body := response.read1(READ_BYTES):
            whole = self._whole_events(body) if events else body
            if whole:
                yield Chunk(self._call.call_id, self._chunks, whole)
                self._chunks += 1
        # A stream whose engine died looks like one that ended, unless the
        # end mark is asked for; the caller would take half an answer for
        # the whole.
        ended = self._ended or not events
        if not ended or not _has_its_length(response, self._call):
            raise HTTPException('the end mark is missing')
        yield End(self._call.call_id, self._chunks)

    def _whole_events(self, body: bytes) -> bytes:
        # A resumed stream starts at an event, so part of an event must not
        # have gone out before it, or the caller would see it doubled.
        known = self._partial + body
        cut = known.rfind(_EVENT_END) + len(_EVENT_END)
        if cut < len(_EVENT_END):
            self._partial = known
            return b''
        whole = known[:cut]
        self._partial = known[cut:]
        self._events += whole.count(_EVENT_END)
        self._ended = self._ended or _STREAM_END in whole
        return whole

    def _resume(self) -> Iterator[Answer]:
        """Continue a broken stream at the engine that still holds it."""
        for _ in range(RESUME_ATTEMPTS):
            connection = self._connect() if self._can_resume() else None
            if connection is None:
                break
            try:
                yield from self._run_rest(connection)
            except _ERRORS as error:
                logger.debug('no resume {}: {!r}', self._call.call_id, error)
            else:
                return
        yield Lost(self._call.call_id, self._why_lost())

    def _why_lost(self) -> Reason:
        """Find out whether the upstream crashed: then it does not listen."""
        if self._cancelled:
            return Reason.INCOMPLETE_ANSWER
        probe = self._connect()
        if probe is None:
            return Reason.UPSTREAM_CRASHED
        return Reason.INCOMPLETE_ANSWER

    def _can_resume(self) -> bool:
        return self._call.streamed and self._events > 0 and not self._cancelled

    def _run_rest(self, connection: HTTPConnection) -> Iterator[Answer]:
        self._partial = b''
        response = self._send(connection, ((RESUME_HEADER, str(self._events)),))
        if response.status != _OK:
            raise HTTPException(f'status {response.status} on resume')
        yield from self._body(response)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()


def backoff_asked(head: Head) -> timedelta | None:
    """Return for how long an upstream wants no calls.

    Args:
      head: The head of its answer.

    Returns:
      The time, None if it asks for nothing or names a date.
    """
    if head.status != _REFUSED:
        return None
    named = {name.lower(): text.strip() for name, text in head.headers}
    text = named.get(_BACKOFF_HEADER, '')
    if not _SECONDS.fullmatch(text):
        return None
    return timedelta(seconds=int(text))


def _has_its_length(response: HTTPResponse, call: Call) -> bool:
    # The library raises for a chunked body without its end. A body without
    # any length ends where the connection does, which proves nothing.
    if response.chunked or call.method == 'HEAD':
        return True
    return response.length == 0


def _kept(
    headers: Headers | list[tuple[str, str]], dropped: frozenset[str]
) -> Headers:
    return tuple(
        (name, text) for name, text in headers if name.lower() not in dropped
    )
