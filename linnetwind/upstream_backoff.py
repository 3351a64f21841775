"""Upstreams that want no requests from this daemon for a time.

An upstream that refuses a request may say for how long the daemon that sent it
has to back off. Each daemon hears that for itself only, so that nothing is
told to peers.
"""

import threading
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.lives import Life
from linnetwind.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class Backoff:
    """The monotonic times at which an upstream asked and is to be back."""

    asked_at: timedelta
    until: timedelta


class UpstreamBackoffs:
    """The backoffs that upstreams have asked for; for any thread."""

    def __init__(self, clock: Clock) -> None:
        """Start without any.

        Args:
          clock: For their ends.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._backoffs: Mapping[Life, Backoff] = {}
        self._last_end = timedelta()

    def note(self, life: Life, wanted: timedelta) -> Backoff | None:
        """Take note that an upstream asks to back off from now on.

        Args:
          life: The upstream's life.
          wanted: For how long. One that was asked for before is not made
            shorter.

        Returns:
          The backoff that was in force already, if any.
        """
        now = self._clock.elapsed()
        with self._lock:
            in_force = _in_force(self._backoffs, now)
            before = in_force.get(life)
            until = now + wanted
            if before is None or before.until < until:
                self._backoffs = {**in_force, life: Backoff(now, until)}
                self._last_end = max(self._last_end, until)
        return before

    def left(self, life: Life) -> timedelta:
        """Return for how long an upstream still wants no requests.

        Args:
          life: The upstream's life.

        Returns:
          The time, zero if it takes requests.
        """
        backoff = self._backoffs.get(life)
        if backoff is None:
            return timedelta()
        return max(backoff.until - self._clock.elapsed(), timedelta())

    def free(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that take requests from this daemon.

        Args:
          upstreams: Any upstreams.

        Returns:
          Those of them that did not ask to back off; the same object if no
          upstream did.
        """
        refusing = self._refusing()
        if not refusing:
            return upstreams
        return [each for each in upstreams if each.life not in refusing]

    def left_for_all(self, upstreams: Iterable[Upstream]) -> timedelta:
        """Return when the first of some upstreams takes requests again.

        Args:
          upstreams: Any upstreams.

        Returns:
          The time until then; zero if one takes requests, or there is none.
        """
        refusing = self._refusing()
        lives = [each.life for each in upstreams] if refusing else []
        if any(life not in refusing for life in lives):
            return timedelta()
        return min(map(self.left, lives), default=timedelta())

    def _refusing(self) -> Collection[Life]:
        now = self._clock.elapsed()
        if self._last_end <= now:
            return ()
        return _in_force(self._backoffs, now)


def _in_force(
    backoffs: Mapping[Life, Backoff], now: timedelta
) -> dict[Life, Backoff]:
    return {life: each for life, each in backoffs.items() if now < each.until}
