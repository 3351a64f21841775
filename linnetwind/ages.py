"""Times in messages between daemons, sent as ages since clocks differ."""

from datetime import timedelta
from typing import Annotated

from msgspec import Meta

_MS = timedelta(milliseconds=1)
# Eleven days. No daemon sends more, and larger numbers overflow `timedelta`.
_MAX_AGE_MS = 1_000_000_000

AgeMs = Annotated[int, Meta(ge=0, le=_MAX_AGE_MS)]


def age_of(moment: timedelta, now: timedelta) -> int:
    """Return the age of a time.

    Args:
      moment: A monotonic time of this process.
      now: The current monotonic time.

    Returns:
      The age in milliseconds.
    """
    return int((now - moment) / _MS)


def moment_of(age_ms: int, now: timedelta) -> timedelta:
    """Return the time that a peer sent as an age.

    Args:
      age_ms: The age in milliseconds.
      now: The monotonic time at which the message arrived.

    Returns:
      The monotonic time of this process.
    """
    return now - age_ms * _MS
