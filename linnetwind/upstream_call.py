"""One request at one upstream, over a connection of its own.

A connection is used for one request only. A kept one may hold a late answer
of an earlier request, or be reset by the first byte, after which nobody can
say whether the request ran. A new connection costs one round trip.
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
# Data centres are milliseconds apart. A connection that is not there by then
# stands before a host that is off or cut off; another upstream is tried.
_CONNECT_TIMEOUT_MS = 250
CONNECT_TIMEOUT = timedelta(milliseconds=_CONNECT_TIMEOUT_MS)
# A timeout of zero would make the connection non-blocking.
_MIN_CONNECT_TIMEOUT_S = 0.001
# Unanswered data makes the kernel give up a connection whose other end has
# vanished without a word.
_UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=10)
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(frozen=True, slots=True)
class NotReached:
    """No connection came about, so nothing was sent."""

    problem: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection ended, or what came is no answer; it may have run."""

    problem: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Nothing came until the time was over; it may still run."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection, so the call was cancelled."""


@dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of an answer's body."""

    content: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The answer is whole."""


Failure = NotReached | Broken | TimedOut | CallerDisconnected
Progress = Head | BodyChunk | End | Broken | TimedOut | CallerDisconnected


class UpstreamCall:
    """A request that was sent, and what comes back."""

    def __init__(
        self, sock: socket.socket, caller: int | None, clock: Clock
    ) -> None:
        """Take over a connection to an upstream.

        Args:
          sock: The connection.
          caller: The descriptor of the caller's connection, watched for its
            end; None if nobody waits.
          clock: For limits on time.
        """
        self._sock = sock
        self._caller = caller
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)
        self._broken: Broken | None = None
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        if caller is not None:
            self._poll.register(caller, _HANGUP_EVENTS)

    @property
    def broken(self) -> Broken | None:
        """Return how the upstream broke the call off, None if it did not."""
        return self._broken

    def send(
        self, request: CallerRequest, headers: Headers, until: timedelta
    ) -> Broken | CallerDisconnected | TimedOut | None:
        """Send the request.

        An upstream may answer before it has read a long body; sending ends
        then, and the answer is read.

        Args:
          request: The caller's request.
          headers: The headers for the upstream, without a length.
          until: The monotonic time at which to give up.

        Returns:
          Why it could not be sent, or None.
        """
        failure = self._send(request, headers, until)
        if isinstance(failure, Broken):
            self._broken = failure
        return failure

    def next(self, until: timedelta) -> Progress:
        """Wait for the next part of the answer.

        Args:
          until: The monotonic time at which to give up.

        Returns:
          The part, or why none will come.
        """
        progress = self._next(until)
        if isinstance(progress, Broken):
            self._broken = progress
        return progress

    def close(self) -> None:
        """Close the connection, which cancels work that is not done."""
        self._sock.close()

    def _send(
        self, request: CallerRequest, headers: Headers, until: timedelta
    ) -> Broken | CallerDisconnected | TimedOut | None:
        outgoing = self._render(request, headers)
        self._poll.modify(self._sock, select.POLLIN | select.POLLOUT)
        while outgoing:
            ready = self._wait(until)
            if not isinstance(ready, int):
                return ready
            if ready & select.POLLIN:
                break
            try:
                sent = self._sock.send(outgoing)
            except OSError as error:
                return Broken(f'sending failed: {error}')
            outgoing = outgoing[sent:]
        self._poll.modify(self._sock, select.POLLIN)
        return None

    def _next(self, until: timedelta) -> Progress:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                return Broken(f'not a whole answer: {error}')
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
    ) -> Broken | CallerDisconnected | TimedOut | None:
        ready = self._wait(until)
        if not isinstance(ready, int):
            return ready
        try:
            received = self._sock.recv(_READ_BYTES)
        except OSError as error:
            return Broken(f'receiving failed: {error}')
        self._http.receive_data(received)
        return None

    def _wait(self, until: timedelta) -> int | CallerDisconnected | TimedOut:
        """Wait for the upstream; return the events of its connection."""
        while True:
            left = until - self._clock.elapsed()
            if left <= timedelta():
                return TimedOut()
            events = dict(self._poll.poll(left / timedelta(milliseconds=1) + 1))
            if self._caller in events:
                return CallerDisconnected()
            ready = events.get(self._sock.fileno())
            if ready is not None:
                return ready


def open_call(
    address: Address, caller: int | None, clock: Clock, MOST: timedelta
) -> UpstreamCall | NotReached:
    """Connect to an upstream.

    Args:
      address: Where it listens.
      caller: The descriptor of the caller's connection, or None.
      clock: For limits on time.
      most: The longest time that connecting may take.

    Returns:
      The call, or why there is no connection.
    """
    limit = min(MOST, CONNECT_TIMEOUT).total_seconds()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(max(limit, _MIN_CONNECT_TIMEOUT_S))
    try:
        _connect(sock, address)
    except OSError as error:
        sock.close()
        return NotReached(f'{address}: {error}')
    return UpstreamCall(sock, caller, clock)


def read_body_up_to(
    call: UpstreamCall, MOST: int, until: timedelta
) -> tuple[bytes, bool] | Broken | TimedOut | CallerDisconnected:
    """Read a body up to a length.

    Args:
      call: A call whose head was read.
      most: The bytes after which reading stops.
      until: The monotonic time at which to give up.

    Returns:
      What was read and whether it is the whole body, or why it broke off.
    """
    body = bytearray()
    while len(body) <= MOST:
        progress = call.next(until)
        match progress:
            case BodyChunk(content):
                body += content
            case End():
                return bytes(body), True
            case Broken() | TimedOut() | CallerDisconnected():
                return progress
    return bytes(body), False


CallOpener = Callable[
    [Address, int | None, Clock, timedelta], UpstreamCall | NotReached
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
            return Broken('the connection was closed')
    return None
