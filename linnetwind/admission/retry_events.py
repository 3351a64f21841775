"""The event that gateways log when they decide on a retry."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RetryDecided:
    """The retry budget of a service allowed or denied a retry.

    `daemons` are the gateways that share the allowance as this one counts
    them, `spent` are its own retries within the window, and `uptime` is the
    time since its process started.
    """

    request: str
    service: str
    decision: str
    daemons: int
    spent: int
    uptime: timedelta
