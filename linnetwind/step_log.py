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
import queue
import sys
import threading
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
        # A queue without a lock that threads wait for in turn: beside eight
        # callers that were refused in a loop the writer lost the race for it
        # for 0.3 to 0.9 s, and a stopping daemon ended without its last line.
        self._lines: queue.SimpleQueue[str | threading.Event]
        self._lines = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._dropped = 0
        self._observe: Callable[[Any], None] = _nothing
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
        if self._lines.qsize() >= MOST_WAITING:
            with self._lock:
                self._dropped += 1
            return
        if self._dropped:
            with self._lock:
                dropped = LinesDropped(self._dropped)
                self._dropped = 0
            if dropped.count:
                self._observe(dropped)
                self._lines.put(self._line(dropped))
        self._lines.put(self._line(event))

    def finish(self, most: timedelta) -> bool:
        """Wait until all lines so far are written.

        Args:
          most: How long to wait at most, since nobody may read the log.

        Returns:
          Whether they are written.
        """
        written = threading.Event()
        self._lines.put(written)
        return written.wait(most.total_seconds())

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
            batch = [self._lines.get()]
            batch.extend(self._lines.get() for _ in range(self._lines.qsize()))
            lines = [each for each in batch if isinstance(each, str)]
            try:
                self._stream.write(''.join(lines))
                self._stream.flush()
            except OSError:
                # Nobody can be told: standard output itself is gone.
                return
            for each in batch:
                if isinstance(each, threading.Event):
                    each.set()


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
