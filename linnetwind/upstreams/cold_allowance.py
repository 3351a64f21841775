"""The requests that a cold upstream may be sent."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ColdTolerance:
    """The bound on the requests to a cold upstream within any second.

    All daemons together may send it `overage` times the requests a second that
    it handles while cold, plus `slack` requests.
    """

    overage: float
    slack: float
