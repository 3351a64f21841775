"""Keeps to the limits that upstreams name; for any thread."""

import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

from msgspec import Meta

from linnetwind.ages import AgeMs, age_of, moment_of
from linnetwind.clock import Clock
from linnetwind.limit_share import Pace, Share, share_of
from linnetwind.lives import Life, LifeTag, tag_life
from linnetwind.upstream_list import Upstream

_MOST_PER_S = 1_000_000_000
# A limit that has changed by less than this part is not told at once.
_SAME_WITHIN = 0.1

PerSecond = Annotated[float, Meta(ge=0, le=_MOST_PER_S)]


@dataclass(frozen=True, slots=True)
class ToldLimit:
    """What an upstream said to one daemon, `age_ms` ago; None: no limit."""

    life: LifeTag
    per_s: PerSecond | None
    age_ms: AgeMs


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The requests a second that a daemon has for a service."""

    service: str
    per_s: PerSecond


@dataclass(frozen=True, slots=True)
class Turn:
    """An upstream that takes a request once `wait` is over."""

    upstream: Upstream
    wait: timedelta


@dataclass(frozen=True, slots=True)
class _Named:
    """What an upstream said last, and when; None: it names no limit."""

    per_s: float | None
    at: timedelta


# Returns each daemon's requests a second for a service, by its name.
Demands = Callable[[str], Mapping[str, float]]


class UpstreamLimits:
    """The limits of all upstreams, and what was sent against them."""

    def __init__(self, clock: Clock, own: str, demands: Demands) -> None:
        """Start without limits.

        Args:
          clock: For paces and ages.
          own: The name of this daemon among `demands`.
          demands: Tells how much each daemon has for a service.
        """
        self._clock = clock
        self._own = own
        self._demands = demands
        self._lock = threading.Lock()
        self._heard_here: dict[LifeTag, _Named] = {}
        self._told: dict[LifeTag, _Named] = {}
        self._paces: dict[LifeTag, Pace] = {}

    @property
    def any_known(self) -> bool:
        """Return whether some upstream has named a limit."""
        return bool(self._heard_here or self._told)

    def note(self, upstream: Upstream, per_s: float | None) -> bool:
        """Take note of what an answer says.

        Args:
          upstream: Who answered.
          per_s: The requests a second that it takes from all daemons, None if
            it names no limit.

        Returns:
          Whether peers have to hear of it at once.
        """
        before = self.per_s(upstream.life)
        if before is None and per_s is None:
            return False
        named = _Named(per_s, self._clock.elapsed())
        with self._lock:
            self._heard_here[tag_life(upstream.life)] = named
        if before is None or per_s is None:
            return True
        return abs(per_s - before) > _SAME_WITHIN * before

    def hear(self, told: Iterable[ToldLimit]) -> None:
        """Take in what a peer was told by upstreams.

        Args:
          told: What it was told last by each of them.
        """
        now = self._clock.elapsed()
        with self._lock:
            for each in told:
                named = _Named(each.per_s, moment_of(each.age_ms, now))
                before = self._told.get(each.life)
                if before is None or before.at < named.at:
                    self._told[each.life] = named

    def tell(self) -> tuple[ToldLimit, ...]:
        """Return what peers have to hear: what upstreams said to this daemon.

        What peers said is not told on: its age would be wrong by the time of
        the way, and two daemons would keep an old word alive between them.
        """
        now = self._clock.elapsed()
        return tuple(
            ToldLimit(life, named.per_s, age_of(named.at, now))
            for life, named in list(self._heard_here.items())
        )

    def keep_only(self, lives: Collection[Life]) -> None:
        """Forget upstreams that are gone.

        Args:
          lives: Those that are registered.
        """
        if not self.any_known:
            return
        tags = {tag_life(life) for life in lives}
        with self._lock:
            for known in (self._heard_here, self._told, self._paces):
                for gone in known.keys() - tags:
                    known.pop(gone)

    def per_s(self, life: Life) -> float | None:
        """Return the limit that an upstream named last, to any daemon.

        Args:
          life: The upstream's life.

        Returns:
          The requests a second from all daemons, None without a limit.
        """
        tag = tag_life(life)
        words = [
            known[tag]
            for known in (self._heard_here, self._told)
            if tag in known
        ]
        if not words:
            return None
        return max(words, key=lambda named: named.at).per_s

    def free(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that take a request from this daemon now.

        Args:
          upstreams: Upstreams of one service.

        Returns:
          Those without a limit, and those whose limit leaves a turn.
        """
        if not self.any_known:
            return upstreams
        now = self._clock.elapsed()
        return [
            each for each in upstreams if self._wait(each, now) == timedelta()
        ]

    def take(self, upstream: Upstream) -> None:
        """Count a request that is sent to an upstream.

        Args:
          upstream: The upstream.
        """
        if self.any_known:
            self._send(upstream, self._clock.elapsed())

    def reserve(
        self, upstreams: list[Upstream], longest: timedelta
    ) -> Turn | None:
        """Take the next turn at upstreams that all have a limit.

        Args:
          upstreams: Upstreams of one service.
          longest: The longest time to wait.

        Returns:
          The turn, None if there is none in time.
        """
        now = self._clock.elapsed()
        waits = [(self._wait(each, now), each) for each in upstreams]
        turns = [
            Turn(each, wait)
            for wait, each in waits
            if wait is not None and wait <= longest
        ]
        if not turns:
            return None
        first = min(turns, key=lambda turn: turn.wait)
        self._send(first.upstream, now)
        return first

    def next_turn(self, upstreams: list[Upstream]) -> timedelta | None:
        """Return when an upstream has room for one more request from here.

        Args:
          upstreams: Upstreams of one service.

        Returns:
          The time until then, None if this daemon sends them none.
        """
        now = self._clock.elapsed()
        waits = [self._wait(each, now) for each in upstreams]
        return min((wait for wait in waits if wait is not None), default=None)

    def _wait(self, upstream: Upstream, now: timedelta) -> timedelta | None:
        share = self._share(upstream)
        if share is None:
            return timedelta()
        pace = self._paces.get(tag_life(upstream.life), Pace())
        return pace.wait(share, now)

    def _send(self, upstream: Upstream, now: timedelta) -> None:
        share = self._share(upstream)
        if share is None or not share.at_once:
            return
        tag = tag_life(upstream.life)
        with self._lock:
            pace = self._paces.get(tag, Pace())
            self._paces[tag] = pace.send(share, now)

    def _share(self, upstream: Upstream) -> Share | None:
        per_s = self.per_s(upstream.life)
        if per_s is None:
            return None
        demands = self._demands(upstream.service)
        return share_of(upstream.life, per_s, self._own, demands)
