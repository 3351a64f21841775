"""Which requests crash upstreams, and are not sent on for that.

A request that crashes each upstream which begins it comes again through any
gateway, and in a rank group each crash cuts the streams of all callers. The
gateways therefore tell each other of each crash under a request, and none of
them sends a request on under which two upstreams have crashed. After the crash
of a rank, each request that ran there is a suspect: sent on, the one that is
guilty breaks the group once more, for seconds and for everybody.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Self

from linnetwind.ages import AgeMs
from linnetwind.fingerprint import Fingerprint
from linnetwind.lives import LifeTag

# One crash may have any cause, and its requests have to be served elsewhere.
# Hardly a request meets two in a row by chance: it would have to go from the
# upstream that crashes to the next one that does.
_CRASHES_TO_QUARANTINE = 2
# Processes that are ended together, by one signal to all of them, are seen to
# end within this time. Crashes so close together may have one cause outside of
# the request, unless it went from one upstream to the next. Copies of a request
# that waited for a broken group begin together as well, but not so close.
_ONE_CAUSE_MS = 20
_ONE_CAUSE = timedelta(milliseconds=_ONE_CAUSE_MS)
# After a quarantine the request may be tried once; a new version of the
# upstreams may bear it. Each further crash doubles the time.
_FIRST_QUARANTINE_MIN = 10
FIRST_QUARANTINE = timedelta(minutes=_FIRST_QUARANTINE_MIN)
LONGEST_QUARANTINE = timedelta(days=1)
# How long a suspect is not sent on. Each crash of a rank has a few, of which at
# most one is guilty; the others are refused so long if their callers ask again.
_SUSPICION_MIN = 1
SUSPICION = timedelta(minutes=_SUSPICION_MIN)
# Crashes of more than two upstreams within this time have a cause outside of
# requests; two may have had copies of one request.
_ONE_EVENT = timedelta(seconds=1)
_MOST_BY_REQUEST = 2
# More doublings than lead to the longest quarantine.
_MOST_DOUBLINGS = 8
# A crash is told for this long to peers that hear some states only.
_TOLD = timedelta(seconds=2)
# States of a slow peer still repeat an answer so long after the first.
_LONGEST_TOLD = 2 * _TOLD
# Requests that are remembered, and those of them that states carry.
MOST_KEPT = 512
MOST_TOLD = 32


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash under a request, at monotonic times.

    `life` is that of the upstream, which was given the request at `began`.
    `of_group` says that the upstream was a rank and its whole group broke.
    """

    life: LifeTag
    began: timedelta
    ended: timedelta
    of_group: bool = False


@dataclass(frozen=True, slots=True)
class ToldCrash:
    """A `Crash` as daemons tell it: with ages, since clocks differ."""

    fingerprint: Fingerprint
    life: LifeTag
    began_ms: AgeMs
    ended_ms: AgeMs
    of_group: bool = False


