"""What one entry daemon knows of the upstreams, as plain state.

It brings together the configuration, the platform's host list, the sides'
reports and notices, and the daemon's own calls in flight.
"""

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.config import Base, Service, Upstream
from linnetwind.hosts_port import Host, HostState
from linnetwind.messages import Load
from linnetwind.routing import Candidate

# After this many failures in a row an upstream is left alone for a while.
EJECT_AFTER = 3
FIRST_EJECTION = timedelta(seconds=1)
LONGEST_EJECTION = timedelta(minutes=0.5)
CACHE_BLOCKS = 4096
FIRST_HOSTS = 3

_NONE = timedelta()


@dataclass
class _Seen:
    """One upstream: its last report and the own calls since."""

    report: Load | None = None
    sent: int = 0
    finished_since: int = 0
    own: int = 0
    last_sign: timedelta = _NONE
    failures: int = 0
    ejected_until: timedelta = _NONE
    ejections: int = 0
    cached: 'OrderedDict[int, None]' = field(default_factory=OrderedDict)


class Fleet:
    """The upstreams as seen from here. The caller holds a lock."""

    def __init__(self, clock: Clock) -> None:
        """Start knowing nothing.

        Args:
          clock: For silence and ejections.
        """
        self._clock = clock
        self._base: Base | None = None
        self._hosts: dict[str, Host] = {}
        self._connected: set[str] = set()
        self._leaving: dict[str, frozenset[str]] = {}
        self._seen: dict[str, _Seen] = {}
        self._regions: dict[str, str] = {}

    @property
    def base(self) -> Base | None:
        """Return the configuration in force at this site."""
        return self._base

    @property
    def hosts(self) -> dict[str, Host]:
        """Return the hosts by name, as last heard."""
        return self._hosts

    def take_base(self, base: Base) -> None:
        """Replace the configuration.

        Args:
          base: What is in force at this site.
        """
        self._base = base
        self._regions = {site.name: site.region for site in base.sites}
        known = {
            upstream.name
            for service in base.services
            for upstream in service.upstreams
        }
        for name in set(self._seen) - known:
            self._seen.pop(name)

    def take_hosts(self, hosts: Sequence[Host]) -> None:
        """Replace the host list.

        Args:
          hosts: The platform's latest list.
        """
        self._hosts = {host.name: host for host in hosts}

    def wanted_hosts(self, site: str) -> set[str]:
        """Return the hosts to which a daemon of a site should connect.

        Each connection costs memory and a report every few seconds, so a
        service that has upstreams in the own region is reached there only;
        the others are wanted once none of those can be reached.

        Args:
          site: The daemon's site.

        Returns:
          The names of hosts on the list.
        """
        if self._base is None:
            # Without a configuration any side will do to get one from.
            return set(list(self._hosts)[:FIRST_HOSTS])
        region = self.region(site)
        wanted: set[str] = set()
        for service in self._base.services:
            everywhere = {each.host for each in service.upstreams}
            near = {
                each.host
                for each in service.upstreams
                if self.region(each.site) == region
            }
            reached = near & self._connected
            wanted |= near if reached else everywhere
        return wanted & set(self._hosts)

    def connected(self, host: str) -> None:
        """Take note of a new connection; what was known is out of date.

        Args:
          host: The host's name.
        """
        self._connected.add(host)
        for upstream in self._upstreams_of(host):
            seen = self._of(upstream.name)
            seen.report = None
            seen.sent = 0
            seen.last_sign = self._clock.elapsed()

    def disconnected(self, host: str) -> None:
        """Take note that a connection is gone.

        Args:
          host: The host's name.
        """
        self._connected.discard(host)
        # Not on connecting: the new side's notice may have come before.
        self._leaving.pop(host, None)

    def take_leaving(self, host: str, upstreams: Sequence[str]) -> None:
        """Take note that a side refuses new calls for these upstreams.

        Args:
          host: The host's name.
          upstreams: All of its upstreams that are leaving.
        """
        self._leaving[host] = frozenset(upstreams)

    def take_load(self, load: Load) -> None:
        """Take an upstream's report.

        Args:
          load: The report.
        """
        seen = self._of(load.upstream)
        seen.report = load
        seen.finished_since = 0
        seen.last_sign = self._clock.elapsed()
        for block in load.cached:
            self._remember_block(seen, block)
        for block in load.uncached:
            seen.cached.pop(block, None)

    def call_sent(self, upstream: str, blocks: Sequence[int]) -> None:
        """Take note of an own call.

        Args:
          upstream: Where it went.
          blocks: Its prompt's block hashes, which will be cached there.
        """
        seen = self._of(upstream)
        if seen.own == 0:
            seen.last_sign = self._clock.elapsed()
        seen.sent += 1
        seen.own += 1
        for block in blocks:
            self._remember_block(seen, block)

    def sign_of_life(self, upstream: str) -> None:
        """Take note that a frame came from an upstream.

        Args:
          upstream: Its name.
        """
        self._of(upstream).last_sign = self._clock.elapsed()

    def call_ended(self, upstream: str, *, failed: bool) -> None:
        """Take note that an own call ended.

        Args:
          upstream: Where it was.
          failed: Whether the upstream or its host is to blame.
        """
        seen = self._of(upstream)
        seen.own -= 1
        seen.finished_since += 1
        if not failed:
            seen.failures = 0
            seen.ejections = 0
            return
        seen.failures += 1
        if seen.failures >= EJECT_AFTER:
            # Each call sent to a failing upstream costs its caller a retry.
            # The ejection ends by itself, so an upstream that has recovered
            # is found out by one call.
            length = FIRST_EJECTION * 2**seen.ejections
            seen.ejections += 1
            seen.failures = EJECT_AFTER - 1
            seen.ejected_until = self._clock.elapsed() + min(
                length, LONGEST_EJECTION
            )

    def service(self, name: str) -> Service | None:
        """Return a service by name.

        Args:
          name: The name.

        Returns:
          The service, or None.
        """
        services = self._base.services if self._base else ()
        return next((each for each in services if each.name == name), None)

    def region(self, site: str) -> str:
        """Return the region of a site.

        Args:
          site: The site's name.

        Returns:
          The region, or an empty string if the site is unknown.
        """
        return self._regions.get(site, '')

    def candidates(
        self, service: Service, blocks: Sequence[int]
    ) -> list[Candidate]:
        """Return the upstreams that take new calls of a service.

        Args:
          service: The service.
          blocks: The block hashes of the request's prompt.

        Returns:
          A candidate for each upstream that is believed to be live.
        """
        live = [each for each in service.upstreams if self.is_live(each)]
        now = self._clock.elapsed()
        healthy = [
            each for each in live if self._of(each.name).ejected_until <= now
        ]
        # With more than half ejected the fault is probably not theirs, and
        # the rest would not bear the load.
        if len(healthy) * 2 < len(live):
            healthy = live
        return [self._candidate(each, blocks) for each in healthy]

    def is_live(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes new calls.

        Args:
          upstream: The upstream.

        Returns:
          False if it is drained, leaving or not connected.
        """
        drained = self._base.drained if self._base else ()
        host = self._hosts.get(upstream.host)
        if host is None or host.state is HostState.LEAVING:
            return False
        if upstream.host not in self._connected or upstream.name in drained:
            return False
        # The side itself is the first to know that it is leaving; the host
        # list may say so seconds later, or not be readable from here.
        return upstream.name not in self._leaving.get(upstream.host, ())

    def _candidate(
        self, upstream: Upstream, blocks: Sequence[int]
    ) -> Candidate:
        seen = self._of(upstream.name)
        report = seen.report or Load(upstream.name, 0, 0, 0, 0, 0, 0)
        silence = _NONE
        if seen.own > 0:
            silence = self._clock.elapsed() - seen.last_sign
        return Candidate(
            upstream.name,
            upstream.site,
            self.region(upstream.site),
            upstream.concurrency,
            running=report.running,
            waiting=report.waiting,
            unreported=seen.sent - report.acknowledged - seen.finished_since,
            own=seen.own,
            service_ms=report.service_ms,
            step_ms=report.step_ms,
            silence=silence,
            cached_blocks=_depth(seen, blocks),
        )

    def _of(self, upstream: str) -> _Seen:
        return self._seen.setdefault(upstream, _Seen())

    def _upstreams_of(self, host: str) -> Iterator[Upstream]:
        for service in self._base.services if self._base else ():
            for upstream in service.upstreams:
                if upstream.host == host:
                    yield upstream

    def _remember_block(self, seen: _Seen, block: int) -> None:
        seen.cached[block] = None
        seen.cached.move_to_end(block)
        if len(seen.cached) > CACHE_BLOCKS:
            seen.cached.popitem(last=False)


def _depth(seen: _Seen, blocks: Sequence[int]) -> int:
    for index, block in enumerate(blocks):
        if block not in seen.cached:
            return index
    return len(blocks)
