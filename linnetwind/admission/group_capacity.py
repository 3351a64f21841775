"""The capacity of one rank group for streams, as one daemon knows it."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.pass_forecast import (
    GroupShape,
    PassCorrection,
    PassForecast,
    SkewHistory,
    combine_corrections,
    correct_by_pauses,
    forecast,
)
from linnetwind.admission.pass_time_estimator import (
    DEFAULT_SKEW,
    PassTimeEstimator,
    Pause,
    part_per_stream,
    stream_limit,
)
from linnetwind.admission.permit_shares import Allowance
from linnetwind.admission.retry_times import MAX_RETRY_AFTER
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
from linnetwind.peers.peer_table import GroupSummary, PassTimePerStream
from linnetwind.routes import EngineProfile

# The period in which arrivals and ends of streams count for their rates.
RATE_WINDOW = timedelta(seconds=1)
# How long a summary of the planner is used.
_MAX_SUMMARY_AGE = timedelta(seconds=2)
# A group is removed if no planner has sent a summary of it for this long.
GROUP_EXPIRY = timedelta(seconds=10)
# How much later than it applies a worse skew is reported, with the interval of
# the planner's polls and the age of its state.
_REPORT_DELAY_MS = 400
_REPORT_DELAY = timedelta(milliseconds=_REPORT_DELAY_MS)
# How long a correction of the forecast is used; the skew is always the present
# one.
_MAX_CORRECTION_AGE_MS = 150
_MAX_CORRECTION_AGE = timedelta(milliseconds=_MAX_CORRECTION_AGE_MS)
# The group of all ranks while no planner has announced the groups.
UNNAMED_GROUP = ''


@dataclass(frozen=True, slots=True)
class GroupCount:
    """The streams and ranks of a group, as this daemon counts them.

    `running` counts the streams of all daemons, `own_running` those of this
    daemon, and `ranks` the ranks that accept streams from this daemon.
    `backoff` is how long no rank does, if all have asked this daemon for a
    backoff or are at their limits.
    """

    running: int
    own_running: int
    ranks: int
    backoff: timedelta = timedelta()


@dataclass
class GroupCapacity:
    """The state of a group from which its free permits are computed.

    `ends` are the monotonic times at which streams of this daemon ended,
    `allowance` is how many streams it may run there. `utilization` is the
    number that ran when one last asked for a permit, relative to how many have
    passes in time. `health` says whether the group can run streams. `summary`
    is the last one of the planner, and `summary_at` the monotonic time at which
    it came. `paces` is the history of its pace, and `slow_decision` says what
    it serves while a rank is slow. `ranks` counts all its ranks, `skews` holds
    the rises of the skew, `correction` what this daemon's pauses show as of
    `corrected_at`, `combined` that of all daemons as of `combined_at`, and
    `forecast` the last forecast.
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
    ranks: int = 0
    skews: SkewHistory = SkewHistory()
    correction: PassCorrection | None = None
    corrected_at: timedelta = -_MAX_CORRECTION_AGE
    combined: PassCorrection | None = None
    combined_at: timedelta = -_MAX_CORRECTION_AGE
    forecast: PassForecast | None = None


def apply_summary(
    group: GroupCapacity, summary: GroupSummary, now: timedelta
) -> None:
    """Apply the planner's summary of a group.

    Args:
      group: The group.
      summary: The summary.
      now: The monotonic time.
    """
    if group.summary is not None and group.summary.epoch != summary.epoch:
        # A group opens with its initial map. The high skew until it has its
        # first planned one is no change of the demand that would come again.
        group.skews = SkewHistory()
    group.summary = summary
    group.summary_at = now
    group.paces = group.paces.apply_pace(summary.pace, now)
    group.skews = group.skews.add(now, summary.skew, group.paces.pace)
    group.estimator.raise_skew(summary.skew, now - _REPORT_DELAY)
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
    peer_parts: Sequence[PassTimePerStream],
    tolerable_ms: float,
) -> int:
    """Decide how many streams may run in a group.

    The forecast and the decision on late streams while a rank is slow are kept
    in the group.

    Args:
      group: The group.
      now: The monotonic time.
      engine: The configured figures of the engines.
      gap: The longest pause that is in time.
      ranks: The number of ranks that accept streams.
      peer_parts: What the other daemons have advertised of the group's passes.
      tolerable_ms: The longest pass with which no caller leaves.

    Returns:
      The number of streams.
    """
    summary = recent_summary(group, now)
    group.ranks = max(len(summary.members), ranks) if summary else ranks
    group.forecast = _forecast(group, now, engine, gap, ranks, peer_parts)
    slow_ranks = len(summary.slow) if summary else 0
    decision = decide_slow_group(
        PassCosts(
            group.forecast.fixed_ms, group.forecast.part_ms, _pace(group, now)
        ),
        GroupLimits(
            group.forecast.limit, gap, max(1, ranks - slow_ranks) * engine.slots
        ),
        tolerable_ms,
        group.slow_decision,
    )
    decision = await_recovery(decision, group.paces, now, MAX_RETRY_AFTER)
    group.slow_decision = decision
    if isinstance(decision, ServeLate):
        return decision.limit
    return group.forecast.limit


def _forecast(
    group: GroupCapacity,
    now: timedelta,
    engine: EngineProfile,
    gap: timedelta,
    ranks: int,
    peer_parts: Sequence[PassTimePerStream],
) -> PassForecast:
    """Return the forecast; without a correction, the limit by recent pauses."""
    pace = _pace(group, now)
    summary = recent_summary(group, now)
    combined = _combined_correction(group, now, engine, peer_parts)
    if summary is not None and combined is not None:
        shape = GroupShape(
            group.ranks, ranks * engine.slots, group.skews.expected(now), pace
        )
        return forecast(engine, shape, gap, combined)
    skew = summary.skew if summary else DEFAULT_SKEW
    estimates = [(each.part_ms, each.pauses) for each in peer_parts]
    estimates.append(estimate_part(group, now, engine))
    return PassForecast(
        stream_limit(engine, ranks, gap, estimates, skew, pace),
        engine.steps_per_pass * engine.step_ms * pace,
        part_per_stream(engine, ranks, estimates, skew),
    )


def _combined_correction(
    group: GroupCapacity,
    now: timedelta,
    engine: EngineProfile,
    peer_parts: Sequence[PassTimePerStream],
) -> PassCorrection | None:
    """Return the correction of all daemons, which is kept for some time."""
    is_recent = now - group.combined_at < _MAX_CORRECTION_AGE
    if group.combined is not None and is_recent:
        return group.combined
    own = update_correction(group, now, engine)
    corrections = [
        PassCorrection(each.reading_ms, each.factor, each.pauses)
        for each in peer_parts
        if each.factor
    ]
    group.combined = combine_corrections(
        [*corrections, *([own] if own else [])]
    )
    group.combined_at = now
    return group.combined


def update_correction(
    group: GroupCapacity, now: timedelta, engine: EngineProfile
) -> PassCorrection | None:
    """Return what this daemon's pauses show beyond the configured costs.

    Args:
      group: The group, which keeps the correction for some time.
      now: The monotonic time.
      engine: The configured figures of the engines.

    Returns:
      The correction; None without pauses, or without a planner.
    """
    summary = recent_summary(group, now)
    if summary is None or not group.ranks:
        return None
    if now - group.corrected_at >= _MAX_CORRECTION_AGE:
        group.corrected_at = now
        pauses = group.estimator.recent_pauses(now, group.paces.pace)
        group.correction = correct_by_pauses(engine, group.ranks, pauses)
    return group.correction


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
