"""The request rates that overloaded upstreams limit all daemons to.

An overloaded upstream states in its responses how many requests a second it
accepts from all daemons together. Daemons advertise these limits to each
other, and each sends at most its share. Requests to a cold upstream are limited
as well, and one that is cold and states a limit gets what both allow.
"""

import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

from msgspec import Meta

from linnetwind.ages import AgeMs, age_of, moment_of
from linnetwind.clock import Clock
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.cold_upstreams import ColdUpstreams
from linnetwind.upstreams.limit_share import (
    RateShare,
    SendSchedule,
    rate_share_of,
)
from linnetwind.upstreams.upstream_list import Upstream

_MAX_PER_S = 1_000_000_000
# Peers are not informed at once of a limit that has changed by less than this
# fraction.
_MIN_CHANGE = 0.1

# How long upstreams are taken to accept nothing while it is not known when they
# do.
_UNKNOWN_WAIT = timedelta(seconds=1)

PerSecond = Annotated[float, Meta(ge=0, le=_MAX_PER_S)]


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """A limit that an upstream stated to the daemon that advertises it.

    `per_s` is None if the upstream does not state a limit any more; `age_ms` is
    the age of the statement when the message is sent.
    """

    life: IncarnationTag
    per_s: PerSecond | None
    age_ms: AgeMs


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The requests a second that a daemon has for a service."""

    service: str
    per_s: PerSecond


@dataclass(frozen=True, slots=True)
class Reservation:
    """A reserved request to an upstream; it may be sent after `wait`."""

    upstream: Upstream
    wait: timedelta


@dataclass(frozen=True, slots=True)
class _StatedLimit:
    """What an upstream stated last, and when; `per_s` is None for no limit."""

    per_s: float | None
    at: timedelta


# Returns the requests a second that each daemon has for a service, by the
# names of the daemons.
Demands = Callable[[str], Mapping[str, float]]


class UpstreamLimits:
    """The limits of all upstreams and the requests sent under them.

    May be used from any thread.
    """

    def __init__(
        self,
        clock: Clock,
        own: str,
        demands: Demands,
        cold: ColdUpstreams | None = None,
    ) -> None:
        """Start without limits.

        Args:
          clock: For send schedules and the ages of limits.
          own: The name of this daemon among `demands`.
          demands: Returns the requests a second of each daemon for a service.
          cold: The cold upstreams, None if requests to them are not limited.
        """
        self._clock = clock
        self._cold = cold
        self._own = own
        self._demands = demands
        self._lock = threading.Lock()
        self._stated: dict[IncarnationTag, _StatedLimit] = {}
        self._advertised: dict[IncarnationTag, _StatedLimit] = {}
        self._schedules: dict[IncarnationTag, SendSchedule] = {}

    @property
    def any_known(self) -> bool:
        """Return whether any upstream has stated a limit, or is cold."""
        if self._stated or self._advertised:
            return True
        return self._cold is not None and self._cold.any_recent

    def record_limit(self, upstream: Upstream, per_s: float | None) -> bool:
        """Record the limit that an upstream states in a response.

        Args:
          upstream: The upstream that responded.
          per_s: The requests a second that it accepts from all daemons, None
            if it states no limit.

        Returns:
          Whether peers have to be informed at once.
        """
        before = self.per_s(upstream.life)
        if before is None and per_s is None:
            return False
        stated = _StatedLimit(per_s, self._clock.elapsed())
        with self._lock:
            self._stated[tag_incarnation(upstream.life)] = stated
        if before is None or per_s is None:
            return True
        return abs(per_s - before) > _MIN_CHANGE * before

    def merge_advertised(self, limits: Iterable[AdvertisedLimit]) -> None:
        """Merge the limits that a peer advertises.

        Args:
          limits: The latest limit that each upstream stated to the peer.
        """
        now = self._clock.elapsed()
        with self._lock:
            for each in limits:
                stated = _StatedLimit(each.per_s, moment_of(each.age_ms, now))
                before = self._advertised.get(each.life)
                if before is None or before.at < stated.at:
                    self._advertised[each.life] = stated

    def to_advertise(self) -> tuple[AdvertisedLimit, ...]:
        """Return the limits to advertise: those stated to this daemon itself.

        Limits that peers advertised are not passed on. Their age would be off
        by the transit time, and two daemons would keep an outdated limit alive
        between them.
        """
        now = self._clock.elapsed()
        return tuple(
            AdvertisedLimit(life, stated.per_s, age_of(stated.at, now))
            for life, stated in list(self._stated.items())
        )

    def keep_only(self, lives: Collection[UpstreamIncarnation]) -> None:
        """Discard the state of upstreams that are not registered any more.

        Args:
          lives: The incarnations that are registered.
        """
        if not self.any_known:
            return
        tags = {tag_incarnation(life) for life in lives}
        with self._lock:
            for known in (self._stated, self._advertised, self._schedules):
                for removed in known.keys() - tags:
                    known.pop(removed)

    def per_s(self, life: UpstreamIncarnation) -> float | None:
        """Return the limit that an upstream stated last, to any daemon.

        Args:
          life: The upstream's incarnation.

        Returns:
          The requests a second from all daemons, None if it has no limit.
        """
        tag = tag_incarnation(life)
        statements = [
            known[tag]
            for known in (self._stated, self._advertised)
            if tag in known
        ]
        if not statements:
            return None
        return max(statements, key=lambda stated: stated.at).per_s

    def within_limit(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams to which this daemon may send a request now.

        Args:
          upstreams: Upstreams of one service.

        Returns:
          Those without a limit, and those whose limit allows a request.
        """
        if not self.any_known:
            return upstreams
        now = self._clock.elapsed()
        return [
            each for each in upstreams if self._wait(each, now) == timedelta()
        ]

    def open_groups(
        self, groups: Mapping[str, list[Upstream]]
    ) -> Mapping[str, list[Upstream]]:
        """Return the groups with an upstream that may be sent a request now.

        Args:
          groups: Upstreams of one service by group.

        Returns:
          The groups; all of them if there is no such upstream.
        """
        if not self.any_known:
            return groups
        accepting = {
            name: members
            for name, members in groups.items()
            if self.within_limit(members)
        }
        return accepting or groups

    def count_sent(self, upstream: Upstream) -> None:
        """Count a request that is sent to an upstream against its limit.

        Args:
          upstream: The upstream.
        """
        if self.any_known:
            self._send(upstream, self._clock.elapsed(), timedelta())

    def reserve(
        self, upstreams: list[Upstream], longest: timedelta
    ) -> Reservation | None:
        """Reserve the earliest request that the upstreams' limits allow.

        Args:
          upstreams: Upstreams of one service.
          longest: The longest time to wait.

        Returns:
          The reservation, None if the request would have to wait longer.
        """
        now = self._clock.elapsed()
        waits = [(self._wait(each, now), each) for each in upstreams]
        reservations = [
            Reservation(each, wait)
            for wait, each in waits
            if wait is not None and wait <= longest
        ]
        if not reservations:
            return None
        earliest = min(reservations, key=lambda reservation: reservation.wait)
        self._send(earliest.upstream, now, earliest.wait)
        return earliest

    def closed_for(self, upstreams: list[Upstream]) -> timedelta:
        """Return how long the limits of all upstreams allow no request.

        Args:
          upstreams: Upstreams of one service.

        Returns:
          The time; zero if one of them may be sent a request now, or if there
          are no upstreams.
        """
        if not upstreams or self.within_limit(upstreams):
            return timedelta()
        known = self.time_until_accepted(upstreams)
        if not known and self._cold is not None:
            known = self._cold.unsettled_for(self._clock.elapsed())
        return known or _UNKNOWN_WAIT

    def time_until_accepted(
        self, upstreams: list[Upstream]
    ) -> timedelta | None:
        """Return how soon this daemon may send the next request.

        Args:
          upstreams: Upstreams of one service.

        Returns:
          The time until then, None if this daemon may send to none of them.
        """
        now = self._clock.elapsed()
        waits = [self._wait(each, now) for each in upstreams]
        return min((wait for wait in waits if wait is not None), default=None)

    def _wait(self, upstream: Upstream, now: timedelta) -> timedelta | None:
        cold = (
            timedelta()
            if self._cold is None
            else self._cold.wait(upstream, now)
        )
        share = self._share(upstream)
        if share is None:
            return cold
        schedule = self._schedules.get(
            tag_incarnation(upstream.life), SendSchedule()
        )
        limited = schedule.wait(share, now)
        if cold is None or limited is None:
            return None
        return max(cold, limited)

    def _send(
        self, upstream: Upstream, now: timedelta, wait: timedelta
    ) -> None:
        if self._cold is not None:
            self._cold.send(upstream, now, wait)
        share = self._share(upstream)
        if share is None or not share.burst:
            return
        tag = tag_incarnation(upstream.life)
        with self._lock:
            schedule = self._schedules.get(tag, SendSchedule())
            self._schedules[tag] = schedule.send(share, now)

    def _share(self, upstream: Upstream) -> RateShare | None:
        per_s = self.per_s(upstream.life)
        if per_s is None:
            return None
        demands = self._demands(upstream.service)
        return rate_share_of(upstream.life, per_s, self._own, demands)
