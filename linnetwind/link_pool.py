"""Connections from one entry daemon to side daemons, with reconnection."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from typing import Any

from loguru import logger
from result import Err, Ok

from linnetwind.clock import Clock
from linnetwind.decision_log import log_decision
from linnetwind.fleet import Fleet
from linnetwind.link import Link, open_link
from linnetwind.peer_connection import Identity

_INITIAL_BACKOFF = timedelta(seconds=0.5)
_MAX_BACKOFF = timedelta(seconds=10)

MessageHandler = Callable[[str, Link, Any], None]


class LinkPool:
    """Keeps one link to each host to which the entry daemon should connect."""

    def __init__(
        self,
        identity: Identity,
        site: str,
        key: bytes,
        fleet: Fleet,
        executor: Executor,
        clock: Clock,
        on_message: MessageHandler,
    ) -> None:
        """Create a pool without links.

        Args:
          identity: The identity of this daemon.
          site: The site of this daemon.
          key: The fleet key.
          fleet: The fleet, which provides the hosts and in which the pool
            records connections.
          executor: The executor that opens connections.
          clock: The clock for the backoff between attempts.
          on_message: Called with the host, the link and each message that
            belongs to no call; first with the challenge that holds the
            identity of the side daemon.
        """
        self.lock = threading.RLock()
        self._identity = identity
        self._site = site
        self._key = key
        self._fleet = fleet
        self._executor = executor
        self._clock = clock
        self._on_message = on_message
        self._links: dict[str, Link] = {}
        self._connecting: set[str] = set()
        self._attempts: dict[str, tuple[int, timedelta]] = {}
        self._rng = random.Random(identity.incarnation)

    @property
    def links(self) -> dict[str, Link]:
        """Return the open links by host."""
        with self.lock:
            return {
                host: link for host, link in self._links.items() if link.open
            }

    def link_to(self, upstream: str) -> Link | None:
        """Return the open link to the host of an upstream.

        Args:
          upstream: The name of the upstream.

        Returns:
          The link, or None if no connection is open.
        """
        return self.links.get(self._host_of(upstream))

    def fresh_link_to(self, upstream: str) -> Link | None:
        """Return the link to the host of an upstream, reconnecting if needed.

        Args:
          upstream: The name of the upstream.

        Returns:
          The link, or None if the connection could not be opened.
        """
        host = self._host_of(upstream)
        link = self.links.get(host)
        if link is None:
            self._connect(host)
            link = self.links.get(host)
        return link

    def maintain(self) -> None:
        """Connect to hosts without a link; close links to removed hosts."""
        links = self.links
        with self.lock:
            hosts = self._fleet.hosts_to_connect(self._site)
            listed = set(self._fleet.hosts)
        for host in hosts - set(links):
            if self._is_due(host):
                self._executor.submit(self._connect, host)
        # The link to a host that is still on the host list stays open, since
        # calls may be in flight on it, even if no new connection to the host
        # would be opened.
        for host in set(links) - listed:
            self._close_link(host)

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()

    def _host_of(self, upstream: str) -> str:
        base = self._fleet.base
        for service in base.services if base else ():
            for each in service.upstreams:
                if each.name == upstream:
                    return each.host
        return ''

    def _is_due(self, host: str) -> bool:
        _failures, next_attempt_at = self._attempts.get(host, (0, timedelta()))
        return (
            host not in self._connecting
            and next_attempt_at <= self._clock.elapsed()
        )

    def _connect(self, host: str) -> None:
        with self.lock:
            host_record = self._fleet.hosts.get(host)
            if host_record is None or host in self._connecting:
                return
            self._connecting.add(host)

        def on_message(link: Link, message: Any) -> None:  # noqa: WPS430
            self._on_message(host, link, message)

        def on_lost(link: Link) -> None:  # noqa: WPS430
            self._handle_loss(host, link)

        opened = open_link(
            host_record.address, self._identity, self._key, on_message, on_lost
        )
        with self.lock:
            self._connecting.discard(host)
            match opened:
                case Ok(link) if not link.open:
                    # The connection ended before the link was stored, so
                    # `_handle_loss` did not find it. If it were stored now,
                    # the fleet would never learn of its end.
                    self._back_off(host)
                case Ok(link):
                    self._links[host] = link
                    self._attempts.pop(host, None)
                    self._fleet.record_connected(host)
                    log_decision('connected', {'side': link.peer.name})
                    self._on_message(host, link, link.peer)
                case Err(lost):
                    logger.debug(
                        'cannot connect to {}: {}', host, lost.describe()
                    )
                    self._back_off(host)

    def _handle_loss(self, host: str, link: Link) -> None:
        """Remove a host from the candidates as soon as its link has ended.

        Calls to an unreachable host fail at once, so that it seems to have
        the least load. If it remained a candidate until the next call of
        `maintain`, it would be chosen for most calls and their retries: 196
        of 630 callers were refused although another side daemon was healthy.
        """
        with self.lock:
            # A new link may be stored before the end of the old one is
            # detected.
            if self._links.get(host) is link:
                self._links.pop(host)
                self._fleet.record_disconnected(host)

    def _back_off(self, host: str) -> None:
        # Exponential backoff with jitter keeps hundreds of daemons that lost
        # a host at the same time from reconnecting at the same time.
        failures, _next_attempt_at = self._attempts.get(host, (0, timedelta()))
        max_wait = min(_INITIAL_BACKOFF * 2**failures, _MAX_BACKOFF)
        wait = max_wait * self._rng.uniform(0.5, 1)
        self._attempts[host] = (
            min(failures + 1, 10),
            self._clock.elapsed() + wait,
        )

    def _close_link(self, host: str) -> None:
        with self.lock:
            link = self._links.pop(host, None)
            self._fleet.record_disconnected(host)
        if link is not None:
            link.close()
