"""The capacity of one rank group for streams, as one daemon knows it."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.admission_policy import MAX_RETRY_AFTER
from linnetwind.admission.pass_time_estimator import (
    DEFAULT_SKEW,
    PassTimeEstimator,
    Pause,
    part_per_stream,
    stream_limit,
)
from linnetwind.admission.permit_shares import Allowance
from linnetwind.admission.slow_group import (
    GroupLimits,
    PaceHistory,
    PassCosts,
    ServeInTime,
    ServeLate,
    SlowDecision,
    await_recovery,
    decide_slow_group,
)
from linnetwind.group_outages import (
    GroupAnnouncement,
    GroupHealth,
    apply_announcement,
    time_until_open,
)
from linnetwind.peers.peer_table import GroupSummary
from linnetwind.routes import EngineProfile

# The period in which arrivals and ends of streams count for their rates.
RATE_WINDOW = timedelta(seconds=1)
# How long a summary of the planner is used.
_MAX_SUMMARY_AGE = timedelta(seconds=2)
# A group is removed if no planner has sent a summary of it for this long.
GROUP_EXPIRY = timedelta(seconds=10)
# The group of all ranks while no planner has announced the groups.
UNNAMED_GROUP = ''


@dataclass(frozen=True, slots=True)
class GroupCount:
    """The streams and ranks of a group, as this daemon counts them.

    `running` counts the streams of all daemons, `own_running` those of this
    daemon, and `ranks` the ranks that accept streams from this daemon.
    `backoff` is how long no rank does, if all have asked this daemon for a
    backoff.
    """

    running: int
    own_running: int
    ranks: int
    backoff: timedelta = timedelta()


@dataclass
class GroupCapacity:
    """The state of a group from which its free permits are computed.

    `ends` are the monotonic times at which streams of this daemon ended,
    `allowance` is how many streams it may run there. `use` is the
    share of the limit that was in use when a stream last asked for a permit,
    `health` says whether the group can run streams. `summary` is the last one
    of the planner, and `summary_at` the monotonic time at which it came.
    `paces` is the history of its pace, and `slow_decision` says what it serves
    while a rank is slow.
    """

    estimator: PassTimeEstimator = field(default_factory=PassTimeEstimator)
    ends: deque[timedelta] = field(default_factory=deque)
    allowance: Allowance = Allowance(timedelta(), 0)
    utilization: float = 1
    health: GroupHealth = GroupHealth()
    summary: GroupSummary | None = None
    summary_at: timedelta = timedelta()
    paces: PaceHistory = PaceHistory()
    slow_decision: SlowDecision = ServeInTime()


def apply_summary(
    group: GroupCapacity, summary: GroupSummary, now: timedelta
) -> None:
    """Apply the planner's summary of a group.

    Args:
      group: The group.
      summary: The summary.
      now: The monotonic time.
    """
    group.summary = summary
    group.summary_at = now
    group.paces = group.paces.apply_pace(summary.pace, now)
    announcement = GroupAnnouncement(now, summary.epoch, summary.is_open)
    group.health = apply_announcement(group.health, announcement)


def recent_summary(group: GroupCapacity, now: timedelta) -> GroupSummary | None:
    """Return the planner's summary, unless it is too old to be used.

    Args:
      group: The group.
      now: The monotonic time.

    Returns:
      The summary, or None.
    """
    return group.summary if now - group.summary_at < _MAX_SUMMARY_AGE else None


def opens_in(group: GroupCapacity, now: timedelta) -> timedelta | None:
    """Return the time until a broken group should open.

    Args:
      group: The group.
      now: The monotonic time.

    Returns:
      The time; None if the group is not known to be broken.
    """
    summary = recent_summary(group, now)
    planned = None
    if summary is not None and not summary.is_open:
        announced = timedelta(milliseconds=summary.opens_in_ms)
        planned = announced - (now - group.summary_at)
    return time_until_open(group.health, planned, now)


def unavailable_for(
    group: GroupCapacity, count: GroupCount, now: timedelta
) -> timedelta | None:
    """Return how long a group accepts no streams from this daemon.

    Args:
      group: The group.
      count: Its streams and ranks.
      now: The monotonic time.

    Returns:
      The time until it should open or the backoff of its ranks ends; None if
      it is neither known to be broken nor backing off.
    """
    broken_for = opens_in(group, now)
    if not count.backoff:
        return broken_for
    return max(broken_for or timedelta(), count.backoff)


def record_pause(
    group: GroupCapacity, length: timedelta, running: int, now: timedelta
) -> None:
    """Record a pause between two events of a stream.

    Args:
      group: The group that runs the stream.
      length: The length of the pause.
      running: The number of streams of all daemons in the group.
      now: The monotonic time.
    """
    summary = recent_summary(group, now)
    skew = summary.skew if summary else 0
    pace = group.paces.pace_during(now - length)
    group.estimator.record(Pause(now, length, running, skew, pace))


def group_stream_limit(
    group: GroupCapacity,
    now: timedelta,
    engine: EngineProfile,
    gap: timedelta,
    ranks: int,
    peer_estimates: Sequence[tuple[float, int]],
    bearable_ms: float,
) -> int:
    """Decide how many streams may run in a group.

    The decision on late streams while a rank is slow is kept in the group.

    Args:
      group: The group.
      now: The monotonic time.
      engine: The configured figures of the engines.
      gap: The longest pause that is in time.
      ranks: The number of ranks that accept streams.
      peer_estimates: What each stream adds to a pass, as the other daemons
        have estimated it: milliseconds, and the number of pauses.
      bearable_ms: The longest pass with which no caller leaves.

    Returns:
      The number of streams.
    """
    summary = recent_summary(group, now)
    skew = summary.skew if summary else DEFAULT_SKEW
    estimates = [*peer_estimates, estimate_part(group, now, engine)]
    pace = _pace(group, now)
    limit = stream_limit(engine, ranks, gap, estimates, skew, pace)
    slow_ranks = len(summary.slow) if summary else 0
    decision = decide_slow_group(
        PassCosts(
            engine.steps_per_pass * engine.step_ms * pace,
            part_per_stream(engine, ranks, estimates, skew),
            pace,
        ),
        GroupLimits(limit, gap, max(1, ranks - slow_ranks) * engine.slots),
        bearable_ms,
        group.slow_decision,
    )
    decision = await_recovery(decision, group.paces, now, MAX_RETRY_AFTER)
    group.slow_decision = decision
    return decision.limit if isinstance(decision, ServeLate) else limit


def serves_late(group: GroupCapacity) -> bool:
    """Return whether streams in a group are late because a rank is slow."""
    return isinstance(group.slow_decision, ServeLate)


def estimate_part(
    group: GroupCapacity, now: timedelta, engine: EngineProfile
) -> tuple[float, int]:
    """Return what each stream adds to a pass, by the pauses at this daemon.

    Args:
      group: The group.
      now: The monotonic time.
      engine: The configured figures of the engines.

    Returns:
      The milliseconds, and the number of pauses that they are derived from.
    """
    summary = recent_summary(group, now)
    return group.estimator.estimate_part(
        engine, now, summary.skew if summary else 0, _pace(group, now)
    )


def _pace(group: GroupCapacity, now: timedelta) -> float:
    """Return the last known pace, also while a planner is being replaced."""
    return group.paces.pace if now - group.summary_at < GROUP_EXPIRY else 1


def rate(times: deque[timedelta], now: timedelta) -> float:
    """Return the number of events per second in the rate window.

    Args:
      times: The monotonic times of the events in order; expired ones are
        removed.
      now: The monotonic time.

    Returns:
      The number per second.
    """
    expire_times(times, now)
    return len(times) / RATE_WINDOW.total_seconds()


def expire_times(times: deque[timedelta], now: timedelta) -> None:
    """Remove the times that are older than the rate window.

    Args:
      times: Monotonic times in order.
      now: The monotonic time.
    """
    while times and now - times[0] > RATE_WINDOW:
        times.popleft()
