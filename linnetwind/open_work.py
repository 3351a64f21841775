"""How many connections and begun requests a daemon serves now."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class OpenWork:
    """Counts what is open; may be used from any thread."""

    def __init__(self) -> None:
        """Start with nothing open."""
        self._lock = threading.Lock()
        self._connections = 0
        self._requests = 0

    @property
    def connections(self) -> int:
        """Return the connections from callers, idle ones included."""
        return self._connections

    @property
    def requests(self) -> int:
        """Return the requests that were begun and have no whole answer yet.

        One that is refused was not begun: callers that came back at once to a
        stopping daemon were taken for requests that it had cut.
        """
        return self._requests

    @contextmanager
    def connection(self) -> Iterator[None]:
        """Count a connection while it is served."""
        with self._lock:
            self._connections += 1
        try:
            yield
        finally:
            with self._lock:
                self._connections -= 1

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request until it is answered."""
        with self._lock:
            self._requests += 1
        try:
            yield
        finally:
            with self._lock:
                self._requests -= 1
