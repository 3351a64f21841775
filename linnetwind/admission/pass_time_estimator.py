"""Estimates how many streams a rank group can run with every pause in time.

All ranks go through each pass together, so one limit holds for all streams of
a group: above it every pass exceeds the allowed pause and all streams become
late at once. A pass takes a fixed time and an additional part for each running
stream, which depends on the skew of the expert map. This part is derived from
the pauses between events, continuously, so that the limit follows its changes.
"""

from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.routes import EngineProfile

# The age up to which pauses count: the duration of a stream. One pause that is
# too long makes a stream late, so the longest pass of its duration matters,
# which is the one after the experts in demand have shifted.
_WINDOW_MS = 2_500
WINDOW = timedelta(milliseconds=_WINDOW_MS)
# Pauses are kept for forecasts, which use twice the window.
_KEPT = 2 * WINDOW
# The quantile of the pauses in the window that determines the limit. Longer
# pauses come from stalls and slow daemons.
PAUSE_QUANTILE = 0.9
# The fraction of the allowed pause that a pass of that quantile may take.
MAX_PAUSE_FRACTION = 0.88
# The fraction of the limit by the engine's figures that is used while a group
# has no pauses yet: all its streams start at once, and their prompts are read
# between the events of the others. At the full limit after a power loss, two
# groups ran 84 streams with pauses of 0.14 to 0.18 s where 0.12 s was allowed;
# with 58 streams the pauses were 0.116 s.
UNMEASURED_FRACTION = 0.65
# With this many pauses at the present pace, those at a slower one are left out:
# about one pass of the streams at one of several daemons.
_ENOUGH_PAUSES = 10
# How long an estimate is used; a pass takes longer than this.
_ESTIMATE_AGE_MS = 50
_MAX_ESTIMATE_AGE = timedelta(milliseconds=_ESTIMATE_AGE_MS)
# The skew that is assumed for a map that no planner has made.
DEFAULT_SKEW = 3.0


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause between two events, and the streams that ran in the group.

    `skew` is the skew of the map that was in use, 0 if it is not known, and
    `pace` the pace of the slowest rank.
    """

    at: timedelta
    length: timedelta
    running: int
    skew: float = 0
    pace: float = 1


class PassTimeEstimator:
    """Derives what a stream adds to a pass from this daemon's pauses."""

    def __init__(self) -> None:
        """Start without any pauses."""
        self._pauses: deque[Pause] = deque()
        self._estimate = (float(0), 0)
        self._estimated_at = -_MAX_ESTIMATE_AGE

    def record(self, pause: Pause) -> None:
        """Record a pause.

        Args:
          pause: A pause between two events of one stream.
        """
        self._pauses.append(pause)

    def raise_skew(self, skew: float, since: timedelta) -> None:
        """Correct the skew of pauses that preceded the report of a worse one.

        Args:
          skew: The reported skew.
          since: The monotonic time since which it may have applied.
        """
        for position in range(len(self._pauses) - 1, -1, -1):
            pause = self._pauses[position]
            if pause.at < since:
                return
            if 0 < pause.skew < skew:
                self._pauses[position] = replace(pause, skew=skew)

    def recent_pauses(self, now: timedelta, pace: float) -> Collection[Pause]:
        """Return the pauses of the last two windows at the present pace.

        Args:
          now: The monotonic time.
          pace: The pace of the slowest rank.

        Returns:
          The pauses; also those at a slower pace while there are few others.
        """
        self._expire(now)
        return _relevant(self._pauses, pace)

    def estimate_part(
        self,
        engine: EngineProfile,
        now: timedelta,
        skew: float = 0,
        pace: float = 1,
    ) -> tuple[float, int]:
        """Return the milliseconds that each stream adds to a pass.

        A pause under a worse map than the present one is scaled to what it
        would be under the present one. Otherwise the limit would follow a new
        map only when the pauses before it have left the window, and for two
        seconds callers would be rejected though there is capacity. In the same
        way, the fixed part of a pause is the one at the pace of that time, and
        pauses at a slower pace than the present one are left out as soon as
        there are enough others.

        Args:
          engine: The configured figures of the engines.
          now: The monotonic time.
          skew: The skew of the map in use, 0 if it is not known.
          pace: The pace of the slowest rank.

        Returns:
          The milliseconds in a long pass of the window, and the number of
          pauses that they are derived from.
        """
        if now - self._estimated_at >= _MAX_ESTIMATE_AGE:
            self._estimated_at = now
            self._estimate = self._compute(engine, now, skew, pace)
        return self._estimate

    def _compute(
        self, engine: EngineProfile, now: timedelta, skew: float, pace: float
    ) -> tuple[float, int]:
        self._expire(now)
        recent = [each for each in self._pauses if now - each.at <= WINDOW]
        if not recent:
            return float(0), 0
        fixed_ms = engine.steps_per_pass * engine.step_ms
        parts = sorted(
            (each.length / timedelta(milliseconds=1) - fixed_ms * each.pace)
            / max(1, each.running)
            * _skew_factor(engine, each.skew, skew)
            for each in _relevant(recent, pace)
        )
        return parts[int(len(parts) * PAUSE_QUANTILE)], len(parts)

    def _expire(self, now: timedelta) -> None:
        while self._pauses and now - self._pauses[0].at > _KEPT:
            self._pauses.popleft()


