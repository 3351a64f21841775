"""Structured logging that never blocks its callers.

Lines go through a bounded queue to one writer thread. If nothing reads standard
output, the queue fills up: further lines are dropped and counted, and the count
is written as soon as there is room. loguru is not used here. Without its queue
a full pipe would block requests; its queue is built on multiprocessing, but the
daemons run on hosts on which a process does not start another one. It also
takes 8.5 MB of memory in each process (13.3 instead of 4.7 MB, with nothing
else imported).
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

# The longest queue of the writer: about 1 MB at 250 bytes a line.
MAX_QUEUED_LINES = 4_000


@dataclass(frozen=True, slots=True)
class LinesDropped:
    """Lines were dropped, since the log was read too slowly.

    `count` is how many lines.
    """

    count: int


class EventLog:
    """Writes typed events as JSON lines, in a thread of its own."""

    def __init__(self, daemon: str, clock: Clock, stream: TextIO) -> None:
        """Start the writing thread.

        Args:
          daemon: The name of the daemon, which is part of each line.
          clock: The clock, for the time in each line.
          stream: The output.
        """
        self._daemon = daemon
        self._clock = clock
        self._stream = stream
        # A `SimpleQueue` has no lock for which threads compete. With such a
        # lock and eight callers that were rejected in a loop, the writer did
        # not get it for 0.3 to 0.9 s, and a stopping daemon ended without its
        # last line.
        self._queue: queue.SimpleQueue[str | threading.Event]
        self._queue = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._dropped = 0
        self._observe: Callable[[Any], None] = _do_nothing
        threading.Thread(target=self._write, name='log', daemon=True).start()

    def observe_with(self, observe: Callable[[Any], None]) -> None:
        """Set the function to call with each event, also with dropped ones.

        Args:
          observe: The function, which must not block.
        """
        self._observe = observe

    def event(self, event: Any) -> None:
        """Log an event, or drop it if the queue is full.

        Args:
          event: An instance of a data class; its class name and fields are
            written.
        """
        self._observe(event)
        if self._queue.qsize() >= MAX_QUEUED_LINES:
            with self._lock:
                self._dropped += 1
            return
        if self._dropped:
            with self._lock:
                dropped = LinesDropped(self._dropped)
                self._dropped = 0
            if dropped.count:
                self._observe(dropped)
                self._queue.put(self._format_line(dropped))
        self._queue.put(self._format_line(event))

    def wait_until_written(self, timeout: timedelta) -> bool:
        """Wait until all lines logged so far are written.

        Args:
          timeout: The longest wait, since the log may not be read.

        Returns:
          Whether they were written in time.
        """
        written = threading.Event()
        self._queue.put(written)
        return written.wait(timeout.total_seconds())

    def _format_line(self, event: Any) -> str:
        line = {
            'time': self._clock.now().isoformat(timespec='milliseconds'),
            'daemon': self._daemon,
            'event': type(event).__name__,
            **asdict(event),
        }
        return f'{json.dumps(line, default=_to_json)}\n'

    def _write(self) -> None:
        while True:
            batch = [self._queue.get()]
            batch.extend(self._queue.get() for _ in range(self._queue.qsize()))
            lines = [each for each in batch if isinstance(each, str)]
            try:
                self._stream.write(''.join(lines))
                self._stream.flush()
            except OSError:
                # The error cannot be reported: standard output is closed.
                return
            for each in batch:
                if isinstance(each, threading.Event):
                    each.set()


def stdout_log(daemon: str, clock: Clock) -> EventLog:
    """Return a log that writes to standard output.

    Args:
      daemon: The name of the daemon.
      clock: The clock, for the time in each line.

    Returns:
      The log.
    """
    return EventLog(daemon, clock, sys.stdout)


def _do_nothing(_event: Any) -> None:
    """Do nothing; the default until an observer is set."""


def _to_json(field: Any) -> Any:
    match field:
        case timedelta():
            return round(field.total_seconds(), 4)
        case Enum():
            return field.value
    return str(field)
