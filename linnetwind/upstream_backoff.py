"""Upstreams to which this daemon must send no requests for a time.

An upstream that refuses a request may state for how long the sending daemon
has to back off. This concerns that daemon alone. Peers get a hint only, see
`ejection_hints.py`, and are not bound by it.
"""

import threading
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class Backoff:
    """The monotonic times at which a backoff was requested and ends."""

    requested_at: timedelta
    until: timedelta


class UpstreamBackoffs:
    """The backoffs that upstreams requested; may be used from any thread."""

    def __init__(self, clock: Clock) -> None:
        """Start without backoffs.

        Args:
          clock: For the ends of backoffs.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._backoffs: Mapping[UpstreamIncarnation, Backoff] = {}
        self._last_end = timedelta()

    def record_backoff(
        self, life: UpstreamIncarnation, length: timedelta
    ) -> Backoff | None:
        """Record that an upstream requests a backoff from now on.

        Args:
          life: The upstream's incarnation.
          length: The length of the backoff. A backoff in force that ends later
            is not shortened.

        Returns:
          The backoff that was already in force, if any.
        """
        now = self._clock.elapsed()
        with self._lock:
            in_force = _in_force(self._backoffs, now)
            before = in_force.get(life)
            until = now + length
            if before is None or before.until < until:
                self._backoffs = {**in_force, life: Backoff(now, until)}
                self._last_end = max(self._last_end, until)
        return before

    def remaining(self, life: UpstreamIncarnation) -> timedelta:
        """Return the remaining backoff of an upstream.

        Args:
          life: The upstream's incarnation.

        Returns:
          The time, zero if no backoff is in force.
        """
        backoff = self._backoffs.get(life)
        if backoff is None:
            return timedelta()
        return max(backoff.until - self._clock.elapsed(), timedelta())

    def without_backoff(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that have no backoff in force.

        Args:
          upstreams: Any upstreams.

        Returns:
          The upstreams without a backoff; the same object if no upstream at
          all has one.
        """
        backing_off = self._backing_off()
        if not backing_off:
            return upstreams
        return [each for each in upstreams if each.life not in backing_off]

    def remaining_for_all(self, upstreams: Iterable[Upstream]) -> timedelta:
        """Return the time until the first backoff of some upstreams ends.

        Args:
          upstreams: Any upstreams.

        Returns:
          The time; zero if one of them has no backoff, or if there are no
          upstreams.
        """
        backing_off = self._backing_off()
        lives = [each.life for each in upstreams] if backing_off else []
        if any(life not in backing_off for life in lives):
            return timedelta()
        return min(map(self.remaining, lives), default=timedelta())

    def _backing_off(self) -> Collection[UpstreamIncarnation]:
        now = self._clock.elapsed()
        if self._last_end <= now:
            return ()
        return _in_force(self._backoffs, now)


def _in_force(
    backoffs: Mapping[UpstreamIncarnation, Backoff], now: timedelta
) -> dict[UpstreamIncarnation, Backoff]:
    return {life: each for life, each in backoffs.items() if now < each.until}
