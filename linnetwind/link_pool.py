"""Connections from one entry daemon to the side daemons that it needs."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from typing import Any

from loguru import logger
from result import Err, Ok

from linnetwind.clock import Clock
from linnetwind.decisions import log_decision
from linnetwind.fleet import Fleet
from linnetwind.link import Link, open_link
from linnetwind.peer import Identity

_FIRST_BACKOFF = timedelta(seconds=0.5)
_LONGEST_BACKOFF = timedelta(seconds=10)

Notice = Callable[[str, Link, Any], None]


class LinkPool:
    """One link for each host of the fleet."""

    def __init__(
        self,
        identity: Identity,
        site: str,
        key: bytes,
        fleet: Fleet,
        executor: Executor,
        clock: Clock,
        notice: Notice,
    ) -> None:
        """Start without links.

        Args:
          identity: Who this daemon is.
          site: Where it is.
          key: The fleet key.
          fleet: Tells the hosts; is told of connections.
          executor: Connects.
          clock: For the waits between attempts.
          notice: Called with host, link and each message of no call; at
            first with the challenge that says who the side is.
        """
        self.lock = threading.RLock()
        self._identity = identity
        self._site = site
        self._key = key
        self._fleet = fleet
        self._executor = executor
        self._clock = clock
        self._notice = notice
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
        """Return the open link to an upstream's host.

        Args:
          upstream: The upstream's name.

        Returns:
          The link, or None.
        """
        return self.links.get(self._host_of(upstream))

    def fresh_link_to(self, upstream: str) -> Link | None:
        """Return an open link, connecting anew if the old one broke.

        Args:
          upstream: The upstream's name.

        Returns:
          The link, or None if the host cannot be reached now.
        """
        host = self._host_of(upstream)
        link = self.links.get(host)
        if link is None:
            self._connect(host)
            link = self.links.get(host)
        return link

    def maintain(self) -> None:
        """Connect to the hosts that have no link; drop those that left."""
        links = self.links
        with self.lock:
            hosts = self._fleet.hosts_to_connect(self._site)
            listed = set(self._fleet.hosts)
        for host in hosts - set(links):
            if self._is_due(host):
                self._executor.submit(self._connect, host)
        # A host that is merely no longer wanted keeps its link, with the
        # calls on it, until it leaves the list.
        for host in set(links) - listed:
            self._drop(host)

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
        _failures, due = self._attempts.get(host, (0, timedelta()))
        return host not in self._connecting and due <= self._clock.elapsed()

    def _connect(self, host: str) -> None:
        with self.lock:
            known = self._fleet.hosts.get(host)
            if known is None or host in self._connecting:
                return
            self._connecting.add(host)

        def notice(link: Link, message: Any) -> None:  # noqa: WPS430
            self._notice(host, link, message)

        def on_lost(link: Link) -> None:  # noqa: WPS430
            self._note_lost(host, link)

        opened = open_link(
            known.address, self._identity, self._key, notice, on_lost
        )
        with self.lock:
            self._connecting.discard(host)
            match opened:
                case Ok(link) if not link.open:
                    # It ended before it was kept here, so that nobody would
                    # tell the fleet of its end.
                    self._back_off(host)
                case Ok(link):
                    self._links[host] = link
                    self._attempts.pop(host, None)
                    self._fleet.connected(host)
                    log_decision('connected', {'side': link.peer.name})
                    self._notice(host, link, link.peer)
                case Err(lost):
                    logger.debug('{} not reached: {}', host, lost.describe())
                    self._back_off(host)

    def _note_lost(self, host: str, link: Link) -> None:
        """Take a host off the candidates as soon as its link has ended.

        Calls to it fail at once, so that it looks the least loaded: until the
        next look at all links it was given most calls and their second
        tries, and 196 of 630 callers were refused while another side served.
        """
        with self.lock:
            # The end of an old link may be noticed after a new one is there.
            if self._links.get(host) is link:
                self._links.pop(host)
                self._fleet.disconnected(host)

    def _back_off(self, host: str) -> None:
        # Hundreds of daemons that lost a host together must not all come
        # back in the same instant: the wait doubles and is spread.
        failures, _due = self._attempts.get(host, (0, timedelta()))
        longest = min(_FIRST_BACKOFF * 2**failures, _LONGEST_BACKOFF)
        wait = longest * self._rng.uniform(0.5, 1)
        self._attempts[host] = (
            min(failures + 1, 10),
            self._clock.elapsed() + wait,
        )

    def _drop(self, host: str) -> None:
        with self.lock:
            link = self._links.pop(host, None)
            self._fleet.disconnected(host)
        if link is not None:
            link.close()
