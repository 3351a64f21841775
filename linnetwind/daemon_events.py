"""Events that all daemons log, among them start and stop."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Started:
    """A daemon has started; `start_id` identifies this start of its process."""

    role: str
    address: str
    site: str
    start_id: str


@dataclass(frozen=True, slots=True)
class Stopping:
    """The daemon has received a stop signal."""

    open_requests: int


@dataclass(frozen=True, slots=True)
class Stopped:
    """The daemon ends now, after it has waited for its requests to end."""

    open_requests: int
    waited: timedelta


@dataclass(frozen=True, slots=True)
class BadAnswer:
    """An engine's response is malformed; it counts as no response."""

    engine: str
    call: str
    field: str
    reason: str
