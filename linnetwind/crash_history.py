"""History of the crashes under each request, which decides on quarantines.

A request that crashes every upstream that starts it is retried by its caller
and arrives through any gateway. In a rank group each such crash cuts the
streams of all callers. The gateways therefore advertise every crash under a
request to each other, and no gateway forwards a request under which two
upstreams have crashed. After the crash of a rank, every request that ran on it
is a suspect and is refused for a short time: forwarding the one that caused the
crash would break the group again, for seconds and for all callers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Self

from linnetwind.ages import AgeMs
from linnetwind.fingerprint import Fingerprint
from linnetwind.upstream_incarnation import IncarnationTag

# A single crash may have any cause, and the requests that ran on the upstream
# must be served elsewhere. It is unlikely that a request meets two crashes in a
# row by chance: it would have to go from one crashing upstream to the next.
_CRASHES_TO_QUARANTINE = 2
# Processes that are killed together by one signal are seen to end within this
# time. Crashes this close together may share a cause outside of the request,
# unless the request went from one upstream to the next. Copies of a request
# that waited for a broken group also start together, but further apart.
_COMMON_CAUSE_WINDOW_MS = 20
_COMMON_CAUSE_WINDOW = timedelta(milliseconds=_COMMON_CAUSE_WINDOW_MS)
# After its quarantine a request may be tried once, since a new version of the
# upstreams may be able to serve it. Each further crash doubles the quarantine.
_FIRST_QUARANTINE_MINUTES = 10
FIRST_QUARANTINE = timedelta(minutes=_FIRST_QUARANTINE_MINUTES)
MAX_QUARANTINE = timedelta(days=1)
# How long a suspect is refused. The crash of a rank leaves several suspects, of
# which at most one caused it; the retries of the others are refused as well.
_SUSPICION_MINUTES = 1
SUSPICION = timedelta(minutes=_SUSPICION_MINUTES)
# If more than two upstreams crash within this time, the cause lies outside of
# the requests; two of them may have run copies of one request.
_MASS_CRASH_WINDOW = timedelta(seconds=1)
_MAX_CRASHES_BY_REQUEST = 2
# Enough doublings to reach `MAX_QUARANTINE`; bounds the exponent.
_MAX_DOUBLINGS = 8
# How long a crash or an answer is advertised. Peers may miss some of this
# daemon's state messages.
_ADVERTISING_TIME = timedelta(seconds=2)
# The state messages of a slow peer may still repeat an answer this long after
# its first advertisement.
_REPEAT_WINDOW = 2 * _ADVERTISING_TIME
# The number of requests that are remembered, and of those that a state message
# carries.
MAX_KNOWN_REQUESTS = 512
MAX_ADVERTISED_REQUESTS = 32


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an upstream while it ran a request.

    `life` is the incarnation of the upstream. The request was sent to it at
    `began`, and its crash was detected at `ended`; both are monotonic times.
    `of_group` tells whether the upstream was a rank whose whole group broke.
    """

    life: IncarnationTag
    began: timedelta
    ended: timedelta
    of_group: bool = False


@dataclass(frozen=True, slots=True)
class AdvertisedCrash:
    """A `Crash` in messages to peers.

    It holds ages in milliseconds instead of times, since clocks differ.
    """

    fingerprint: Fingerprint
    life: IncarnationTag
    began_ms: AgeMs
    ended_ms: AgeMs
    of_group: bool = False


