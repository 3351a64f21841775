"""How many streams a rank group can run with every pause in time.

All ranks go through each pass together, so one number decides for all
streams of the group: past it every pass is longer than the pause allowed and
all streams turn late at once. A pass takes a fixed time and a part for each
running stream, which depends on the skew of the expert map. The part is
measured by the pauses between events and followed as it changes.
"""

from collections import deque
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
USE_OF_PAUSE = 0.8
# Fewer pauses than this say too little.
LEAST_PAUSES = 8
# The skew of a map that nobody has planned for, until pauses are seen.
USUAL_SKEW = 3.0


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause between two events, and the streams that ran in the group."""

    at: timedelta
    length: timedelta
    running: int


class PassMeter:
    """The pauses of one service's streams, and the limit that they set."""

    def __init__(self) -> None:
        """Start without any."""
        self._pauses: deque[Pause] = deque()

    def note(self, pause: Pause) -> None:
        """Take note of a pause.

        Args:
          pause: A pause between two events of one stream.
        """
        self._pauses.append(pause)

    def limit(
        self, engine: EngineFigures, ranks: int, gap: timedelta, now: timedelta
    ) -> int:
        """Return how many streams may run in the group.

        Args:
          engine: What the engines are said to cost.
          ranks: The ranks of the group.
          gap: The longest pause that is in time.
          now: The monotonic time.

        Returns:
          The number of streams, at most the slots of all ranks.
        """
        while self._pauses and now - self._pauses[0].at > WINDOW:
            self._pauses.popleft()
        room = gap / timedelta(milliseconds=1) * USE_OF_PAUSE
        room -= engine.steps_per_pass * engine.step_ms
        part = self._part(engine, ranks)
        return max(1, min(int(room / part), ranks * engine.slots))

    def _part(self, engine: EngineFigures, ranks: int) -> float:
        """Return the milliseconds that each stream adds to a pass."""
        even = engine.steps_per_pass * engine.sequence_ms / max(1, ranks)
        if len(self._pauses) < LEAST_PAUSES:
            own = 1 - engine.expert_share
            return even * (own + engine.expert_share * USUAL_SKEW)
        fixed = engine.steps_per_pass * engine.step_ms
        parts = [
            (each.length / timedelta(milliseconds=1) - fixed)
            / max(1, each.running)
            for each in self._pauses
        ]
        return max(median(parts), even)
