"""Decides what a rank group with a slow rank still serves.

Handles ranks that run several times slower than usual for some seconds. All
ranks run each pass together, so the fixed part of every pass takes as long as
at the slowest rank. If this alone exceeds the longest pause that is in time,
the limit by that pause is a single stream, and all other callers would be
rejected although each could get a late response. Then the group serves as many
streams as end before their callers leave, unless the slowness should be over
when rejected callers retry.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Self

from linnetwind.admission.caller_patience import (
    MIN_PATIENCE,
    longest_silence,
)
from linnetwind.routes import Route, RouteKind

# A rank that takes this many times the usual time for the same work gets no new
# streams. Smaller differences are left to the placement of experts.
SLOW_PACE = 1.4
# The range of the worth of a late response relative to one in time. A group
# starts to serve late responses by the lower value and continues by the higher
# one, so that it does not alternate.
_MIN_LATE_WORTH = 1 / 3
_MAX_LATE_WORTH = 1 / 2
# The fraction of the times that callers tolerate that is planned for.
_USED_PATIENCE = 0.88
# The passes until a stream's first event: the rest of one that is in progress,
# and one that reads the prompt.
_START_PASSES = 2
# The mean is not used before this many streams have ended, and older ones count
# less each time twice as many have.
_MIN_ENDS = 8
_MAX_ENDS = 128
_MS = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class CallerPatience:
    """What the callers of a service tolerate before they leave.

    `pause` is the longest time without an event, of which a stream may have
    spent `queued` in the wait queue. `duration` is the longest time of a whole
    stream, None if it is not known.
    """

    pause: timedelta = MIN_PATIENCE
    queued: timedelta = timedelta()
    duration: timedelta | None = None


@dataclass(frozen=True, slots=True)
class StreamLengths:
    """Counts the pauses between events and the ends of a service's streams."""

    pauses: int = 0
    ends: int = 0

    @property
    def mean_events(self) -> float:
        """Return the events per stream, 0 if too few streams have ended."""
        if self.ends < _MIN_ENDS:
            return 0
        return 1 + self.pauses / self.ends

    def add_pause(self) -> Self:
        """Return the counts after a pause between two events."""
        return replace(self, pauses=self.pauses + 1)

    def add_end(self) -> Self:
        """Return the counts after the end of a stream."""
        if self.ends < _MAX_ENDS:
            return replace(self, ends=self.ends + 1)
        return replace(self, pauses=self.pauses // 2, ends=_MAX_ENDS // 2)


@dataclass(frozen=True, slots=True)
class PaceHistory:
    """The pace of a group's slowest rank, and since when it is slow.

    `pace` is 1 unless a rank is slow. `former` is the pace before `changed_at`,
    a monotonic time. `slow_since` is the time since which a rank is slow, or
    None. `last_spell` is how long one was slow the last time, if known.
    """

    pace: float = 1
    former: float = 1
    changed_at: timedelta = timedelta()
    slow_since: timedelta | None = None
    last_spell: timedelta | None = None

    def apply_pace(self, reported: float, now: timedelta) -> Self:
        """Return the history after a report.

        Args:
          reported: The pace of the slowest rank.
          now: The monotonic time.

        Returns:
          The history.
        """
        pace = reported if reported > SLOW_PACE else 1
        if pace == self.pace:
            return self
        newer = replace(self, pace=pace, former=self.pace, changed_at=now)
        if pace > 1:
            since = now if self.slow_since is None else self.slow_since
            return replace(newer, slow_since=since)
        spell = now - self.slow_since
        return replace(newer, slow_since=None, last_spell=spell)

    def pace_during(self, start: timedelta) -> float:
        """Return the slowest pace since a monotonic time.

        A slow pass ends after the report that its rank is well again, or
        started before the report that it is slow.
        """
        if start < self.changed_at:
            return max(self.pace, self.former)
        return self.pace


@dataclass(frozen=True, slots=True)
class PassCosts:
    """The times of a group's passes.

    `fixed_ms` is the time of a pass without streams at the slowest rank, and
    `part_ms` what each stream adds to it. `pace` is the pace of that rank.
    """

    fixed_ms: float
    part_ms: float
    pace: float

    def pass_ms(self, streams: float) -> float:
        """Return the time of a pass in milliseconds."""
        return self.fixed_ms + self.part_ms * streams


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """The limits of a group by what is in time and by its slots.

    `in_time` streams can run with pauses of `gap`; `slots` are those of the
    ranks that get new streams.
    """

    in_time: int
    gap: timedelta
    slots: int


@dataclass(frozen=True, slots=True)
class ServeInTime:
    """The group runs only streams that can be in time."""


@dataclass(frozen=True, slots=True)
class ServeLate:
    """The group runs up to `limit` streams, whose responses are late."""

    limit: int


@dataclass(frozen=True, slots=True)
class AwaitRecovery:
    """Callers should retry when the group has recovered, in `recovers_in`."""

    recovers_in: timedelta


SlowDecision = ServeInTime | ServeLate | AwaitRecovery


def callers_patience(routes: Iterable[Route], service: str) -> CallerPatience:
    """Return what all callers of a service's streams tolerate.

    Args:
      routes: The routes of the configuration.
      service: The service's name.

    Returns:
      The shortest times of the routes that lead to the service.
    """
    streams = [
        route
        for route in routes
        if route.kind is RouteKind.STREAM
        and any(each.service == service for each in route.services)
    ]
    if not streams:
        return CallerPatience()
    return CallerPatience(
        min(longest_silence(route.target, route.gap) for route in streams),
        max(route.target for route in streams),
        min(route.timeout for route in streams),
    )


def longest_tolerable_ms(patience: CallerPatience, events: float) -> float:
    """Return the longest pass with which no caller leaves.

    Args:
      patience: What the callers tolerate.
      events: The events of a usual stream, 0 if not known.

    Returns:
      The milliseconds.
    """
    pauses = [
        patience.pause * _USED_PATIENCE,
        (patience.pause - patience.queued) / _START_PASSES,
    ]
    if patience.duration is not None and events:
        passes = events + _START_PASSES
        pauses.append(patience.duration * _USED_PATIENCE / passes)
    return min(pauses) / _MS


def decide_slow_group(
    costs: PassCosts,
    limits: GroupLimits,
    tolerable_ms: float,
    before: SlowDecision,
) -> SlowDecision:
    """Decide whether a group serves streams that are late.

    Late responses are served if they are worth more: the streams that the
    group would complete, times their worth, against those that are in time.

    Args:
      costs: The times of the group's passes.
      limits: The limits of the group.
      tolerable_ms: The longest pass with which no caller leaves.
      before: The previous decision.

    Returns:
      `ServeLate` or `ServeInTime`; always the latter without a slow rank.
    """
    if costs.pace <= 1:
        return ServeInTime()
    late_limit = min(
        limits.slots, int((tolerable_ms - costs.fixed_ms) / costs.part_ms)
    )
    if late_limit <= limits.in_time:
        return ServeInTime()
    worth = _MIN_LATE_WORTH
    if isinstance(before, ServeLate):
        worth = _MAX_LATE_WORTH
    late_per_ms = late_limit / costs.pass_ms(late_limit)
    in_time_per_ms = limits.in_time / costs.pass_ms(limits.in_time)
    if costs.pass_ms(limits.in_time) > limits.gap / _MS:
        in_time_per_ms = 0
    if late_per_ms * worth > in_time_per_ms:
        return ServeLate(late_limit)
    return ServeInTime()


def await_recovery(
    decision: SlowDecision,
    history: PaceHistory,
    now: timedelta,
    max_retry_after: timedelta,
) -> SlowDecision:
    """Replace late service if the slowness should be over at a retry.

    A slow group is expected to stay slow for as long as the last time. Without
    an earlier time, or when it already lasts longer, its end is not known: a
    caller who retries into it gets nothing, so late service is preferred.

    Args:
      decision: The decision by the worth of late responses.
      history: When the group was slow.
      now: The monotonic time.
      max_retry_after: The longest time after which callers may retry.

    Returns:
      The decision.
    """
    if not isinstance(decision, ServeLate):
        return decision
    if history.slow_since is None or history.last_spell is None:
        return decision
    left = history.slow_since + history.last_spell - now
    if timedelta() < left <= max_retry_after:
        return AwaitRecovery(left)
    return decision
