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
from statistics import median

from linnetwind.routes import EngineFigures

# Pauses that count: about five passes, so that a shift of the experts in
# demand shows within half a second.
_WINDOW_MS = 500
WINDOW = timedelta(milliseconds=_WINDOW_MS)
# The part of the pause allowed that a usual pass may take. The rest is for
# passes that read long prompts.
USE_OF_PAUSE = 0.75
# The skew of a map that nobody has planned for.
USUAL_SKEW = 3.0


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause between two events, and the streams that ran in the group."""

    at: timedelta
    length: timedelta
    running: int


class PassMeter:
    """The pauses of one service's streams at this daemon."""

    def __init__(self) -> None:
        """Start without any."""
        self._pauses: deque[Pause] = deque()

    def note(self, pause: Pause) -> None:
        """Take note of a pause.

        Args:
          pause: A pause between two events of one stream.
        """
        self._pauses.append(pause)

    def measure(
        self, engine: EngineFigures, now: timedelta
    ) -> tuple[float, int]:
        """Return the milliseconds that each stream adds to a pass.

        Args:
          engine: What the engines are said to cost.
          now: The monotonic time.

        Returns:
          The median over the window, and the number of pauses in it.
        """
        while self._pauses and now - self._pauses[0].at > WINDOW:
            self._pauses.popleft()
        if not self._pauses:
            return float(0), 0
        fixed = engine.steps_per_pass * engine.step_ms
        parts = [
            (each.length / timedelta(milliseconds=1) - fixed)
            / max(1, each.running)
            for each in self._pauses
        ]
        return median(parts), len(parts)


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
    pauses = sum(count for _part, count in measured)
    if pauses:
        part = sum(part * count for part, count in measured) / pauses
    else:
        part = even * (1 - engine.expert_share + engine.expert_share * skew)
    room = gap / timedelta(milliseconds=1) * USE_OF_PAUSE
    room -= engine.steps_per_pass * engine.step_ms
    return max(1, min(int(room / max(part, even)), ranks * engine.slots))
