"""Events in the log of a gateway about prompt parts that crash upstreams."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PromptQuarantined:
    """Requests with all these prompt parts are not forwarded any more.

    `quarantine` is for how long at least, `rounds` how many quarantines of
    these parts followed on each other.
    """

    parts: tuple[str, ...]
    quarantine: timedelta
    rounds: int


@dataclass(frozen=True, slots=True)
class PromptQuarantineRestored:
    """Prompt parts were in quarantine before this daemon started."""

    parts: tuple[str, ...]
    rounds: int
