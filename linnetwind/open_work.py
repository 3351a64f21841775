"""Counts the open connections and started requests of a daemon."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class OpenWork:
    """Counts open connections and requests; may be used from any thread."""

    def __init__(self) -> None:
        """Start with no connections or requests."""
        self._lock = threading.Lock()
        self._connections = 0
        self._requests = 0

    @property
    def connections(self) -> int:
        """Return the number of connections from callers, idle ones included."""
        return self._connections

    @property
    def requests(self) -> int:
        """Return the number of started requests without a complete response.

        Refused requests are not counted. Otherwise callers that retry at once
        at a stopping daemon look like requests that the daemon has cut.
        """
        return self._requests

    @contextmanager
    def connection(self) -> Iterator[None]:
        """Count a connection while it is open."""
        with self._lock:
            self._connections += 1
        try:
            yield
        finally:
            with self._lock:
                self._connections -= 1

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request until its response is complete."""
        with self._lock:
            self._requests += 1
        try:
            yield
        finally:
            with self._lock:
                self._requests -= 1
