"""Upstreams that want no requests from this daemon for a time; any thread.

An upstream that refuses a request may say for how long it wants nothing more
from the daemon that sent it. Each daemon hears that for itself only, so that
nothing is told to peers.
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
    """The monotonic times at which a pause was asked for and is over."""

    asked_at: timedelta
    until: timedelta


class UpstreamBackoffs:
    """The pauses that upstreams have asked for."""

    def __init__(self, clock: Clock) -> None:
        """Start without pauses.

        Args:
          clock: For their ends.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._pauses: Mapping[Life, Backoff] = {}
        self._last_end = timedelta()

    def note(self, life: Life, wanted: timedelta) -> Backoff | None:
        """Take note that an upstream wants a pause from now on.

        Args:
          life: The upstream's life.
          wanted: How long the pause lasts. One that was asked for before is
            not made shorter.

        Returns:
          The pause that was under way already, if any.
        """
        now = self._clock.elapsed()
        with self._lock:
            before = self._pauses.get(life)
            if before is not None and before.until <= now:
                before = None
            until = now + wanted
            if before is None or before.until < until:
                self._pauses = {
                    **_under_way(self._pauses, now),
                    life: Backoff(now, until),
                }
                self._last_end = max(self._last_end, until)
        return before

    def left(self, life: Life) -> timedelta:
        """Return what is left of an upstream's pause.

        Args:
          life: The upstream's life.

        Returns:
          The time, zero without a pause.
        """
        pause = self._pauses.get(life)
        if pause is None:
            return timedelta()
        return max(pause.until - self._clock.elapsed(), timedelta())

    def free(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that are not in a pause.

        Args:
          upstreams: Any upstreams.

        Returns:
          Those that take requests from this daemon; the same object while
          nobody has asked for a pause.
        """
        pausing = self._pausing()
        if not pausing:
            return upstreams
        return [each for each in upstreams if each.life not in pausing]

    def all_pause_for(self, upstreams: Iterable[Upstream]) -> timedelta:
        """Return when the first of some upstreams takes requests again.

        Args:
          upstreams: Any upstreams.

        Returns:
          The time until then; zero if one takes requests, or there is none.
        """
        pausing = self._pausing()
        lives = [each.life for each in upstreams] if pausing else []
        if any(life not in pausing for life in lives):
            return timedelta()
        return min(map(self.left, lives), default=timedelta())

    def _pausing(self) -> Collection[Life]:
        now = self._clock.elapsed()
        if self._last_end <= now:
            return ()
        return _under_way(self._pauses, now)


def _under_way(
    pauses: Mapping[Life, Backoff], now: timedelta
) -> dict[Life, Backoff]:
    return {life: each for life, each in pauses.items() if now < each.until}
