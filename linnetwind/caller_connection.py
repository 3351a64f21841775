"""One caller's connection: requests read whole, answers written as they come.

The connection is watched while an upstream works, so that the work can be
cancelled when the caller leaves. HTTP is parsed by h11.
"""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

import h11

from linnetwind.call_types import CallerRequest, Headers
from linnetwind.clock import Clock
from linnetwind.routes import CallerLimits

_READ_BYTES = 65_536
# A caller that takes nothing for this long is taken as gone; its window is
# full and the thread that serves it is wanted elsewhere.
_SEND_TIMEOUT = timedelta(seconds=5)
# How often an idle connection looks whether its limits have changed.
_LOOK_MS = 500
_LOOK = timedelta(milliseconds=_LOOK_MS)
# Bytes that the head's limit leaves for the request line.
_LINE_BYTES = 8_192
_HEAD_TOO_LONG = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
_BODY_TOO_LONG = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
_LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The connection ended, or stayed idle for too long."""


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that is refused unread, with the status for the caller."""

    status: int
    problem: str


Reading = CallerRequest | CallerGone | BadRequest


class CallerConnection:
    """A connection that a caller opened, for many requests in turn."""

    def __init__(
        self,
        sock: socket.socket,
        limits: Callable[[], CallerLimits],
        is_closing: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Take over a connection that was accepted.

        Args:
          sock: The connection.
          limits: Returns what a caller may send, and how long it may take; a
            newer configuration holds for open connections too.
          is_closing: Whether idle connections are to be closed now.
          clock: For the limits on time.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(_SEND_TIMEOUT.total_seconds())
        self._sock = sock
        self._limits = limits
        self._is_closing = is_closing
        self._clock = clock
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits().head_bytes + _LINE_BYTES,
        )
        self._read_any = False

    @property
    def fileno(self) -> int:
        """Return the descriptor, for polling."""
        return self._sock.fileno()

    @property
    def reusable(self) -> bool:
        """Return whether another request may follow on the connection."""
        return self._http.our_state is h11.DONE

    def read_request(self) -> Reading:
        """Wait for the next request and read it whole.

        Returns:
          The request, or why there is none.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._read_any = bool(self._http.trailing_data[0])
        try:
            return self._read_whole()
        except h11.RemoteProtocolError as error:
            return BadRequest(error.error_status_hint, str(error))
        except OSError:
            return CallerGone()

    def answer(self, status: int, headers: Headers, body: bytes) -> bool:
        """Write a whole answer.

        Args:
          status: The status.
          headers: The headers, without any that frame the body.
          body: The body.

        Returns:
          Whether all was handed to the connection.
        """
        framing = ((b'Content-Length', str(len(body)).encode()),)
        head = h11.Response(status_code=status, headers=[*headers, *framing])
        return self._send(head, h11.Data(data=body), h11.EndOfMessage())

    def start(self, status: int, headers: Headers) -> bool:
        """Write the head of an answer whose length is not known.

        Args:
          status: The status.
          headers: The headers, without any that frame the body.

        Returns:
          Whether it was handed to the connection.
        """
        return self._send(
            h11.Response(status_code=status, headers=list(headers))
        )

    def send(self, piece: bytes) -> bool:
        """Write a part of the body.

        Args:
          piece: The bytes.

        Returns:
          Whether they were handed to the connection.
        """
        return self._send(h11.Data(data=piece))

    def finish(self) -> bool:
        """Write the end of the body.

        Returns:
          Whether it was handed to the connection.
        """
        return self._send(h11.EndOfMessage())

    def left(self) -> bool:
        """Return whether the caller has closed the connection."""
        poller = select.poll()
        poller.register(self._sock, _LEFT_EVENTS)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Close the connection; an answer that is not finished stays broken."""
        self._sock.close()

    def _read_whole(self) -> Reading:
        head = self._next_event()
        if isinstance(head, CallerGone | BadRequest):
            return head
        if not isinstance(head, h11.Request):
            return CallerGone()
        received = self._clock.elapsed()
        limits = self._limits()
        if _head_size(head) > limits.head_bytes:
            return BadRequest(_HEAD_TOO_LONG, 'the head is too long')
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        event = self._next_event()
        while isinstance(event, h11.Data):
            body += event.data
            if len(body) > limits.body_bytes:
                return BadRequest(_BODY_TOO_LONG, 'the body is too long')
            event = self._next_event()
        if isinstance(event, CallerGone | BadRequest):
            return event
        headers = tuple(head.headers.raw_items())
        return CallerRequest(
            head.method, head.target, headers, bytes(body), received
        )

    def _next_event(self) -> h11.Event | CallerGone | BadRequest:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            if not self._wait_for_bytes():
                # An idle caller is closed without a word; a slow one is
                # told why, since it is still there to read it.
                slow = BadRequest(
                    HTTPStatus.REQUEST_TIMEOUT, 'the request took too long'
                )
                return slow if self._read_any else CallerGone()
            received = self._sock.recv(_READ_BYTES)
            self._read_any = True
            self._http.receive_data(received)
            event = self._http.next_event()
        if isinstance(event, h11.ConnectionClosed):
            return CallerGone()
        return event

    def _wait_for_bytes(self) -> bool:
        """Wait within the limits; look at them anew while it lasts."""
        since = self._clock.elapsed()
        while not _readable(self._sock, _LOOK):
            limits = self._limits()
            idle = not self._read_any
            limit = limits.idle_timeout if idle else limits.head_timeout
            if self._clock.elapsed() - since > limit:
                return False
            if idle and self._is_closing():
                return False
        return True

    def _send(self, *events: h11.Event) -> bool:
        parts = [self._http.send(event) or b'' for event in events]
        try:
            self._sock.sendall(b''.join(parts))
        except OSError:
            return False
        return True


def _readable(sock: socket.socket, limit: timedelta) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(limit / timedelta(milliseconds=1)))


def _head_size(head: h11.Request) -> int:
    fields = sum(
        len(name) + len(value) + 4 for name, value in head.headers.raw_items()
    )
    return fields + len(head.target)