@dataclass(frozen=True)
class CrashBook:
    """Crashes by request, and when requests were answered after a crash.

    `answered` are those that were answered here, `told` those of peers, which
    are not told on.
    """

    crashes: Mapping[Fingerprint, tuple[Crash, ...]] = field(
        default_factory=dict
    )
    answered: Mapping[Fingerprint, timedelta] = field(default_factory=dict)
    told: Mapping[Fingerprint, timedelta] = field(default_factory=dict)

    def note(self, request: Fingerprint, crash: Crash, now: timedelta) -> Self:
        """Return the book after a crash under a request.

        Args:
          request: The request.
          crash: The crash; nothing changes if it is known, or if the request
            was answered after it began.
          now: The monotonic time.

        Returns:
          The book.
        """
        known = self.crashes.get(request, ())
        if any(each.life == crash.life for each in known):
            return self
        if crash.began <= self._answered_at(request):
            return self
        crashes = {
            **_kept(self.crashes, now),
            request: tuple(sorted((*known, crash), key=_when)),
        }
        return replace(self, crashes=_bounded(crashes))

    def answer(self, request: Fingerprint, now: timedelta) -> Self:
        """Return the book after an upstream here answered a request whole.

        A popular request is in flight whenever some upstream crashes for
        another reason. One that was answered whole crashes nothing, and would
        be refused to all its callers.

        Args:
          request: The request.
          now: The monotonic time.

        Returns:
          The book.
        """
        answered = {**_recent(self.answered, now), request: now}
        return replace(self._without(request), answered=answered)

    def hear_answer(self, request: Fingerprint, now: timedelta) -> Self:
        """Return the book after a peer told that a request was answered.

        Args:
          request: The request.
          now: The monotonic time.

        Returns:
          The book; unchanged by the repeats of what was told.
        """
        if now - self.told.get(request, -_LONGEST_TOLD) < _LONGEST_TOLD:
            return self
        told = {**_recent(self.told, now), request: now}
        return replace(self._without(request), told=told)

    def quarantined_until(self, request: Fingerprint) -> timedelta:
        """Return until when a request must not be sent to any upstream.

        Args:
          request: The request.

        Returns:
          The monotonic time; zero if it may be sent.
        """
        known = self.crashes.get(request, ())
        if self.is_proven(request):
            return known[-1].ended + _quarantine(known)
        if known and known[-1].of_group and not self._is_one_of_many(known[-1]):
            return known[-1].ended + SUSPICION
        return timedelta()

    def is_proven(self, request: Fingerprint) -> bool:
        """Return whether so many upstreams crashed that it was the request.

        Args:
          request: The request.

        Returns:
          Whether it is more than a suspect.
        """
        known = self.crashes.get(request, ())
        return _count_in_sequence(known) >= _CRASHES_TO_QUARANTINE

    def forget(self, now: timedelta) -> Self:
        """Return the book without requests whose time is over.

        Args:
          now: The monotonic time.

        Returns:
          The book.
        """
        return replace(self, crashes=_kept(self.crashes, now))

    def to_tell(self, now: timedelta) -> dict[Fingerprint, tuple[Crash, ...]]:
        """Return the crashes that peers have to hear of.

        Those under requests in quarantine are told again and again, for
        daemons that start; others when they are new.

        Args:
          now: The monotonic time.

        Returns:
          The crashes by request.
        """
        told = {
            request: known
            for request, known in self.crashes.items()
            if now - known[-1].ended < _TOLD
            or now < self.quarantined_until(request)
        }
        return dict(list(told.items())[-MOST_TOLD:])

    def answers_to_tell(self, now: timedelta) -> tuple[Fingerprint, ...]:
        """Return the requests of which peers have to hear that they are safe.

        Args:
          now: The monotonic time.

        Returns:
          Requests that were answered lately after a crash.
        """
        newest = [
            request for request, at in self.answered.items() if now - at < _TOLD
        ]
        return tuple(newest[-MOST_TOLD:])

    def _is_one_of_many(self, crash: Crash) -> bool:
        """Return whether hosts died, not a rank under a request."""
        lives = {
            each.life
            for known in self.crashes.values()
            for each in known
            if abs(each.ended - crash.ended) < _ONE_EVENT
        }
        return len(lives) > _MOST_BY_REQUEST

    def _answered_at(self, request: Fingerprint) -> timedelta:
        return max(
            book.get(request, timedelta.min)
            for book in (self.answered, self.told)
        )

    def _without(self, request: Fingerprint) -> Self:
        crashes = {
            each: known
            for each, known in self.crashes.items()
            if each != request
        }
        return replace(self, crashes=crashes)


def _count_in_sequence(crashes: Iterable[Crash]) -> int:
    """Return how many crashes, in order of their ends, had causes of their own.

    When a rack loses power, copies of one request may run at several of its
    upstreams; that is one event and says nothing of the request.
    """
    count = 0
    last: Crash | None = None
    for each in crashes:
        if last is None or _follows(each, last):
            count += 1
            last = each
    return count


def _follows(crash: Crash, before: Crash) -> bool:
    apart = crash.ended - before.ended
    return crash.began >= before.ended or apart >= _ONE_CAUSE


def _quarantine(crashes: tuple[Crash, ...]) -> timedelta:
    further = _count_in_sequence(crashes) - _CRASHES_TO_QUARANTINE
    doublings = min(max(0, further), _MOST_DOUBLINGS)
    return min(FIRST_QUARANTINE * 2**doublings, LONGEST_QUARANTINE)


def _kept(
    crashes: Mapping[Fingerprint, tuple[Crash, ...]], now: timedelta
) -> dict[Fingerprint, tuple[Crash, ...]]:
    # Past its quarantine a request stays known for as long again, so that one
    # more crash brings it back.
    return {
        request: known
        for request, known in crashes.items()
        if now - known[-1].ended < 2 * _quarantine(known)
    }


def _bounded(
    crashes: Mapping[Fingerprint, tuple[Crash, ...]],
) -> dict[Fingerprint, tuple[Crash, ...]]:
    """Return the crashes without the oldest single ones beyond the limit."""
    order = sorted(
        crashes.items(),
        key=lambda each: (_count_in_sequence(each[1]), each[1][-1].ended),
    )
    return dict(order[-MOST_KEPT:])


def _recent(
    answered: Mapping[Fingerprint, timedelta], now: timedelta
) -> dict[Fingerprint, timedelta]:
    return {
        request: at
        for request, at in answered.items()
        if now - at < FIRST_QUARANTINE
    }


def _when(crash: Crash) -> timedelta:
    return crash.ended