def _relevant(pauses: Collection[Pause], pace: float) -> Collection[Pause]:
    """Return the pauses at the present pace or a better one.

    The experts' share of a slow rank grows with its pace too, so that pauses
    which are corrected only by their fixed part are still too long.
    """
    similar = [each for each in pauses if each.pace <= pace]
    return similar if len(similar) >= _ENOUGH_PAUSES else pauses


def _skew_factor(engine: EngineProfile, before: float, now: float) -> float:
    """Return the ratio of a pass's times under the present and a former map.

    Args:
      engine: The configured figures of the engines.
      before: The skew of the former map, 0 if it is not known.
      now: The skew of the present map, 0 if it is not known.

    Returns:
      The factor, at most 1; a worse map shows in the pauses themselves.
    """
    if not before or not now or now >= before:
        return 1
    other_share = 1 - engine.expert_share
    return (other_share + engine.expert_share * now) / (
        other_share + engine.expert_share * before
    )


def stream_limit(
    engine: EngineProfile,
    ranks: int,
    gap: timedelta,
    estimates: Sequence[tuple[float, int]],
    skew: float,
    pace: float = 1,
) -> int:
    """Return how many streams may run in a group.

    Args:
      engine: The configured figures of the engines.
      ranks: The number of ranks of the group.
      gap: The longest pause that is in time.
      estimates: The result of `PassTimeEstimator.estimate` of each daemon. All
        daemons use the same ones, so that they admit to the same limit.
      skew: The skew of the map in use, for a group without any pauses.
      pace: The pace of the slowest rank.

    Returns:
      The number of streams, at most the slots of all ranks.
    """
    part_ms = part_per_stream(engine, ranks, estimates, skew)
    available_ms = gap / timedelta(milliseconds=1) * MAX_PAUSE_FRACTION
    available_ms -= engine.steps_per_pass * engine.step_ms * pace
    limit = min(available_ms / part_ms, ranks * engine.slots)
    is_measured = any(pauses for _part, pauses in estimates)
    return max(1, int(limit if is_measured else limit * UNMEASURED_FRACTION))


def part_per_stream(
    engine: EngineProfile,
    ranks: int,
    estimates: Sequence[tuple[float, int]],
    skew: float,
) -> float:
    """Return the milliseconds that each stream adds to a pass.

    Args:
      engine: The configured figures of the engines.
      ranks: The number of ranks of the group.
      estimates: The result of `PassTimeEstimator.estimate` of each daemon.
      skew: The skew of the map in use, for a group without any pauses.

    Returns:
      The milliseconds, at least those of a perfectly balanced group.
    """
    even_ms = engine.steps_per_pass * engine.sequence_ms / max(1, ranks)
    derived = sorted(each for each in estimates if each[1])
    if derived:
        return max(even_ms, _weighted_median(derived))
    modelled = even_ms * (1 - engine.expert_share + engine.expert_share * skew)
    return max(even_ms, modelled)


def _weighted_median(estimates: Sequence[tuple[float, int]]) -> float:
    """Return the median estimate by pauses, robust against one slow daemon."""
    half = sum(count for _part, count in estimates) / 2
    passed = 0
    for part, count in estimates:
        passed += count
        if passed >= half:
            return part
    return estimates[-1][0]
