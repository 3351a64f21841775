"""Events that every daemon logs: its start and its stop."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Started:
    """A daemon has started; `start_id` names this life of its process."""

    role: str
    address: str
    site: str
    start_id: str


@dataclass(frozen=True, slots=True)
class Stopping:
    """A signal asked the daemon to stop."""

    open_requests: int


@dataclass(frozen=True, slots=True)
class Stopped:
    """The daemon ends now."""

    open_requests: int
    waited: timedelta


@dataclass(frozen=True, slots=True)
class BadAnswer:
    """An engine's answer is not in its format; it counts as none."""

    engine: str
    call: str
    field: str
    reason: str
