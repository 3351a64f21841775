"""Makes room for new callers by closing connections that are idle.

Each connection holds a thread, also while it is idle. A connection that was
accepted beyond the number of threads was neither read nor closed, so that its
caller lost a second before it turned to another gateway.
"""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.socket_poll import is_readable

# A connection that was opened or answered just now may have its next request
# on its way.
_MIN_IDLE_MS = 100
_MIN_IDLE = timedelta(milliseconds=_MIN_IDLE_MS)
_REPORT_INTERVAL = timedelta(seconds=1)

# Called with the numbers of idle connections that were closed and of new
# connections that were closed unread.
ShedListener = Callable[[int, int], None]


@dataclass(eq=False, slots=True)
class IdleConnection:
    """A connection that waits for a request since the monotonic time `since`.

    `is_closed` says that it is to be closed without reading from it.
    """

    sock: socket.socket
    since: timedelta
    is_closed: bool = False


class IdleConnections:
    """The callers' connections that wait for a request; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections.

        Args:
          clock: Measures how long connections are idle.
        """
        self._clock = clock
        self._lock = threading.Lock()
        # Ordered by the time since which they are idle.
        self._waiting: dict[IdleConnection, None] = {}
        self._closed_idle = 0
        self._closed_unread = 0
        self._reported_at = timedelta()
        self._on_shed: ShedListener = _ignore_shed

    @property
    def count(self) -> int:
        """Return the number of idle connections."""
        return len(self._waiting)

    def report_to(self, listener: ShedListener) -> None:
        """Set the function to call after connections were closed.

        Args:
          listener: The function, which must not block. It is called at most
            once a second.
        """
        self._on_shed = listener

    @contextmanager
    def waiting(self, sock: socket.socket) -> Iterator[IdleConnection]:
        """Count a connection as idle while it waits for a request.

        Args:
          sock: The connection.

        Yields:
          The connection; look whether it is closed before reading from it.
        """
        connection = IdleConnection(sock, self._clock.elapsed())
        with self._lock:
            self._waiting[connection] = None
        try:
            yield connection
        finally:
            with self._lock:
                self._waiting.pop(connection, None)

    def make_room(self) -> bool:
        """Close the connection that has been idle for longest.

        A connection on which bytes have arrived is not idle. Bytes that arrive
        while it is closed are not read, so that their request has not run.

        Returns:
          Whether there is one; otherwise the new connection is to be closed.
        """
        now = self._clock.elapsed()
        with self._lock:
            oldest = self._find_oldest(now)
            if oldest is None:
                self._closed_unread += 1
            else:
                self._closed_idle += 1
                self._waiting.pop(oldest)
                oldest.is_closed = True
                # Wakes its thread. The caller may have closed it meanwhile.
                with suppress(OSError):
                    oldest.sock.shutdown(socket.SHUT_RD)
        self._report(now)
        return oldest is not None

    def _find_oldest(self, now: timedelta) -> IdleConnection | None:
        for connection in self._waiting:
            if now - connection.since < _MIN_IDLE:
                return None
            if not is_readable(connection.sock):
                return connection
        return None

    def _report(self, now: timedelta) -> None:
        with self._lock:
            if now - self._reported_at < _REPORT_INTERVAL:
                return
            self._reported_at = now
            closed = (self._closed_idle, self._closed_unread)
            self._closed_idle = 0
            self._closed_unread = 0
        self._on_shed(*closed)


def _ignore_shed(closed_idle: int, closed_unread: int) -> None:
    """Do nothing, until a listener is set."""
