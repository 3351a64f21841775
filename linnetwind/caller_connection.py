"""A caller's HTTP connection: reads complete requests and writes responses.

While an upstream runs a request, the connection is polled, so that the request
can be cancelled when the caller disconnects. h11 parses HTTP.
"""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

import h11

from linnetwind.admission.idle_connections import IdleConnections
from linnetwind.admission.memory_budget import NeverFits, RefuseForNow
from linnetwind.bytes_in_hand import BytesInHand, Holder
from linnetwind.call_types import CallerRequest, Headers
from linnetwind.clock import Clock
from linnetwind.routes import CallerLimits
from linnetwind.socket_poll import is_readable

_READ_BYTES = 65_536
# A caller whose receive window stays full for this long counts as
# disconnected, because it would block the thread that serves it.
_SEND_TIMEOUT = timedelta(seconds=5)
# A timeout of zero would make the connection non-blocking.
_MIN_SEND_TIMEOUT_MS = 1
_MIN_SEND_TIMEOUT = timedelta(milliseconds=_MIN_SEND_TIMEOUT_MS)
# How often a waiting connection checks whether its limits have changed.
_LIMITS_CHECK_INTERVAL_MS = 500
_LIMITS_CHECK_INTERVAL = timedelta(milliseconds=_LIMITS_CHECK_INTERVAL_MS)
# h11 limits the request line and headers together. This is allowed for the
# request line in addition to the configured limit for headers.
_REQUEST_LINE_BYTES = 8_192
_HEADERS_TOO_LARGE = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
_BODY_TOO_LARGE = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
# A body counts towards the memory while it arrives. A caller that sends it byte
# by byte would keep this memory from other callers.
_BODY_TIMEOUT_S = 30
_BODY_TIMEOUT = timedelta(seconds=_BODY_TIMEOUT_S)
# How long the rest of a refused request is read and discarded. If a connection
# is closed while data is unread, the kernel resets it, and the caller may lose
# the response.
_DISCARD_TIMEOUT = timedelta(seconds=2)
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The caller closed the connection, or left it idle for too long."""


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that is not accepted, with the HTTP status for the caller.

    `retry_after` is the delay after which the same request may be accepted,
    None if it is invalid.
    """

    status: int
    problem: str
    retry_after: timedelta | None = None


ReadResult = CallerRequest | ConnectionEnded | BadRequest


