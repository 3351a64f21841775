"""The times after which rejected callers are asked to retry.

Callers that are rejected together and return together are more than can be
queued, so their times are spread.
"""

from datetime import timedelta

# Bounds of the time after which a rejected caller is asked to retry.
_MIN_RETRY_AFTER_MS = 300
MIN_RETRY_AFTER = timedelta(milliseconds=_MIN_RETRY_AFTER_MS)
_MAX_RETRY_AFTER_MS = 2500
MAX_RETRY_AFTER = timedelta(milliseconds=_MAX_RETRY_AFTER_MS)
# Callers that are rejected for the longest time come back spread over this
# fraction of it.
_SPREAD = 0.25


def spread_until_latest(earliest: timedelta, chance: float) -> timedelta:
    """Return a time from the earliest to the latest that callers may be told.

    Args:
      earliest: When there should be capacity.
      chance: A random number from 0 to 1.

    Returns:
      A time from then on, at most the bound of retry times.
    """
    latest = max(earliest, MAX_RETRY_AFTER)
    return earliest + (latest - earliest) * chance


def spread_over_trough(falls_in: timedelta | None, chance: float) -> timedelta:
    """Return a retry time in the trough of a wave of arrivals.

    Args:
      falls_in: When the arrivals should fall, None if that is not known.
      chance: A random number from 0 to 1.

    Returns:
      A time in the trough; 0 if it is beyond the bound of retry times.
    """
    if falls_in is None or falls_in > MAX_RETRY_AFTER:
        return timedelta()
    return spread_until_latest(falls_in, chance)


def clamp_retry_after(wait: timedelta) -> timedelta:
    """Clamp an estimated wait to the bounds of a retry time.

    Args:
      wait: The time after which the caller could be served.

    Returns:
      The time after which the caller may retry.
    """
    return min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)


def spread_until_double(wait: timedelta, chance: float) -> timedelta:
    """Return a retry time for one of several callers rejected together.

    Args:
      wait: The time after which the first of them could be served.
      chance: A random number from 0 to 1.

    Returns:
      A time between the wait and twice the wait, within the bounds of a retry
      time.
    """
    soonest = clamp_retry_after(wait)
    latest = clamp_retry_after(2 * soonest)
    earliest = min(soonest, (1 - _SPREAD) * MAX_RETRY_AFTER)
    return earliest + chance * (latest - earliest)
