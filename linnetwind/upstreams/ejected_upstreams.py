"""The upstreams that this daemon avoids; may be used from any thread."""

import threading
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import TypeVar

from linnetwind.clock import Clock
from linnetwind.upstream_incarnation import (
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.ejection_hints import (
    MAX_ADVERTISED,
    NO_HINTS,
    AdvertisedEjection,
    Hints,
    hinted_upstreams,
    limit_to_half,
    merge_hints,
    observe_hinted,
    probe_hinted,
)
from linnetwind.upstreams.outlier_ejection import (
    MIN_FIRST,
    NO_HEALTHS,
    Answer,
    Ejection,
    Healths,
    UpstreamHealth,
    begin_probe,
    ejected_upstreams,
    observe_answer,
)
from linnetwind.upstreams.upstream_list import Upstream

_MS = timedelta(milliseconds=1)
_PERCENT = 100
# How long peers are told that an upstream has returned: some full states.
_RETURN_NEWS_S = 5
RETURN_NEWS = timedelta(seconds=_RETURN_NEWS_S)

_Known = TypeVar('_Known')


class EjectedUpstreams:
    """Records the answers of plain upstreams and ejects outliers."""

    def __init__(self, clock: Clock, spread: float = 0) -> None:
        """Start without records.

        Args:
          clock: The daemon's clock.
          spread: A number from 0 to 1 that differs from daemon to daemon.
        """
        self._clock = clock
        self._spread = spread
        self._lock = threading.Lock()
        self._healths: Healths = NO_HEALTHS
        self._hints: Hints = NO_HINTS
        self._backoffs: Mapping[UpstreamIncarnation, timedelta] = {}
        self._has_news = False

    def record_answer(
        self,
        upstream: Upstream,
        members: Iterable[Upstream],
        sent_at: timedelta,
        *,
        bad: bool,
    ) -> None:
        """Record an answer of an upstream.

        Args:
          upstream: The upstream.
          members: The upstreams of its service that accept requests.
          sent_at: The monotonic time at which the request was sent.
          bad: Whether the request was refused or failed.
        """
        now = self._clock.elapsed()
        life = upstream.life
        lives = [each.life for each in members]
        # The answer of an incarnation that left says nothing about the others.
        if life not in lives:
            return
        answer = Answer(sent_at, bad)
        with self._lock:
            before = self._ejection(life)
            self._healths = observe_answer(
                self._healths, lives, life, answer, now
            )
            self._hints = observe_hinted(self._hints, life, answer, now)
            if self._ejection(life) != before:
                self._has_news = True

    def record_backoff(self, upstream: Upstream, length: timedelta) -> None:
        """Record that an upstream asked this daemon to back off.

        Args:
          upstream: The upstream.
          length: The length of the backoff.
        """
        now = self._clock.elapsed()
        with self._lock:
            in_force = _in_force(self._backoffs, now)
            until = max(now + length, in_force.get(upstream.life, now))
            self._backoffs = {**in_force, upstream.life: until}
            self._has_news = True

    def ejected(
        self, members: Iterable[Upstream]
    ) -> frozenset[UpstreamIncarnation]:
        """Return the upstreams that get no requests now.

        Args:
          members: The upstreams of a service that accept requests.

        Returns:
          The incarnations, at most half of the members.
        """
        now = self._clock.elapsed()
        lives = [each.life for each in members]
        ejected = ejected_upstreams(self._healths, lives, now)
        hinted = hinted_upstreams(self._hints, lives, now)
        return limit_to_half(ejected, hinted, lives)

    def count_sent(self, upstream: Upstream) -> None:
        """Record that a request is sent, which may be a probe.

        Args:
          upstream: The upstream that gets the request.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._healths = begin_probe(self._healths, upstream.life, now)
            self._hints = probe_hinted(self._hints, upstream.life, now)

    def merge_advertised(
        self, source: str, advertised: Iterable[AdvertisedEjection]
    ) -> None:
        """Merge the upstreams that a peer avoids, as a hint.

        Args:
          source: The peer's name.
          advertised: The upstreams.
        """
        listed = tuple(advertised)
        if not listed:
            return
        now = self._clock.elapsed()
        with self._lock:
            self._hints = merge_hints(
                self._hints, source, listed, now, self._spread
            )

    def to_advertise(self) -> tuple[AdvertisedEjection, ...]:
        """Return the upstreams that this daemon avoids by its own records.

        Hints of peers are not passed on, as their end would move on with each
        transit.
        """
        now = self._clock.elapsed()
        returned = {
            life: AdvertisedEjection(tag_incarnation(life), 0)
            for life, health in self._healths.items()
            if _has_returned(health, now)
        }
        backoffs = {
            life: AdvertisedEjection(
                tag_incarnation(life), int((until - now) / _MS)
            )
            for life, until in _in_force(self._backoffs, now).items()
        }
        ejected = {
            life: _advertise_ejection(life, health.ejection, now)
            for life, health in self._healths.items()
            if health.ejection is not None
        }
        listed = {**returned, **backoffs, **ejected}.values()
        longest = sorted(listed, key=lambda each: -each.left_ms)
        return tuple(longest[:MAX_ADVERTISED])

    def take_news(self) -> bool:
        """Return whether something changed since the last call."""
        with self._lock:
            has_news = self._has_news
            self._has_news = False
        return has_news

    def keep_only(self, lives: Collection[UpstreamIncarnation]) -> None:
        """Discard the records of upstreams that are not registered.

        Args:
          lives: The incarnations that are registered.
        """
        with self._lock:
            self._healths = _only(self._healths, lives)
            self._backoffs = _only(self._backoffs, lives)

    def _ejection(self, life: UpstreamIncarnation) -> Ejection | None:
        health = self._healths.get(life)
        return None if health is None else health.ejection


def _advertise_ejection(
    life: UpstreamIncarnation, ejection: Ejection, now: timedelta
) -> AdvertisedEjection:
    # The time after which it is probed may be over; peers wait for the answer.
    left = max(ejection.until - now, MIN_FIRST)
    percent = min(int(ejection.share * _PERCENT), _PERCENT)
    return AdvertisedEjection(
        tag_incarnation(life), int(left / _MS), max(percent, 1)
    )


def _has_returned(health: UpstreamHealth, now: timedelta) -> bool:
    return (
        health.ejection is None
        and health.level > 0
        and now - health.returned_at < RETURN_NEWS
    )


def _in_force(
    backoffs: Mapping[UpstreamIncarnation, timedelta], now: timedelta
) -> dict[UpstreamIncarnation, timedelta]:
    return {life: until for life, until in backoffs.items() if now < until}


def _only(
    known: Mapping[UpstreamIncarnation, _Known],
    lives: Collection[UpstreamIncarnation],
) -> dict[UpstreamIncarnation, _Known]:
    return {life: each for life, each in known.items() if life in lives}
