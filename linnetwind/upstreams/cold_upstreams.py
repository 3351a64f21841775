"""The cold upstreams that a daemon knows, and its requests to them.

A daemon that starts, or that finds dozens of upstreams cold at once, has to
know this before it sends them the first request.
"""

import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.ages import AgeMs, moment_of
from linnetwind.clock import Clock
from linnetwind.routes import RoutedService
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.cold_allowance import (
    WINDOW,
    ColdFacts,
    ColdPeriod,
    ColdSource,
    cold_period,
    slow_start_weight,
)
from linnetwind.upstreams.cold_quotas import ColdQuotas
from linnetwind.upstreams.limit_share import SendWindow
from linnetwind.upstreams.upstream_list import Upstream, UpstreamList

_MS = timedelta(milliseconds=1)
# Eleven days, more than any cold time; larger ages overflow `timedelta`.
_MAX_START_AGE_MS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class AdvertisedCold:
    """The remaining cold time of an upstream when the message is sent."""

    life: IncarnationTag
    left_ms: AgeMs


# Called with an upstream that became cold, the requests a second that it
# handles, the remaining cold time and how this daemon learned of it.
ColdListener = Callable[
    [UpstreamIncarnation, float, timedelta, ColdSource], None
]


class ColdUpstreams:
    """The cold upstreams and the requests sent to them; thread-safe."""

    def __init__(self, quotas: ColdQuotas, clock: Clock) -> None:
        """Start without upstreams.

        Args:
          quotas: This daemon's part of the bound.
          clock: The clock, for the ends of cold times.
        """
        self._quotas = quotas
        self._clock = clock
        self._lock = threading.RLock()
        self._services: Mapping[str, RoutedService] = {}
        self._facts: dict[UpstreamIncarnation, ColdFacts] = {}
        self._advertised: dict[IncarnationTag, timedelta] = {}
        self._periods: dict[UpstreamIncarnation, ColdPeriod] = {}
        self._windows: dict[UpstreamIncarnation, SendWindow] = {}
        self._on_cold: ColdListener = _ignore_cold

    @property
    def quotas(self) -> ColdQuotas:
        """Return this daemon's part of the bound."""
        return self._quotas

    @property
    def any_recent(self) -> bool:
        """Return whether any upstream is cold or in its slow start."""
        return bool(self._periods)

    @property
    def count(self) -> int:
        """Return the number of upstreams that are cold now."""
        now = self._clock.elapsed()
        return sum(
            1 for each in list(self._periods.values()) if now < each.until
        )

    def report_to(self, listener: ColdListener) -> None:
        """Set the function to call when an upstream has become cold.

        Args:
          listener: The function, which must not block.
        """
        self._on_cold = listener

    def apply_services(self, services: Mapping[str, RoutedService]) -> None:
        """Apply the cold times of a configuration.

        Args:
          services: The services by name.
        """
        with self._lock:
            self._services = services
            self._update_periods(self._facts)

    def observe_list(self, before: UpstreamList, after: UpstreamList) -> None:
        """Learn of new incarnations and of cold times in registrations.

        Args:
          before: The list of upstreams before a change.
          after: The list after it.
        """
        if before.records is after.records:
            return
        during_traffic = before.end > 0
        with self._lock:
            changed = []
            for instance, record in after.records.items():
                known = before.records.get(instance)
                if record.upstream is not None and record != known:
                    self._learn(record.upstream, during_traffic=during_traffic)
                    changed.append(record.upstream.life)
            self._update_periods(changed)

    def merge_advertised(self, cold: Iterable[AdvertisedCold]) -> None:
        """Merge the cold times that a peer advertises.

        Args:
          cold: The upstreams that the peer found to be cold.
        """
        now = self._clock.elapsed()
        ends = {each.life: now + each.left_ms * _MS for each in cold}
        if not ends:
            return
        with self._lock:
            self._advertised = _merge_ends(self._advertised, ends, now)
            changed = {
                life: self._with_advertised(life, facts)
                for life, facts in self._facts.items()
                if tag_incarnation(life) in ends
            }
            self._facts.update(changed)
            self._update_periods(changed)

    def to_advertise(self) -> tuple[AdvertisedCold, ...]:
        """Return the cold times to advertise: those this daemon found itself.

        Registrations reach all daemons by the store. What peers advertised is
        not passed on, as its end would move on with each transit.
        """
        if not self._periods:
            return ()
        now = self._clock.elapsed()
        own_sources = (ColdSource.FIRST_SEEN, ColdSource.START_TIME)
        return tuple(
            AdvertisedCold(
                tag_incarnation(life), int((period.until - now) / _MS)
            )
            for life, period in list(self._periods.items())
            if period.source in own_sources and now < period.until
        )

    def keep_only(self, lives: Collection[UpstreamIncarnation]) -> None:
        """Discard the state of upstreams that are not registered any more.

        Args:
          lives: The incarnations that are registered.
        """
        with self._lock:
            for removed in self._facts.keys() - lives:
                self._facts.pop(removed)
                self._forget_period(removed)
            self._quotas.keep_only(lives)

    def wait(self, upstream: Upstream, now: timedelta) -> timedelta | None:
        """Return how long this daemon's next request has to wait.

        Args:
          upstream: Any upstream.
          now: The monotonic time.

        Returns:
          The time, zero if the upstream is not cold; None if this daemon may
          send it none while it is cold. It does not end with the cold time: all
          daemons would send what they hold at that moment.
        """
        period = self._periods.get(upstream.life)
        if period is None or now >= period.until:
            return timedelta()
        unsettled = self._quotas.unsettled_for(now)
        if unsettled:
            return None
        service = self._services.get(upstream.service)
        if service is None:
            # A configuration without the service has just come into force.
            return None
        quota = self._quotas.quota(upstream.life, service.cold_per_s)
        window = self._windows.get(upstream.life, SendWindow())
        return window.wait(quota, WINDOW, now)

    def unsettled_for(self, now: timedelta) -> timedelta:
        """Return how long this daemon sends nothing to cold upstreams.

        Args:
          now: The monotonic time.

        Returns:
          The time until it knows the other daemons; zero if it does.
        """
        return self._quotas.unsettled_for(now)

    def send(self, upstream: Upstream, now: timedelta, wait: timedelta) -> None:
        """Count a request that is sent to an upstream.

        Args:
          upstream: Any upstream.
          now: The monotonic time.
          wait: The time after which it is sent.
        """
        period = self._periods.get(upstream.life)
        if period is None or now >= period.until:
            return
        with self._lock:
            window = self._windows.get(upstream.life, SendWindow())
            self._windows[upstream.life] = window.send(WINDOW, now, wait)

    def weights(self, now: timedelta) -> Mapping[UpstreamIncarnation, float]:
        """Return the weights of the upstreams in their slow start.

        Discards the state of those whose slow start is over.

        Args:
          now: The monotonic time.

        Returns:
          The weights by incarnation; 1 where it has none.
        """
        if not self._periods:
            return {}
        with self._lock:
            weights = {
                life: slow_start_weight(
                    period.until, self._cold_time(life), now
                )
                for life, period in self._periods.items()
            }
            warm = [
                life
                for life, period in self._periods.items()
                if now >= period.until and weights[life] == 1
            ]
            for ended in warm:
                self._forget_period(ended)
        return {life: each for life, each in weights.items() if each < 1}

    def _learn(self, upstream: Upstream, *, during_traffic: bool) -> None:
        now = self._clock.elapsed()
        known = self._facts.get(upstream.life)
        if known is None:
            known = ColdFacts(
                upstream.service,
                started_at=self._started_at(upstream, now),
                first_seen=now if during_traffic else None,
            )
        stated_until = max(known.stated_until, now + upstream.cold)
        if upstream.cold:
            known = replace(known, stated_until=stated_until)
        self._facts[upstream.life] = self._with_advertised(upstream.life, known)

    def _started_at(
        self, upstream: Upstream, now: timedelta
    ) -> timedelta | None:
        """Return the monotonic time of a start by the upstream's own clock.

        A clock that is ahead would make it cold for longer than it can be.
        """
        if upstream.born_ms is None:
            return None
        age_ms = self._clock.now().timestamp() / _MS.total_seconds()
        age_ms -= upstream.born_ms
        return moment_of(max(0, min(int(age_ms), _MAX_START_AGE_MS)), now)

    def _with_advertised(
        self, life: UpstreamIncarnation, facts: ColdFacts
    ) -> ColdFacts:
        end = self._advertised.get(tag_incarnation(life))
        if end is None or end <= facts.advertised_until:
            return facts
        return replace(facts, advertised_until=end)

    def _update_periods(self, lives: Iterable[UpstreamIncarnation]) -> None:
        if not self._quotas.are_limited:
            return
        now = self._clock.elapsed()
        for life in lives:
            service = self._services.get(self._facts[life].service)
            if service is None or not service.cold_per_s:
                self._forget_period(life)
                continue
            period = cold_period(self._facts[life], service.cold_time)
            if period.until > now:
                self._enter_period(life, period, service.cold_per_s)

    def _enter_period(
        self, life: UpstreamIncarnation, period: ColdPeriod, per_s: float
    ) -> None:
        now = self._clock.elapsed()
        before = self._periods.get(life)
        self._periods[life] = period
        if before is None or before.until <= now:
            self._on_cold(life, per_s, period.until - now, period.source)

    def _forget_period(self, life: UpstreamIncarnation) -> None:
        self._periods.pop(life, None)
        self._windows.pop(life, None)

    def _cold_time(self, life: UpstreamIncarnation) -> timedelta:
        service = self._services.get(self._facts[life].service)
        return timedelta() if service is None else service.cold_time


def _merge_ends(
    known: Mapping[IncarnationTag, timedelta],
    ends: Mapping[IncarnationTag, timedelta],
    now: timedelta,
) -> dict[IncarnationTag, timedelta]:
    """Return the later end of each cold time that has not ended."""
    merged = {tag: end for tag, end in known.items() if now < end}
    for advertised, until in ends.items():
        merged[advertised] = max(until, merged.get(advertised, until))
    return merged


def _ignore_cold(
    life: UpstreamIncarnation,
    per_s: float,
    left: timedelta,
    source: ColdSource,
) -> None:
    """Do nothing; the default until a listener is set."""
