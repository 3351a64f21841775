"""Sends one request to one upstream over a new connection.

Connections are not pooled. A pooled connection may deliver a late response to
an earlier request, or be reset when the first byte is sent; the gateway then
cannot tell whether the request ran. A new connection costs one round trip.
"""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import h11

from linnetwind.address import Address
from linnetwind.call_types import CallerRequest, Headers
from linnetwind.clock import Clock

_READ_BYTES = 65_536
# Data centres are milliseconds apart. If a host does not accept a connection
# within this time, it is down or unreachable, and another upstream is tried.
_CONNECT_TIMEOUT_MS = 250
CONNECT_TIMEOUT = timedelta(milliseconds=_CONNECT_TIMEOUT_MS)
# A timeout of zero would make the connection non-blocking.
_MIN_CONNECT_TIMEOUT_S = 0.001
# The kernel drops a connection whose peer does not acknowledge data for this
# long. It detects hosts that vanish without closing their connections.
_UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=10)
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """The connection could not be opened, so nothing was sent."""

    problem: str


@dataclass(frozen=True, slots=True)
class BrokenCall:
    """The connection or the response broke off; the request may have run."""

    problem: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The time limit passed without a response; the request may still run."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection, so the call is to be cancelled."""


@dataclass(frozen=True, slots=True)
class Head:
    """The status and headers of a response."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of a response's body."""

    content: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The response is complete."""


Failure = ConnectFailed | BrokenCall | TimedOut | CallerDisconnected
Progress = Head | BodyChunk | End | BrokenCall | TimedOut | CallerDisconnected


class UpstreamCall:
    """A request to an upstream and its response, on one connection."""

    def __init__(
        self, sock: socket.socket, caller: int | None, clock: Clock
    ) -> None:
        """Take over a connection to an upstream.

        Args:
          sock: The connection.
          caller: The file descriptor of the caller's connection, which is
            polled for disconnection; None if no caller waits.
          clock: The clock for time limits.
        """
        self._sock = sock
        self._caller = caller
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)
        self._broken: BrokenCall | None = None
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        if caller is not None:
            self._poll.register(caller, _HANGUP_EVENTS)

    @property
    def broken(self) -> BrokenCall | None:
        """Return how the upstream broke off the call, None if it did not."""
        return self._broken

    def send(
        self, request: CallerRequest, headers: Headers, until: timedelta
    ) -> BrokenCall | CallerDisconnected | TimedOut | None:
        """Send the request.

        An upstream may respond before it has read a long body. Sending stops
        then, and the response is read.

        Args:
          request: The caller's request.
          headers: The headers for the upstream, without Content-Length.
          until: The monotonic time at which to give up.

        Returns:
          Why the request could not be sent, None on success.
        """
        failure = self._send(request, headers, until)
        if isinstance(failure, BrokenCall):
            self._broken = failure
        return failure

    def next(self, until: timedelta) -> Progress:
        """Wait for the next part of the response.

        Args:
          until: The monotonic time at which to give up.

        Returns:
          The part, or why there is none.
        """
        progress = self._next(until)
        if isinstance(progress, BrokenCall):
            self._broken = progress
        return progress

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        self._sock.close()

    def _send(
        self, request: CallerRequest, headers: Headers, until: timedelta
    ) -> BrokenCall | CallerDisconnected | TimedOut | None:
        unsent = self._render(request, headers)
        self._poll.modify(self._sock, select.POLLIN | select.POLLOUT)
        while unsent:
            poll_events = self._wait(until)
            if not isinstance(poll_events, int):
                return poll_events
            if poll_events & select.POLLIN:
                break
            try:
                sent = self._sock.send(unsent)
            except OSError as error:
                return BrokenCall(f'sending failed: {error}')
            unsent = unsent[sent:]
        self._poll.modify(self._sock, select.POLLIN)
        return None

    def _next(self, until: timedelta) -> Progress:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                return BrokenCall(f'not a whole answer: {error}')
            progress = _convert_event(event)
            if progress is not None:
                return progress
            if event is h11.NEED_DATA:
                failure = self._receive(until)
                if failure is not None:
                    return failure

    def _render(self, request: CallerRequest, headers: Headers) -> memoryview:
        framing: Headers = ()
        if request.body or request.method not in {b'GET', b'HEAD'}:
            framing = ((b'Content-Length', str(len(request.body)).encode()),)
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[*headers, *framing],
        )
        parts = [self._http.send(head) or b'']
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)) or b'')
        parts.append(self._http.send(h11.EndOfMessage()) or b'')
        return memoryview(b''.join(parts))

    def _receive(
        self, until: timedelta
    ) -> BrokenCall | CallerDisconnected | TimedOut | None:
        poll_events = self._wait(until)
        if not isinstance(poll_events, int):
            return poll_events
        try:
            received = self._sock.recv(_READ_BYTES)
        except OSError as error:
            return BrokenCall(f'receiving failed: {error}')
        self._http.receive_data(received)
        return None

    def _wait(self, until: timedelta) -> int | CallerDisconnected | TimedOut:
        """Wait for the upstream; return the poll events of its connection."""
        while True:
            time_left = until - self._clock.elapsed()
            if time_left <= timedelta():
                return TimedOut()
            events = dict(
                self._poll.poll(time_left / timedelta(milliseconds=1) + 1)
            )
            if self._caller in events:
                return CallerDisconnected()
            poll_events = events.get(self._sock.fileno())
            if poll_events is not None:
                return poll_events


def open_call(
    address: Address, caller: int | None, clock: Clock, timeout: timedelta
) -> UpstreamCall | ConnectFailed:
    """Connect to an upstream.

    Args:
      address: The upstream's address.
      caller: The file descriptor of the caller's connection, or None.
      clock: The clock for time limits.
      timeout: The longest time that connecting may take; `CONNECT_TIMEOUT`
        applies if it is shorter.

    Returns:
      The call, or why there is no connection.
    """
    timeout_s = min(timeout, CONNECT_TIMEOUT).total_seconds()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(max(timeout_s, _MIN_CONNECT_TIMEOUT_S))
    try:
        _connect(sock, address)
    except OSError as error:
        sock.close()
        return ConnectFailed(f'{address}: {error}')
    return UpstreamCall(sock, caller, clock)


def read_body_up_to(
    call: UpstreamCall,
    max_bytes: int,
    until: timedelta,
    may_hold: Callable[[int], bool],
) -> tuple[bytes, bool] | BrokenCall | TimedOut | CallerDisconnected:
    """Read a body until it ends, exceeds a size, or may not be held.

    Args:
      call: A call whose head was already read.
      max_bytes: The size in bytes beyond which reading stops.
      until: The monotonic time at which to give up.
      may_hold: Counts a size in bytes and returns whether more may be read.

    Returns:
      The bytes and whether they are the complete body, or why the body broke
      off.
    """
    body = bytearray()
    while len(body) <= max_bytes and may_hold(len(body)):
        progress = call.next(until)
        match progress:
            case BodyChunk(content):
                body += content
            case End():
                return bytes(body), True
            case BrokenCall() | TimedOut() | CallerDisconnected():
                return progress
    return bytes(body), False


CallOpener = Callable[
    [Address, int | None, Clock, timedelta], UpstreamCall | ConnectFailed
]


def _connect(sock: socket.socket, address: Address) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(_UNACKNOWLEDGED_TIMEOUT / timedelta(milliseconds=1)),
    )
    sock.connect((address.ip, address.port))
    sock.setblocking(False)


def _convert_event(event: object) -> Progress | None:
    match event:
        case h11.Response():
            return Head(event.status_code, tuple(event.headers.raw_items()))
        case h11.Data():
            return BodyChunk(bytes(event.data))
        case h11.EndOfMessage():
            return End()
        case h11.ConnectionClosed():
            return BrokenCall('the connection was closed')
    return None
