"""Remembers rejected requests, so that their retries get precedence.

A caller may retry through any daemon, so the daemons advertise their
rejections to each other. A request is identified by the subject of its prompt,
which its retry has too.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Self

from linnetwind.clock import Clock

# How long a rejection is remembered: slightly longer than the longest time
# after which a caller is asked to retry.
RETENTION = timedelta(seconds=4)
# How long a rejection is advertised: for several states, some of which may be
# lost. The caller retries through another daemon later than that.
_ADVERTISED_MS = 600
ADVERTISED_FOR = timedelta(milliseconds=_ADVERTISED_MS)
# The rejections that one daemon advertises; more than that cannot get
# precedence.
MAX_ADVERTISED = 100


@dataclass(frozen=True)
class RefusalHistory:
    """Subjects that were rejected lately, each with its time of expiry.

    `own` are the rejections of this daemon, `peers` those of the others. Times
    are monotonic.
    """

    own: Mapping[str, timedelta] = field(default_factory=dict)
    peers: Mapping[str, timedelta] = field(default_factory=dict)

    def record_rejection(self, subject: str, now: timedelta) -> Self:
        """Return the history after a rejection by this daemon.

        Args:
          subject: The request's subject; if it is empty, the rejection is not
            remembered.
          now: The monotonic time.

        Returns:
          The new history.
        """
        if not subject:
            return self
        return replace(
            self, own={**_unexpired(self.own, now), subject: now + RETENTION}
        )

    def merge_advertised(self, subjects: Iterable[str], now: timedelta) -> Self:
        """Return the history after a message of another daemon.

        Args:
          subjects: The subjects that it advertises.
          now: The monotonic time.

        Returns:
          The new history. A subject that is remembered already keeps its time
          of expiry.
        """
        fresh = {
            subject: now + RETENTION
            for subject in subjects
            if now >= self.peers.get(subject, timedelta())
        }
        if not fresh:
            return self
        return replace(self, peers={**_unexpired(self.peers, now), **fresh})

    def to_advertise(self, now: timedelta) -> tuple[str, ...]:
        """Return the subjects to advertise to the other daemons.

        Args:
          now: The monotonic time.

        Returns:
          The newest subjects that this daemon rejected.
        """
        newest = _unexpired(self.own, now + RETENTION - ADVERTISED_FOR)
        return tuple(newest)[-MAX_ADVERTISED:]

    def is_retry(self, subject: str, now: timedelta) -> bool:
        """Return whether a request was rejected lately.

        Args:
          subject: The request's subject.
          now: The monotonic time.

        Returns:
          Whether any daemon rejected it.
        """
        return any(
            now < expiries.get(subject, timedelta())
            for expiries in (self.own, self.peers)
        )


class RefusalTracker:
    """The rejections that a daemon remembers; methods are thread-safe."""

    def __init__(self, clock: Clock) -> None:
        """Start with an empty history.

        Args:
          clock: The clock by which rejections expire.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._history = RefusalHistory()

    def record_rejection(self, subject: str) -> None:
        """Record a rejection by this daemon.

        Args:
          subject: The request's subject.
        """
        with self._lock:
            self._history = self._history.record_rejection(
                subject, self._clock.elapsed()
            )

    def merge_advertised(self, subjects: Iterable[str]) -> None:
        """Record the rejections that another daemon advertises.

        Args:
          subjects: The subjects.
        """
        with self._lock:
            self._history = self._history.merge_advertised(
                subjects, self._clock.elapsed()
            )

    def to_advertise(self) -> tuple[str, ...]:
        """Return the subjects to advertise to the other daemons."""
        return self._history.to_advertise(self._clock.elapsed())

    def is_retry(self, subject: str) -> bool:
        """Return whether a request is the retry of a rejected one.

        Args:
          subject: The request's subject.

        Returns:
          Whether any daemon rejected it lately and asked its caller to retry.
        """
        return self._history.is_retry(subject, self._clock.elapsed())


def _unexpired(
    expiries: Mapping[str, timedelta], now: timedelta
) -> dict[str, timedelta]:
    return {
        subject: expiry for subject, expiry in expiries.items() if now < expiry
    }
