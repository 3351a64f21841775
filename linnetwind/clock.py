"""The clock as an interface, so that decisions never read system time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """A source of wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC, for records that people read."""

    def elapsed(self) -> timedelta:
        """Return monotonic time since an arbitrary start, for timeouts."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return monotonic time, which also runs while a process is stopped."""
        return timedelta(seconds=time.monotonic())


class ManualClock:
    """A clock that moves only when `advance` is called."""

    def __init__(self, start: datetime) -> None:
        """Start the clock.

        Args:
          start: The first wall-clock time, with its time zone.
        """
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus all the time that was added."""
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        """Return all the time that was added."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward.

        Args:
          step: The time to add, not negative.
        """
        self._elapsed += step
