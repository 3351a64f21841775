"""How many streams a rank group can run with every pause in time.

All ranks go through each pass together, so one number decides for all
streams of the group: past it every pass is longer than the pause allowed and
all streams turn late at once. A pass takes a fixed time and a part for each
running stream, which depends on the skew of the expert map. The part is
measured by the pauses between events and followed as it changes.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.routes import EngineFigures

# Pauses that count: as long as a stream lasts. One pause that is too long
# makes it late, so what matters is the longest pass that it goes through:
# the one after the experts in demand have shifted.
_WINDOW_MS = 2_500
WINDOW = timedelta(milliseconds=_WINDOW_MS)
# The part of the pauses in the window that are shorter than the one that
# decides. The longest ones come from stalls and slow daemons.
_USUAL_SHARE = 0.9
# The part of the pause allowed that such a pass may take.
USE_OF_PAUSE = 0.88
# The part of the engine's figures that a group is filled to of which nothing
# was measured: all its streams start at once, and their prompts are read
# between the events of the others. Filled to all of it after a power loss,
# two groups ran 84 streams with pauses of 0.14 to 0.18 s where 0.12 was
# allowed; with 58 the pauses were 0.116 s.
UNMEASURED_USE = 0.65
# A measurement is used this long; a pass takes longer.
_MEASURE_MS = 50
_MEASURE_AGE = timedelta(milliseconds=_MEASURE_MS)
# The skew of a map that nobody has planned for.
USUAL_SKEW = 3.0


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause between two events, and the streams that ran in the group.

    `skew` is that of the map in use then, 0 where it is not known.
    """

    at: timedelta
    length: timedelta
    running: int
    skew: float = 0


class PassMeter:
    """The pauses of one service's streams at this daemon."""

    def __init__(self) -> None:
        """Start without any."""
        self._pauses: deque[Pause] = deque()
        self._measured = (float(0), 0)
        self._measured_at = -_MEASURE_AGE

    def note(self, pause: Pause) -> None:
        """Take note of a pause.

        Args:
          pause: A pause between two events of one stream.
        """
        self._pauses.append(pause)

    def measure(
        self, engine: EngineFigures, now: timedelta, skew: float = 0
    ) -> tuple[float, int]:
        """Return the milliseconds that each stream adds to a pass.

        A pause under a worse map than the present one counts for what it
        would be now. Otherwise the limit follows a new map only when the
        pauses before it are forgotten, and for two seconds callers are
        refused for whom there is room.

        Args:
          engine: What the engines are said to cost.
          now: The monotonic time.
          skew: The skew of the map in use, 0 if it is not known.

        Returns:
          The measure of a long pass of the window, and the number of pauses.
        """
        if now - self._measured_at >= _MEASURE_AGE:
            self._measured_at = now
            self._measured = self._measure(engine, now, skew)
        return self._measured

    def _measure(
        self, engine: EngineFigures, now: timedelta, skew: float
    ) -> tuple[float, int]:
        while self._pauses and now - self._pauses[0].at > WINDOW:
            self._pauses.popleft()
        if not self._pauses:
            return float(0), 0
        fixed = engine.steps_per_pass * engine.step_ms
        parts = sorted(
            (each.length / timedelta(milliseconds=1) - fixed)
            / max(1, each.running)
            * _eased(engine, each.skew, skew)
            for each in self._pauses
        )
        return parts[int(len(parts) * _USUAL_SHARE)], len(parts)


def _eased(engine: EngineFigures, before: float, now: float) -> float:
    """Return a pass's time under the present map over that under another.

    Args:
      engine: What the engines are said to cost.
      before: The skew of the map then, 0 if it is not known.
      now: That of the present map, 0 if it is not known.

    Returns:
      The factor, at most 1.
    """
    if not before or not now or now >= before:
        return 1
    rest = 1 - engine.expert_share
    return (rest + engine.expert_share * now) / (
        rest + engine.expert_share * before
    )


def stream_limit(
    engine: EngineFigures,
    ranks: int,
    gap: timedelta,
    measured: Sequence[tuple[float, int]],
    skew: float,
) -> int:
    """Return how many streams may run in a group.

    Args:
      engine: What the engines are said to cost.
      ranks: The ranks of the group.
      gap: The longest pause that is in time.
      measured: What each daemon has measured, from `PassMeter.measure`. All
        daemons use the same, so that they admit to the same limit.
      skew: The skew of the map in use, for a group without any pauses.

    Returns:
      The number of streams, at most the slots of all ranks.
    """
    even = engine.steps_per_pass * engine.sequence_ms / max(1, ranks)
    seen = sorted(each for each in measured if each[1])
    if seen:
        part = _weighted_median(seen)
    else:
        part = even * (1 - engine.expert_share + engine.expert_share * skew)
    room = gap / timedelta(milliseconds=1) * USE_OF_PAUSE
    room -= engine.steps_per_pass * engine.step_ms
    limit = min(room / max(part, even), ranks * engine.slots)
    return max(1, int(limit if seen else limit * UNMEASURED_USE))


def _weighted_median(seen: Sequence[tuple[float, int]]) -> float:
    """Return the median part, so that one slow daemon does not decide."""
    half = sum(count for _part, count in seen) / 2
    passed = 0
    for part, count in seen:
        passed += count
        if passed >= half:
            return part
    return seen[-1][0]
