"""Forecasts the passes of a rank group and limits its streams by them.

Handles load that rises and falls within seconds while the experts in demand
change. A limit that attributes all of a long pause to the running streams is
too low in a trough, where most of a pass is the reading of prompts: callers
were queued and rejected there though there was capacity. It is too high after
a quiet time, as no recent pause shows the next change of the experts.

The forecast follows the configured costs of the engines. Its skew is the one
that the streams admitted now will meet if the experts change as regularly as
before. Pauses correct it in two parts: the time in which prompts are read,
which is bounded, and a factor for what each stream adds.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Self

from linnetwind.admission.pass_time_estimator import (
    MAX_PAUSE_FRACTION,
    PAUSE_QUANTILE,
    WINDOW,
    Pause,
)
from linnetwind.routes import EngineProfile

_MS = timedelta(milliseconds=1)
# The ratio by which the skew rises or falls when the experts in demand change
# or a new map is in use; smaller changes come from the counts.
_MIN_TURN = 1.2
# A stream adds at least this time, in case the configured costs are 0.
_MIN_PART_MS = 0.001


@dataclass(frozen=True, slots=True)
class PassCorrection:
    """What pauses show beyond the configured costs.

    `reading_ms` is the time in which a long pass reads prompts, `factor` what
    each stream adds to a pass over what is configured; both are derived from
    `pauses` pauses.
    """

    reading_ms: float
    factor: float
    pauses: int


@dataclass(frozen=True, slots=True)
class GroupShape:
    """The ranks of a group that a forecast is made for.

    All `ranks` share the work of experts; `slots` is the sum of the slots of
    those that accept streams.
    """

    ranks: int
    slots: int
    skew: float
    pace: float = 1


@dataclass(frozen=True, slots=True)
class PassForecast:
    """The limit on streams, and the pass with that many in milliseconds.

    `part_ms` is what each stream adds, `fixed_ms` the rest. `is_corrected` says
    that the costs of the engines are corrected by pauses, else the limit
    follows recent pauses alone.
    """

    limit: int
    fixed_ms: float
    part_ms: float
    is_corrected: bool = False

    def pass_ms(self, streams: int) -> float:
        """Return the time of a pass with a number of streams."""
        return self.fixed_ms + self.part_ms * streams

    def streams_within(self, gap: timedelta) -> float:
        """Return how many streams have passes in time, regardless of slots.

        Args:
          gap: The longest pause that is in time.

        Returns:
          The number, below 0 if no pass is in time.
        """
        available_ms = gap / _MS * MAX_PAUSE_FRACTION - self.fixed_ms
        return available_ms / self.part_ms


@dataclass(frozen=True, slots=True)
class SkewHistory:
    """The rises and falls of the skew of a group's maps.

    `turn` is the highest skew since the last rise, or the lowest since the last
    fall. `rises` are the monotonic times of the last two rises and `peak` the
    highest skew after the last one. A slow rank raises the skew as well, so a
    change of the pace starts a new history.
    """

    skew: float = 0
    pace: float = 1
    is_high: bool = False
    turn: float = 0
    peak: float = 0
    rises: tuple[timedelta, ...] = ()

    def add(self, now: timedelta, skew: float, pace: float) -> Self:
        """Return the history with the present skew and pace.

        Args:
          now: The monotonic time.
          skew: The skew of the map in use.
          pace: The pace of the slowest rank.

        Returns:
          The history.
        """
        if not self.skew or pace != self.pace:
            return SkewHistory(skew, pace, turn=skew)
        newer = replace(self, skew=skew)
        if self.is_high:
            peak = max(self.turn, skew)
            if skew * _MIN_TURN < peak:
                return replace(newer, is_high=False, turn=skew)
            return replace(newer, turn=peak, peak=peak)
        if skew > self.turn * _MIN_TURN:
            rises = (*self.rises, now)[-2:]
            return replace(
                newer, is_high=True, turn=skew, peak=skew, rises=rises
            )
        return replace(newer, turn=min(self.turn, skew))

    def expected(self, now: timedelta) -> float:
        """Return the worst skew that streams admitted now should meet.

        If the demand for experts changes again and again, the next rise is
        expected after the time between the last two. Otherwise the limit
        follows a better map at once.
        """
        if len(self.rises) < 2:
            return self.skew
        before, last = self.rises
        interval = last - before
        is_over = now - last > 2 * interval
        if is_over or last + interval > now + WINDOW:
            return self.skew
        return max(self.skew, self.peak)


def modelled_part(engine: EngineProfile, ranks: int, skew: float) -> float:
    """Return what each stream adds to a pass by the configured costs.

    Args:
      engine: The figures of the engines.
      ranks: The ranks of the group.
      skew: The skew of the map in use.

    Returns:
      The milliseconds.
    """
    even_ms = engine.steps_per_pass * engine.sequence_ms / max(1, ranks)
    part_ms = even_ms * (1 - engine.expert_share + engine.expert_share * skew)
    return max(_MIN_PART_MS, part_ms)


def correct_by_pauses(
    engine: EngineProfile, ranks: int, pauses: Collection[Pause]
) -> PassCorrection | None:
    """Compare pauses with the configured costs.

    What exceeds the costs is attributed to the reading of prompts, up to the
    most that the slowest rank reads in a pass, and the rest to the running
    streams.

    Args:
      engine: The figures of the engines.
      ranks: The ranks of the group.
      pauses: Recent pauses; those without a known skew are ignored.

    Returns:
      The correction; None without pauses.
    """
    known = [each for each in pauses if each.skew]
    if not known:
        return None
    corrections = [_correct(engine, ranks, pause) for pause in known]
    position = int(len(known) * PAUSE_QUANTILE)
    return PassCorrection(
        sorted(each.reading_ms for each in corrections)[position],
        sorted(each.factor for each in corrections)[position],
        len(known),
    )


def combine_corrections(
    corrections: Sequence[PassCorrection],
) -> PassCorrection | None:
    """Return the median of the corrections of all daemons, by pauses.

    Args:
      corrections: The correction of each daemon that has one.

    Returns:
      The correction that all daemons use; None if there is none.
    """
    if not corrections:
        return None
    return PassCorrection(
        _median([(each.reading_ms, each.pauses) for each in corrections]),
        _median([(each.factor, each.pauses) for each in corrections]),
        sum(each.pauses for each in corrections),
    )


def forecast(
    engine: EngineProfile,
    shape: GroupShape,
    gap: timedelta,
    correction: PassCorrection,
) -> PassForecast:
    """Forecast the passes of a group, and how many streams they allow.

    Args:
      engine: The figures of the engines.
      shape: The group.
      gap: The longest pause that is in time.
      correction: What pauses show beyond the configured costs.

    Returns:
      The forecast; the limit is at least 1 and at most the slots.
    """
    fixed_ms = engine.steps_per_pass * engine.step_ms * shape.pace
    fixed_ms += correction.reading_ms
    part_ms = modelled_part(engine, shape.ranks, shape.skew)
    part_ms *= correction.factor
    available_ms = gap / _MS * MAX_PAUSE_FRACTION - fixed_ms
    limit = int(min(available_ms / part_ms, shape.slots))
    return PassForecast(max(1, limit), fixed_ms, part_ms, is_corrected=True)


def _correct(engine: EngineProfile, ranks: int, pause: Pause) -> PassCorrection:
    """Compare one pause with the configured costs."""
    part_ms = modelled_part(engine, ranks, pause.skew)
    fixed_ms = engine.steps_per_pass * engine.step_ms * pause.pace
    rest_ms = pause.length / _MS - fixed_ms
    longest_ms = _longest_reading_ms(engine) * pause.pace
    excess_ms = rest_ms - part_ms * pause.running
    reading_ms = min(longest_ms, max(0, excess_ms))
    factor = float(1)
    # With fewer streams than ranks a pause says nothing about the streams.
    if pause.running >= ranks and not 0 <= excess_ms <= longest_ms:
        # The reported skew may be too high, but no group is better than even.
        least = modelled_part(engine, ranks, 1) / part_ms
        factor = (rest_ms - reading_ms) / part_ms / pause.running
        factor = max(min(1, least), factor)
    return PassCorrection(reading_ms / pause.pace, factor, 1)


def _longest_reading_ms(engine: EngineProfile) -> float:
    if not engine.tokens_per_ms:
        return 0
    return engine.chunk * engine.steps_per_pass / engine.tokens_per_ms


def _median(weighted: Sequence[tuple[float, int]]) -> float:
    """Return the median by weight, robust against one slow daemon."""
    half = sum(weight for _value, weight in weighted) / 2
    passed = 0
    for number, weight in sorted(weighted):
        passed += weight
        if passed >= half:
            return number
    return max(weighted)[0]
