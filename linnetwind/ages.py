"""Moments in messages between daemons: told as ages, since clocks differ."""

from datetime import timedelta
from typing import Annotated

from msgspec import Meta

_MS = timedelta(milliseconds=1)
# Eleven days; larger numbers are not from a daemon, and overflow a time.
_MOST_AGE_MS = 1_000_000_000

AgeMs = Annotated[int, Meta(ge=0, le=_MOST_AGE_MS)]


def age_of(moment: timedelta, now: timedelta) -> int:
    """Return how long ago something was.

    Args:
      moment: A monotonic time of this process.
      now: The monotonic time.

    Returns:
      The age in milliseconds.
    """
    return int((now - moment) / _MS)


def moment_of(age_ms: int, now: timedelta) -> timedelta:
    """Return when something was that a peer told the age of.

    Args:
      age_ms: The age in milliseconds.
      now: The monotonic time at which the message came.

    Returns:
      The monotonic time of this process.
    """
    return now - age_ms * _MS