class CallerConnection:
    """A caller's connection, which carries one request after another."""

    def __init__(
        self,
        sock: socket.socket,
        limits: Callable[[], CallerLimits],
        is_closing: Callable[[], bool],
        clock: Clock,
        idle: IdleConnections | None = None,
    ) -> None:
        """Take over an accepted connection.

        Args:
          sock: The connection.
          limits: Returns the limits on a request's size and time. It is called
            again while a request is read, so that a newer configuration
            applies to open connections too.
          is_closing: Returns whether idle connections are to be closed now.
          clock: The clock for time limits.
          idle: Counts it while it waits for a request, and may then close it.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(_SEND_TIMEOUT.total_seconds())
        self._sock = sock
        self._limits = limits
        self._is_closing = is_closing
        self._clock = clock
        self._idle = idle or IdleConnections(clock)
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits().head_bytes + _REQUEST_LINE_BYTES,
        )
        self._request_begun = False
        self._body_until: timedelta | None = None
        self._send_failed = False

    @property
    def fileno(self) -> int:
        """Return the file descriptor, for polling."""
        return self._sock.fileno()

    @property
    def reusable(self) -> bool:
        """Return whether the connection may carry another request.

        After a partial write the caller would take the next response for the
        rest of this one.
        """
        return self._http.our_state is h11.DONE and not self._send_failed

    def read_request(self, held: Holder | None = None) -> ReadResult:
        """Wait for the next request and read it completely.

        Args:
          held: The account for the body, None to count no bytes.

        Returns:
          The request, or why there is none.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._request_begun = bool(self._http.trailing_data[0])
        self._body_until = None
        try:
            return self._read_complete_request(held or Holder(BytesInHand()))
        except h11.RemoteProtocolError as error:
            return BadRequest(error.error_status_hint, str(error))
        except OSError:
            return ConnectionEnded()

    def answer(self, status: int, headers: Headers, body: bytes) -> bool:
        """Write a complete response.

        Args:
          status: The HTTP status.
          headers: The headers, without Content-Length and Transfer-Encoding.
          body: The body.

        Returns:
          Whether everything was written to the socket.
        """
        framing = ((b'Content-Length', str(len(body)).encode()),)
        head = h11.Response(status_code=status, headers=[*headers, *framing])
        return self._send(head, h11.Data(data=body), h11.EndOfMessage())

    def start(self, status: int, headers: Headers, until: timedelta) -> bool:
        """Write the head of a response of unknown length.

        Args:
          status: The HTTP status.
          headers: The headers, without Content-Length and Transfer-Encoding.
          until: The monotonic time at which the caller stops waiting.

        Returns:
          Whether it was written to the socket.
        """
        head = h11.Response(status_code=status, headers=list(headers))
        return self._send(head, until=until)

    def send(self, content: bytes, until: timedelta) -> bool:
        """Write a part of the body.

        Args:
          content: The bytes.
          until: The monotonic time at which the caller stops waiting.

        Returns:
          Whether they were written to the socket.
        """
        return self._send(h11.Data(data=content), until=until)

    def finish(self, until: timedelta) -> bool:
        """Write the end of the body.

        Args:
          until: The monotonic time at which the caller stops waiting.

        Returns:
          Whether it was written to the socket.
        """
        return self._send(h11.EndOfMessage(), until=until)

    def has_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        poller = select.poll()
        poller.register(self._sock, _HANGUP_EVENTS)
        return bool(poller.poll(0))

    def discard_rest(self) -> None:
        """Discard the rest of a refused request, without holding it.

        No response can follow. Ends after `_DISCARD_TIMEOUT` at the latest.
        """
        if self._http.their_state is not h11.SEND_BODY:
            return
        until = self._clock.elapsed() + _DISCARD_TIMEOUT
        try:
            self._discard_until(until)
        except OSError:
            # The caller has reset the connection.
            return

    def close(self) -> None:
        """Close the connection; an unfinished response stays truncated."""
        self._sock.close()

    def _read_complete_request(self, held: Holder) -> ReadResult:
        head = self._next_event()
        if isinstance(head, ConnectionEnded | BadRequest):
            return head
        if not isinstance(head, h11.Request):
            return ConnectionEnded()
        received = self._clock.elapsed()
        limits = self._limits()
        if _head_size(head) > limits.head_bytes:
            return BadRequest(_HEADERS_TOO_LARGE, 'the head is too long')
        # The declared size is counted before the body is read, so that the
        # caller need not send a body that will be refused.
        declared = _declared_size(head)
        refusal = _check_body(declared, limits, held)
        if refusal is not None:
            return refusal
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body(declared, limits, held)
        if not isinstance(body, bytes):
            return body
        headers = tuple(head.headers.raw_items())
        return CallerRequest(head.method, head.target, headers, body, received)

    def _read_body(
        self, declared: int, limits: CallerLimits, held: Holder
    ) -> bytes | ConnectionEnded | BadRequest:
        self._body_until = self._clock.elapsed() + _BODY_TIMEOUT
        body = bytearray()
        event = self._next_event()
        while isinstance(event, h11.Data):
            size = len(body) + len(event.data)
            refusal = _check_body(max(declared, size), limits, held)
            if refusal is not None:
                return refusal
            body += event.data
            event = self._next_event()
        if isinstance(event, ConnectionEnded | BadRequest):
            return event
        return bytes(body)

    def _discard_until(self, until: timedelta) -> None:
        # The end of our side tells the caller that nothing else will come.
        self._sock.shutdown(socket.SHUT_WR)
        while self._clock.elapsed() < until and not self._is_closing():
            left = min(until - self._clock.elapsed(), _LIMITS_CHECK_INTERVAL)
            if is_readable(self._sock, max(left, timedelta())):
                if not self._sock.recv(_READ_BYTES):
                    return

    def _next_event(self) -> h11.Event | ConnectionEnded | BadRequest:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            if not self._has_bytes():
                # An idle connection is closed without a response. A caller
                # that is slow within a request gets an error response.
                slow = BadRequest(
                    HTTPStatus.REQUEST_TIMEOUT, 'the request took too long'
                )
                return slow if self._request_begun else ConnectionEnded()
            received = self._sock.recv(_READ_BYTES)
            self._request_begun = True
            self._http.receive_data(received)
            event = self._http.next_event()
        if isinstance(event, h11.ConnectionClosed):
            return ConnectionEnded()
        return event

    def _has_bytes(self) -> bool:
        """Wait for data; the connection is idle before a request begins."""
        if self._request_begun:
            return self._wait_for_bytes()
        with self._idle.waiting(self._sock) as waiting:
            return self._wait_for_bytes() and not waiting.is_closed

    def _wait_for_bytes(self) -> bool:
        """Wait for data within the time limits, rereading them meanwhile.

        Return whether data arrived.
        """
        started_at = self._clock.elapsed()
        if self._body_until is not None and started_at > self._body_until:
            return False
        while not is_readable(self._sock, _LIMITS_CHECK_INTERVAL):
            limits = self._limits()
            idle = not self._request_begun
            limit = limits.idle_timeout if idle else limits.head_timeout
            if self._clock.elapsed() - started_at > limit:
                return False
            if idle and self._is_closing():
                return False
        return True

    def _send(self, *events: h11.Event, until: timedelta | None = None) -> bool:
        parts = [self._http.send(event) or b'' for event in events]
        timeout = _SEND_TIMEOUT
        if until is not None:
            # A blocked write also holds the upstream's slot.
            timeout = min(timeout, until - self._clock.elapsed())
        try:
            self._sock.settimeout(
                max(timeout, _MIN_SEND_TIMEOUT).total_seconds()
            )
            self._sock.sendall(b''.join(parts))
        except OSError:
            self._send_failed = True
            return False
        return True


def _declared_size(head: h11.Request) -> int:
    """Return the declared size of the body in bytes, 0 if it is not declared.

    h11 has checked that the header is one number.
    """
    for name, value in head.headers:
        if name == b'content-length':
            return int(value)
    return 0


def _check_body(
    size: int, limits: CallerLimits, held: Holder
) -> BadRequest | None:
    """Count a body of a size in bytes; return why it may not be read."""
    too_large = BadRequest(_BODY_TOO_LARGE, 'the body is too long')
    if size > limits.body_bytes:
        return too_large
    decision = held.resize(size)
    match decision:
        case NeverFits():
            return too_large
        case RefuseForNow(retry_after):
            return BadRequest(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'bodies use up the memory',
                retry_after,
            )
    return None


def _head_size(head: h11.Request) -> int:
    fields = sum(
        len(name) + len(value) + 4 for name, value in head.headers.raw_items()
    )
    return fields + len(head.target)
