"""Structured log lines that never block the work they tell of.

Lines go through a bounded queue to one writing thread. If standard output
is not read, the queue fills; further lines are dropped and counted, and the
count is written as soon as there is room. loguru is not used here: without
its queue a full pipe would hold up requests, and its queue rests on
multiprocessing, for hosts on which a process starts no other. It also takes
8.5 MB of each process (13.3 against 4.7 MB of own memory, measured by
importing it alone).
"""

import json
import sys
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, TextIO

from linnetwind.clock import Clock

# Lines that wait for the writer; about 1 MB at 250 bytes a line.
MOST_WAITING = 4_000


@dataclass(frozen=True, slots=True)
class LinesDropped:
    """The reader of the log was too slow for so many lines."""

    count: int


class StepLog:
    """Writes typed events as JSON lines, from a thread of its own."""

    def __init__(self, daemon: str, clock: Clock, stream: TextIO) -> None:
        """Start the writing thread.

        Args:
          daemon: The daemon's name, for each line.
          clock: For the time of each line.
          stream: Where lines go.
        """
        self._daemon = daemon
        self._clock = clock
        self._stream = stream
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._accepted = 0
        self._written = 0
        self._observe: Callable[[Any], None] = _nothing
        self._wake = threading.Condition()
        threading.Thread(target=self._write, name='log', daemon=True).start()

    def observe_by(self, observe: Callable[[Any], None]) -> None:
        """Have every event seen by somebody else as well, also dropped ones.

        Args:
          observe: It must return at once.
        """
        self._observe = observe

    def event(self, event: Any) -> None:
        """Write an event; drop it if too many lines wait.

        Args:
          event: A data class; its type's name and fields make the line.
        """
        self._observe(event)
        # Made before the lock is taken: a thread that lost its turn while it
        # made its line held up all others, and a stopping daemon's last event
        # came 0.9 s late beside eight callers that were refused in a loop.
        line = self._line(event)
        with self._wake:
            if len(self._lines) >= MOST_WAITING:
                self._dropped += 1
                return
            if self._dropped:
                dropped = LinesDropped(self._dropped)
                self._observe(dropped)
                self._append(self._line(dropped))
                self._dropped = 0
            self._append(line)
            self._wake.notify_all()

    def finish(self, most: timedelta) -> bool:
        """Wait until all lines so far are written.

        A process that ended 50 ms after its last event lost that line in
        half of its ends when it was refusing some 800 callers a second on a
        busy host: the writer was behind by more than that.

        Args:
          most: How long to wait at most, since nobody may read the log.

        Returns:
          Whether they are written.
        """
        with self._wake:
            last = self._accepted
            return self._wake.wait_for(
                lambda: self._written >= last, most.total_seconds()
            )

    def _append(self, line: str) -> None:
        self._lines.append(line)
        self._accepted += 1

    def _line(self, event: Any) -> str:
        line = {
            'time': self._clock.now().isoformat(timespec='milliseconds'),
            'daemon': self._daemon,
            'event': type(event).__name__,
            **asdict(event),
        }
        return f'{json.dumps(line, default=_plain)}\n'

    def _write(self) -> None:
        while True:
            with self._wake:
                while not self._lines:
                    self._wake.wait()
                text = ''.join(self._lines)
                count = len(self._lines)
                self._lines.clear()
            try:
                self._stream.write(text)
                self._stream.flush()
            except OSError:
                # Nobody can be told: standard output itself is gone.
                return
            with self._wake:
                self._written += count
                self._wake.notify_all()


def stdout_log(daemon: str, clock: Clock) -> StepLog:
    """Return a log that writes to standard output.

    Args:
      daemon: The daemon's name.
      clock: For the time of each line.

    Returns:
      The log.
    """
    return StepLog(daemon, clock, sys.stdout)


def _nothing(_event: Any) -> None:
    """Do nothing, until there is an observer."""


def _plain(found: Any) -> Any:
    match found:
        case timedelta():
            return round(found.total_seconds(), 4)
        case Enum():
            return found.value
    return str(found)
