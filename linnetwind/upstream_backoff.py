"""Upstreams that want no requests from this daemon for a time; any thread.

An upstream that refuses a request may say for how long it wants nothing more
from the daemon that sent it. Each daemon hears that for itself only, so that
nothing is told to peers.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.lives import Life


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
        return before


def _under_way(
    pauses: Mapping[Life, Backoff], now: timedelta
) -> dict[Life, Backoff]:
    return {life: each for life, each in pauses.items() if now < each.until}
