"""The state of the upstreams as one entry daemon knows it.

The state combines the configuration, the platform's host list, the load
reports and draining notices of side daemons, and the calls that the entry
daemon has in flight itself.
"""

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.config import Base, Service, Upstream
from linnetwind.hosts_port import Host, HostState
from linnetwind.messages import LoadReport
from linnetwind.routing import Candidate

# The number of consecutive failures after which an upstream is ejected.
EJECT_AFTER_FAILURES = 3
MIN_EJECTION = timedelta(seconds=1)
MAX_EJECTION = timedelta(minutes=0.5)
MAX_CACHED_BLOCKS = 4096
MAX_BOOTSTRAP_HOSTS = 3

_ZERO = timedelta()


@dataclass
class _UpstreamState:
    """The last report of an upstream, and this daemon's calls to it.

    `sent` counts the calls since the connection was opened,
    `finished_since_report` those that ended since the last report, and `own`
    those in flight.
    """

    report: LoadReport | None = None
    sent: int = 0
    finished_since_report: int = 0
    own: int = 0
    last_frame_at: timedelta = _ZERO
    failures: int = 0
    ejected_until: timedelta = _ZERO
    ejections: int = 0
    cached: 'OrderedDict[int, None]' = field(default_factory=OrderedDict)


class Fleet:
    """The known upstreams and their states. The caller holds a lock."""

    def __init__(self, clock: Clock) -> None:
        """Create a fleet without configuration and hosts.

        Args:
          clock: The clock for silence and ejections.
        """
        self._clock = clock
        self._base: Base | None = None
        self._hosts: dict[str, Host] = {}
        self._connected: set[str] = set()
        self._leaving: dict[str, frozenset[str]] = {}
        self._states: dict[str, _UpstreamState] = {}
        self._regions: dict[str, str] = {}

    @property
    def base(self) -> Base | None:
        """Return the configuration in force at this site."""
        return self._base

    @property
    def hosts(self) -> dict[str, Host]:
        """Return the hosts of the latest host list by name."""
        return self._hosts

    def update_base(self, base: Base) -> None:
        """Replace the configuration.

        Args:
          base: The configuration in force at this site.
        """
        self._base = base
        self._regions = {site.name: site.region for site in base.sites}
        known = {
            upstream.name
            for service in base.services
            for upstream in service.upstreams
        }
        for name in set(self._states) - known:
            self._states.pop(name)

    def update_hosts(self, hosts: Sequence[Host]) -> None:
        """Replace the host list.

        Args:
          hosts: The latest host list of the platform.
        """
        self._hosts = {host.name: host for host in hosts}

    def hosts_to_connect(self, site: str) -> set[str]:
        """Return the hosts to which a daemon of a site should connect.

        Each connection costs memory and a report every few seconds. For a
        service with upstreams in the region of the daemon, connections are
        opened to these only, and to all other upstreams once none of these
        is connected.

        Args:
          site: The site of the daemon.

        Returns:
          The names of hosts on the host list.
        """
        if self._base is None:
            # Any side daemon can provide the configuration.
            return set(list(self._hosts)[:MAX_BOOTSTRAP_HOSTS])
        region = self.region(site)
        hosts: set[str] = set()
        for service in self._base.services:
            all_hosts = {each.host for each in service.upstreams}
            regional_hosts = {
                each.host
                for each in service.upstreams
                if self.region(each.site) == region
            }
            connected_hosts = regional_hosts & self._connected
            hosts |= regional_hosts if connected_hosts else all_hosts
        return hosts & set(self._hosts)

    def record_connected(self, host: str) -> None:
        """Record a new connection, and discard reports of the previous one.

        Args:
          host: The name of the host.
        """
        self._connected.add(host)
        for upstream in self._upstreams_of(host):
            state = self._state_of(upstream.name)
            state.report = None
            state.sent = 0
            state.last_frame_at = self._clock.elapsed()

    def record_disconnected(self, host: str) -> None:
        """Record the end of a connection.

        Args:
          host: The name of the host.
        """
        self._connected.discard(host)
        # This is not done when the next connection is recorded, because its
        # `Leaving` message may have been applied before.
        self._leaving.pop(host, None)

    def apply_leaving(self, host: str, upstreams: Sequence[str]) -> None:
        """Record the upstreams for which a side daemon refuses new calls.

        Args:
          host: The name of the host.
          upstreams: All of its upstreams that are leaving.
        """
        self._leaving[host] = frozenset(upstreams)

    def apply_load(self, load: LoadReport) -> None:
        """Apply the load report of an upstream.

        Args:
          load: The report.
        """
        state = self._state_of(load.upstream)
        state.report = load
        state.finished_since_report = 0
        state.last_frame_at = self._clock.elapsed()
        for block in load.cached:
            self._record_cached_block(state, block)
        for block in load.uncached:
            state.cached.pop(block, None)

    def record_call_sent(self, upstream: str, blocks: Sequence[int]) -> None:
        """Record that this daemon has sent a call.

        Args:
          upstream: The name of the upstream.
          blocks: The block hashes of the prompt, which the upstream will
            have in its cache.
        """
        state = self._state_of(upstream)
        if state.own == 0:
            state.last_frame_at = self._clock.elapsed()
        state.sent += 1
        state.own += 1
        for block in blocks:
            self._record_cached_block(state, block)

    def record_frame_received(self, upstream: str) -> None:
        """Record that a frame was received from an upstream.

        Args:
          upstream: The name of the upstream.
        """
        self._state_of(upstream).last_frame_at = self._clock.elapsed()

    def record_call_end(self, upstream: str, *, failed: bool) -> None:
        """Record the end of a call of this daemon.

        Args:
          upstream: The name of the upstream.
          failed: Whether the call failed because of the upstream or its
            host.
        """
        state = self._state_of(upstream)
        state.own -= 1
        state.finished_since_report += 1
        if not failed:
            state.failures = 0
            state.ejections = 0
            return
        state.failures += 1
        if state.failures >= EJECT_AFTER_FAILURES:
            # Each call sent to a failing upstream costs its caller a retry.
            # The ejection expires by itself, and then a single call detects
            # whether the upstream has recovered.
            ejection = MIN_EJECTION * 2**state.ejections
            state.ejections += 1
            state.failures = EJECT_AFTER_FAILURES - 1
            state.ejected_until = self._clock.elapsed() + min(
                ejection, MAX_EJECTION
            )

    def service(self, name: str) -> Service | None:
        """Return a service by name.

        Args:
          name: The name of the service.

        Returns:
          The service, or None if the configuration has none of this name.
        """
        services = self._base.services if self._base else ()
        return next((each for each in services if each.name == name), None)

    def region(self, site: str) -> str:
        """Return the region of a site.

        Args:
          site: The name of the site.

        Returns:
          The region, or an empty string if the site is unknown.
        """
        return self._regions.get(site, '')

    def candidates(
        self, service: Service, blocks: Sequence[int]
    ) -> list[Candidate]:
        """Return the upstreams that accept new calls of a service.

        Args:
          service: The service.
          blocks: The block hashes of the prompt.

        Returns:
          A candidate for each upstream that is live and not ejected.
        """
        live = [each for each in service.upstreams if self.is_live(each)]
        now = self._clock.elapsed()
        healthy = [
            each
            for each in live
            if self._state_of(each.name).ejected_until <= now
        ]
        # If more than half of the upstreams are ejected, the cause is
        # probably elsewhere, and the remaining ones would be overloaded.
        if len(healthy) * 2 < len(live):
            healthy = live
        return [self._candidate(each, blocks) for each in healthy]

    def is_live(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts new calls.

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
        # The side daemon itself is the first to know that it is leaving. The
        # host list may follow seconds later, or may be unreadable from here.
        return upstream.name not in self._leaving.get(upstream.host, ())

    def _candidate(
        self, upstream: Upstream, blocks: Sequence[int]
    ) -> Candidate:
        state = self._state_of(upstream.name)
        report = state.report or LoadReport(upstream.name, 0, 0, 0, 0, 0, 0)
        silence = _ZERO
        if state.own > 0:
            silence = self._clock.elapsed() - state.last_frame_at
        return Candidate(
            upstream.name,
            upstream.site,
            self.region(upstream.site),
            upstream.concurrency,
            running=report.running,
            waiting=report.waiting,
            unreported=state.sent
            - report.acknowledged
            - state.finished_since_report,
            own=state.own,
            service_ms=report.service_ms,
            step_ms=report.step_ms,
            silence=silence,
            cached_blocks=_cached_prefix_blocks(state, blocks),
        )

    def _state_of(self, upstream: str) -> _UpstreamState:
        return self._states.setdefault(upstream, _UpstreamState())

    def _upstreams_of(self, host: str) -> Iterator[Upstream]:
        for service in self._base.services if self._base else ():
            for upstream in service.upstreams:
                if upstream.host == host:
                    yield upstream

    def _record_cached_block(self, state: _UpstreamState, block: int) -> None:
        state.cached[block] = None
        state.cached.move_to_end(block)
        if len(state.cached) > MAX_CACHED_BLOCKS:
            state.cached.popitem(last=False)


def _cached_prefix_blocks(state: _UpstreamState, blocks: Sequence[int]) -> int:
    for index, block in enumerate(blocks):
        if block not in state.cached:
            return index
    return len(blocks)
