"""The upstreams that this daemon avoids; may be used from any thread."""

import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from typing import TypeVar

from linnetwind.clock import Clock
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.ejection_hints import (
    MAX_ADVERTISED,
    NO_HINTS,
    AdvertisedEjection,
    Hints,
    due_hint_probes,
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
    due_probes,
    ejected_upstreams,
    observe_answer,
)
from linnetwind.upstreams.upstream_list import Upstream

_MS = timedelta(milliseconds=1)
_PERCENT = 100
# How long peers are told that an upstream has returned: some full states.
_RETURN_NEWS_S = 5
RETURN_NEWS = timedelta(seconds=_RETURN_NEWS_S)

OWN_RECORDS = 'own'

# Called with an upstream that is ejected, its share of bad answers, the time
# until the next probe, and this daemon's records or the peer as the source.
EjectionListener = Callable[[UpstreamIncarnation, float, timedelta, str], None]
ReturnListener = Callable[[UpstreamIncarnation], None]
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
        self._lives: Collection[UpstreamIncarnation] = ()
        self._on_ejected: EjectionListener = _ignore_ejection
        self._on_returned: ReturnListener = _ignore_return

    @property
    def count(self) -> int:
        """Return the number of upstreams that are ejected now."""
        now = self._clock.elapsed()
        ejected = {
            life
            for life, health in self._healths.items()
            if health.ejection is not None
        }
        hinted = hinted_upstreams(self._hints, self._lives, now)
        return len(ejected | hinted)

    def report_to(
        self, on_ejected: EjectionListener, on_returned: ReturnListener
    ) -> None:
        """Set the functions to call when an upstream is ejected or returns.

        Args:
          on_ejected: Called for each ejection; must not block.
          on_returned: Called when an ejection is over; must not block.
        """
        self._on_ejected = on_ejected
        self._on_returned = on_returned

    def record_answer(
        self,
        upstream: Upstream,
        members: Iterable[Upstream],
        sent_at: timedelta,
        *,
        bad: bool,
    ) -> bool:
        """Record an answer of an upstream.

        Args:
          upstream: The upstream.
          members: The upstreams of its service that accept requests.
          sent_at: The monotonic time at which the request was sent.
          bad: Whether the request was refused or failed.

        Returns:
          Whether the upstream was ejected, and has returned with this answer.
        """
        now = self._clock.elapsed()
        life = upstream.life
        lives = [each.life for each in members]
        # The answer of an incarnation that left says nothing about the others.
        if life not in lives:
            return False
        answer = Answer(sent_at, bad)
        with self._lock:
            ejection = self._ejection(life)
            was_hinted = self._is_hinted(life)
            self._healths = observe_answer(
                self._healths, lives, life, answer, now
            )
            self._hints = observe_hinted(self._hints, life, answer, now)
            changed = self._ejection(life) != ejection
            self._has_news = self._has_news or changed
            after = self._ejection(life)
            returned = after is None and (
                changed or (was_hinted and not self._is_hinted(life))
            )
        if returned:
            self._on_returned(life)
        if changed and after is not None:
            left = after.until - now
            self._on_ejected(life, after.share, left, OWN_RECORDS)
        return returned

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

    def due_probes(
        self, upstreams: Iterable[Upstream]
    ) -> frozenset[UpstreamIncarnation]:
        """Return the upstreams to which the next request goes as a probe.

        Args:
          upstreams: Any upstreams.

        Returns:
          The incarnations, none that is avoided for another reason.
        """
        now = self._clock.elapsed()
        lives = [each.life for each in upstreams]
        own = due_probes(self._healths, lives, now)
        own -= hinted_upstreams(self._hints, lives, now)
        hinted = due_hint_probes(self._hints, lives, now)
        return own | (hinted - ejected_upstreams(self._healths, lives, now))

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
            before = self._hints
            self._hints = merge_hints(before, source, listed, now, self._spread)
            after = self._hints
        for each in listed:
            if _seen(before, each.life) != _seen(after, each.life):
                self._report_hint(source, each)

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
            self._lives = lives
            self._healths = _only(self._healths, lives)
            self._backoffs = _only(self._backoffs, lives)

    def _ejection(self, life: UpstreamIncarnation) -> Ejection | None:
        health = self._healths.get(life)
        return None if health is None else health.ejection

    def _is_hinted(self, life: UpstreamIncarnation) -> bool:
        hint = self._hints.get(tag_incarnation(life)) if self._hints else None
        return hint is not None and not hint.refuted

    def _report_hint(self, source: str, advertised: AdvertisedEjection) -> None:
        """Report a new hint of a peer, or the return of an upstream."""
        for life in self._lives:
            if tag_incarnation(life) != advertised.life:
                continue
            left = advertised.left_ms * _MS
            if left:
                share = advertised.percent / _PERCENT
                self._on_ejected(life, share, left, source)
            elif self._ejection(life) is None:
                self._on_returned(life)


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


def _seen(hints: Hints, tag: IncarnationTag) -> timedelta | None:
    hint = hints.get(tag)
    return None if hint is None else hint.seen


def _ignore_ejection(
    life: UpstreamIncarnation, share: float, left: timedelta, source: str
) -> None:
    """Do nothing; the default until a listener is set."""


def _ignore_return(life: UpstreamIncarnation) -> None:
    """Do nothing; the default until a listener is set."""