@dataclass(frozen=True)
class CrashHistory:
    """The crashes by request, and the times of successful answers.

    `answered` holds the monotonic time at which an upstream last answered a
    request through this daemon, `answered_by_peers` the time at which a peer
    advertised such an answer. Answers of peers are not advertised again.
    """

    crashes: Mapping[Fingerprint, tuple[Crash, ...]] = field(
        default_factory=dict
    )
    answered: Mapping[Fingerprint, timedelta] = field(default_factory=dict)
    answered_by_peers: Mapping[Fingerprint, timedelta] = field(
        default_factory=dict
    )

    def record_crash(
        self, request: Fingerprint, crash: Crash, now: timedelta
    ) -> Self:
        """Add a crash under a request.

        Args:
          request: The request's fingerprint.
          crash: The crash. It is ignored if a crash of the same incarnation is
            known, or if the request was answered after it was sent there.
          now: The monotonic time.

        Returns:
          The updated history.
        """
        known = self.crashes.get(request, ())
        if any(other.life == crash.life for other in known):
            return self
        if crash.began <= self._last_answer_at(request):
            return self
        crashes = {
            **_unexpired_crashes(self.crashes, now),
            request: tuple(sorted((*known, crash), key=_end_of)),
        }
        return replace(self, crashes=_limit_size(crashes))

    def record_answer(self, request: Fingerprint, now: timedelta) -> Self:
        """Clear a request that an upstream answered completely.

        A popular request is in flight whenever an upstream crashes for another
        reason. If its crashes were kept after a complete answer, a harmless
        request would be refused to all its callers.

        Args:
          request: The request's fingerprint.
          now: The monotonic time.

        Returns:
          The updated history.
        """
        answered = {**_unexpired_answers(self.answered, now), request: now}
        return replace(self._without_crashes(request), answered=answered)

    def merge_peer_answer(self, request: Fingerprint, now: timedelta) -> Self:
        """Clear a request for which a peer advertises a complete answer.

        Args:
          request: The request's fingerprint.
          now: The monotonic time.

        Returns:
          The updated history. Repeats of the same advertisement change
          nothing, so that they don't clear crashes that came after it.
        """
        if (
            now - self.answered_by_peers.get(request, -_REPEAT_WINDOW)
            < _REPEAT_WINDOW
        ):
            return self
        answered_by_peers = {
            **_unexpired_answers(self.answered_by_peers, now),
            request: now,
        }
        return replace(
            self._without_crashes(request), answered_by_peers=answered_by_peers
        )

    def quarantined_until(self, request: Fingerprint) -> timedelta:
        """Return until when a request must not be sent to any upstream.

        Args:
          request: The request's fingerprint.

        Returns:
          The monotonic time at which its quarantine or suspicion ends; zero if
          it has neither.
        """
        known = self.crashes.get(request, ())
        if self.is_proven(request):
            return known[-1].ended + _quarantine_length(known)
        if (
            known
            and known[-1].of_group
            and not self._is_part_of_mass_crash(known[-1])
        ):
            return known[-1].ended + SUSPICION
        return timedelta()

    def is_proven(self, request: Fingerprint) -> bool:
        """Return whether a request is taken for the cause of its crashes.

        Args:
          request: The request's fingerprint.

        Returns:
          Whether two upstreams crashed under it independently, so that it is
          more than a suspect.
        """
        known = self.crashes.get(request, ())
        return count_independent(known) >= _CRASHES_TO_QUARANTINE

    def discard_expired(self, now: timedelta) -> Self:
        """Drop the requests whose quarantine ended long ago.

        Args:
          now: The monotonic time.

        Returns:
          The updated history.
        """
        return replace(self, crashes=_unexpired_crashes(self.crashes, now))

    def crashes_to_advertise(
        self, now: timedelta
    ) -> dict[Fingerprint, tuple[Crash, ...]]:
        """Return the crashes that peers need to learn of.

        Crashes under requests in quarantine are advertised as long as it lasts,
        for daemons that start meanwhile; other crashes only while they are new.

        Args:
          now: The monotonic time.

        Returns:
          The crashes by request.
        """
        advertised = {
            request: known
            for request, known in self.crashes.items()
            if now - known[-1].ended < _ADVERTISING_TIME
            or now < self.quarantined_until(request)
        }
        return dict(list(advertised.items())[-MAX_ADVERTISED_REQUESTS:])

    def answers_to_advertise(self, now: timedelta) -> tuple[Fingerprint, ...]:
        """Return the answered requests that peers need to learn of.

        Args:
          now: The monotonic time.

        Returns:
          The requests that were answered here a short time ago after a crash.
        """
        newest = [
            request
            for request, at in self.answered.items()
            if now - at < _ADVERTISING_TIME
        ]
        return tuple(newest[-MAX_ADVERTISED_REQUESTS:])

    def _is_part_of_mass_crash(self, crash: Crash) -> bool:
        """Return whether too many upstreams crashed at once for one request.

        Whole hosts have failed then.
        """
        incarnations = {
            other.life
            for known in self.crashes.values()
            for other in known
            if abs(other.ended - crash.ended) < _MASS_CRASH_WINDOW
        }
        return len(incarnations) > _MAX_CRASHES_BY_REQUEST

    def _last_answer_at(self, request: Fingerprint) -> timedelta:
        return max(
            answers.get(request, timedelta.min)
            for answers in (self.answered, self.answered_by_peers)
        )

    def _without_crashes(self, request: Fingerprint) -> Self:
        crashes = {
            other: known
            for other, known in self.crashes.items()
            if other != request
        }
        return replace(self, crashes=crashes)


def count_independent(crashes: Iterable[Crash]) -> int:
    """Count the crashes that don't share their cause with the one before.

    When a rack loses power, copies of one request may be running on several of
    its upstreams. That is a single event and is no evidence against the
    request.

    Args:
      crashes: The crashes, in the order of their ends.
    """
    count = 0
    last: Crash | None = None
    for crash in crashes:
        if last is None or _is_independent(crash, last):
            count += 1
            last = crash
    return count


def _is_independent(crash: Crash, previous: Crash) -> bool:
    interval = crash.ended - previous.ended
    return crash.began >= previous.ended or interval >= _COMMON_CAUSE_WINDOW


def _quarantine_length(crashes: tuple[Crash, ...]) -> timedelta:
    further_crashes = count_independent(crashes) - _CRASHES_TO_QUARANTINE
    doublings = min(max(0, further_crashes), _MAX_DOUBLINGS)
    return min(FIRST_QUARANTINE * 2**doublings, MAX_QUARANTINE)


def _unexpired_crashes(
    crashes: Mapping[Fingerprint, tuple[Crash, ...]], now: timedelta
) -> dict[Fingerprint, tuple[Crash, ...]]:
    # A request stays known for as long again after its quarantine, so that a
    # single further crash puts it back into quarantine.
    return {
        request: known
        for request, known in crashes.items()
        if now - known[-1].ended < 2 * _quarantine_length(known)
    }


def _limit_size(
    crashes: Mapping[Fingerprint, tuple[Crash, ...]],
) -> dict[Fingerprint, tuple[Crash, ...]]:
    """Drop requests beyond the limit: those with the fewest crashes first.

    Among requests with the same number of crashes the oldest go first.
    """
    ordered = sorted(
        crashes.items(),
        key=lambda item: (count_independent(item[1]), item[1][-1].ended),
    )
    return dict(ordered[-MAX_KNOWN_REQUESTS:])


def _unexpired_answers(
    answered: Mapping[Fingerprint, timedelta], now: timedelta
) -> dict[Fingerprint, timedelta]:
    return {
        request: at
        for request, at in answered.items()
        if now - at < FIRST_QUARANTINE
    }


def _end_of(crash: Crash) -> timedelta:
    return crash.ended
