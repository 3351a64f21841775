"""The event that gateways log when they decide on a retry."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RetryDecided:
    """The retry budget of a service allowed or denied a retry.

    `daemons` are the gateways that share the allowance as this one counts
    them, None if it cannot know all of them. `spent` are its own retries that
    still count, and `uptime` is the time since its process started.
    """

    request: str
    service: str
    decision: str
    daemons: int | None
    spent: int
    uptime: timedelta
