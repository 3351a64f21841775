"""A daemon's thread-safe record of the requests that crash upstreams."""

import threading
from collections.abc import Iterable
from datetime import timedelta

from linnetwind.ages import age_of, moment_of
from linnetwind.clock import Clock
from linnetwind.crash_history import AdvertisedCrash, Crash, CrashHistory
from linnetwind.fingerprint import Fingerprint
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
    tag_incarnation,
)

# How many answered requests are remembered. A popular request that was answered
# before is no suspect when a rank crashes for another reason.
_MAX_ANSWERED = 256


class CrashTracker:
    """Tracks crashes and decides which requests must not be forwarded.

    All methods may be called from any thread.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with an empty history.

        Args:
          clock: Gives the times of crashes and the ends of quarantines.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._history = CrashHistory()
        self._answered: dict[Fingerprint, None] = {}

    @property
    def has_crashes(self) -> bool:
        """Return whether a crash is known under any request."""
        return bool(self._history.crashes)

    def record_crash(
        self,
        request: Fingerprint,
        life: UpstreamIncarnation,
        began: timedelta,
        *,
        of_group: bool = False,
    ) -> timedelta | None:
        """Record that an upstream has just crashed under a request.

        Args:
          request: The request's fingerprint.
          life: The incarnation of the upstream.
          began: The monotonic time at which the request was sent there.
          of_group: Whether the upstream's whole group broke.

        Returns:
          How long the request must not be forwarded, None if it may be.
        """
        now = self._clock.elapsed()
        with self._lock:
            suspect = of_group and request not in self._answered
            crash = Crash(tag_incarnation(life), began, now, suspect)
            self._history = self._history.record_crash(request, crash, now)
        return self.quarantine(request)

    def record_answer(self, request: Fingerprint) -> None:
        """Record that an upstream has answered a request completely.

        Args:
          request: The request's fingerprint.
        """
        with self._lock:
            self._answered.pop(request, None)
            self._answered[request] = None
            if len(self._answered) > _MAX_ANSWERED:
                self._answered.pop(next(iter(self._answered)))
            if request in self._history.crashes:
                self._history = self._history.record_answer(
                    request, self._clock.elapsed()
                )

    def restore(
        self, request: Fingerprint, lives: Iterable[IncarnationTag]
    ) -> None:
        """Restore a request that was in quarantine before this process started.

        The quarantine restarts at its full length. Its age is unknown, since
        the clocks of hosts differ and jump.

        Args:
          request: The request's fingerprint.
          lives: The tags of the upstream incarnations that crashed under it, in
            the order of their crashes.
        """
        now = self._clock.elapsed()
        with self._lock:
            for life in lives:
                crash = Crash(life, now, now)
                self._history = self._history.record_crash(request, crash, now)

    def merge_advertised(
        self,
        crashes: Iterable[AdvertisedCrash],
        answered: Iterable[Fingerprint],
    ) -> None:
        """Merge what a peer advertises.

        Args:
          crashes: Crashes under requests.
          answered: Requests that were answered after a crash.
        """
        now = self._clock.elapsed()
        with self._lock:
            for request in answered:
                self._history = self._history.merge_peer_answer(request, now)
            for advertised in crashes:
                crash = Crash(
                    advertised.life,
                    moment_of(advertised.began_ms, now),
                    moment_of(advertised.ended_ms, now),
                    advertised.of_group,
                )
                self._history = self._history.record_crash(
                    advertised.fingerprint, crash, now
                )

    def to_advertise(self) -> tuple[AdvertisedCrash, ...]:
        """Return the crashes that peers need to learn of."""
        now = self._clock.elapsed()
        return tuple(
            AdvertisedCrash(
                request,
                crash.life,
                age_of(crash.began, now),
                age_of(crash.ended, now),
                crash.of_group,
            )
            for request, known in self._history.crashes_to_advertise(
                now
            ).items()
            for crash in known
        )

    def answered_to_advertise(self) -> tuple[Fingerprint, ...]:
        """Return the answered requests that peers need to learn of."""
        return self._history.answers_to_advertise(self._clock.elapsed())

    def quarantine(self, request: Fingerprint) -> timedelta | None:
        """Return how long a request must not be sent to any upstream.

        Args:
          request: The request's fingerprint.

        Returns:
          The remaining time, None if it may be sent.
        """
        now = self._clock.elapsed()
        remaining = self._history.quarantined_until(request) - now
        return remaining if remaining > timedelta() else None

    def is_proven(self, request: Fingerprint) -> bool:
        """Return whether a request is taken for the cause of its crashes.

        Args:
          request: The request's fingerprint.

        Returns:
          Whether two upstreams crashed under it independently, so that it is
          more than a suspect.
        """
        return self._history.is_proven(request)

    def quarantined(self) -> list[Fingerprint]:
        """Return the proven requests whose quarantine has not ended."""
        now = self._clock.elapsed()
        history = self._history
        return [
            request
            for request in history.crashes
            if history.is_proven(request)
            and history.quarantined_until(request) > now
        ]

    def discard_expired(self) -> None:
        """Drop the requests whose quarantine ended long ago."""
        with self._lock:
            self._history = self._history.discard_expired(self._clock.elapsed())

    def crashed_incarnations(
        self, request: Fingerprint
    ) -> tuple[IncarnationTag, ...]:
        """Return the upstreams that crashed under a request.

        Args:
          request: The request's fingerprint.

        Returns:
          The tags of their incarnations, in the order of their crashes.
        """
        return tuple(
            crash.life for crash in self._history.crashes.get(request, ())
        )
