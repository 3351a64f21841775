"""Connections from a side daemon to other side daemons, for group messages."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from typing import Any

from result import Ok

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.link import Link, open_link
from linnetwind.peer_connection import Identity

_RETRY_INTERVAL = timedelta(seconds=0.5)


class PeerLinks:
    """Links to side daemons by host, opened when a message is first sent."""

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
          identity: The identity of this daemon.
          key: The fleet key.
          executor: Runs the attempts to connect.
          clock: The clock, for the time between attempts.
          address_of: Returns the address of a host's side daemon, or None if it
            is unknown.
        """
        self._identity = identity
        self._key = key
        self._executor = executor
        self._clock = clock
        self._address_of = address_of
        self._links: dict[str, Link] = {}
        self._next_attempt_at: dict[str, timedelta] = {}
        self._lock = threading.Lock()

    def send(self, host: str, message: Any) -> None:
        """Send a message, or drop it if the host is not connected yet.

        Args:
          host: The name of the host.
          message: The message; its sender retries messages that must arrive.
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
            next_attempt_at = self._next_attempt_at.get(host, now)
            if next_attempt_at > now:
                return
            self._next_attempt_at[host] = now + _RETRY_INTERVAL
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
    """Drop a message that belongs to no call; peers send to the server."""
