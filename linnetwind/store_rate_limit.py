"""Rate limits of a daemon's reads from the store, by the number of daemons.

All daemons poll the same store. 35 daemons reading two topics make 120 calls
per second, most of which return only heartbeats that change nothing. To bound
the total rate, each daemon reads less often the more daemons there are. Less
frequent reads are safe: daemons advertise a newer configuration to each other,
and an upstream that has stopped refuses connections before its record is
deleted.
"""

from dataclasses import dataclass
from datetime import timedelta

# Up to this number of daemons each reads as often as a single one.
_UNTHROTTLED_DAEMONS = 8
# Intervals between reads. The configuration changes rarely; the list of
# upstreams changes with every heartbeat. A change of either must take effect
# within two seconds, which allows one failed read at the longest interval.
_CONFIGURATION_INTERVAL_MS = 50
_CONFIGURATION_INTERVAL = timedelta(milliseconds=_CONFIGURATION_INTERVAL_MS)
_UPSTREAMS_INTERVAL_MS = 400
_UPSTREAMS_INTERVAL = timedelta(milliseconds=_UPSTREAMS_INTERVAL_MS)
_MAX_INTERVAL = timedelta(seconds=1)
# How long a read waits in the store for new records (long polling). A
# connection that hangs is detected only after this time plus the client's
# margin, so it is below the time within which a configuration must be in
# force: two seconds if there are few daemons. If there are many, a daemon
# with a hanging connection learns of a newer configuration from the others.
_POLL_WAIT_MS = 900
DEFAULT_POLL_WAIT = timedelta(milliseconds=_POLL_WAIT_MS)
_MAX_POLL_WAIT_MS = 1_800
_MAX_POLL_WAIT = timedelta(milliseconds=_MAX_POLL_WAIT_MS)


@dataclass(frozen=True, slots=True)
class StoreRateLimit:
    """The interval after each read, and how long a read waits for records."""

    interval: timedelta
    wait: timedelta


def configuration_rate_limit(daemons: int) -> StoreRateLimit:
    """Return the rate limit for reads of the configuration.

    Args:
      daemons: The number of live daemons, this one included.

    Returns:
      The rate limit.
    """
    return StoreRateLimit(
        _CONFIGURATION_INTERVAL,
        _scale(DEFAULT_POLL_WAIT, daemons, _MAX_POLL_WAIT),
    )


def upstreams_rate_limit(daemons: int) -> StoreRateLimit:
    """Return the rate limit for reads of the list of upstreams.

    Args:
      daemons: The number of live daemons, this one included.

    Returns:
      The rate limit.
    """
    return StoreRateLimit(
        _scale(_UPSTREAMS_INTERVAL, daemons, _MAX_INTERVAL), DEFAULT_POLL_WAIT
    )


def _scale(base: timedelta, daemons: int, maximum: timedelta) -> timedelta:
    return min(base * max(1, daemons / _UNTHROTTLED_DAEMONS), maximum)
