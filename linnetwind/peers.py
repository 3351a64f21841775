"""Connections from one side daemon to other sides, for group notes."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from typing import Any

from result import Ok

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.link import Link, open_link
from linnetwind.peer import Identity

_RETRY = timedelta(seconds=0.5)


class PeerLinks:
    """Links by host, opened when something is first sent."""

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        executor: Executor,
        clock: Clock,
        address_of: Callable[[str], Address | None],
    ) -> None:
        """Start without links.

        Args:
          identity: Who this daemon is.
          key: The fleet key.
          executor: Connects.
          clock: For the wait between attempts.
          address_of: The address of a host's side, or None if unknown.
        """
        self._identity = identity
        self._key = key
        self._executor = executor
        self._clock = clock
        self._address_of = address_of
        self._links: dict[str, Link] = {}
        self._tried: dict[str, timedelta] = {}
        self._lock = threading.Lock()

    def send(self, host: str, message: Any) -> None:
        """Send a message, or drop it if the host is not connected yet.

        Args:
          host: The host's name.
          message: The message; its sender repeats what must arrive.
        """
        with self._lock:
            link = self._links.get(host)
        if link is not None and link.open:
            link.post(message)
        else:
            self._connect_soon(host)

    def _connect_soon(self, host: str) -> None:
        now = self._clock.elapsed()
        with self._lock:
            due = self._tried.get(host, now)
            if due > now:
                return
            self._tried[host] = now + _RETRY
        self._executor.submit(self._connect, host)

    def _connect(self, host: str) -> None:
        address = self._address_of(host)
        if address is None:
            return
        opened = open_link(address, self._identity, self._key, _ignore)
        if isinstance(opened, Ok):
            with self._lock:
                self._links[host] = opened.ok_value


def _ignore(_link: Link, _message: Any) -> None:
    """Drop messages that belong to no call; notes come to the server."""
