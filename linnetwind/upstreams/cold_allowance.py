"""The requests that a cold upstream may be sent.

An upstream that has just started handles few requests a second and crashes far
above that. This handles many upstreams that return cold at once, such as those
of a data centre, into traffic that one warm upstream would take alone.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta

# The upstream counts requests as they arrive. Those sent first may arrive last,
# as connecting takes up to 0.25 s, and threads wait for the interpreter. The
# requests of a longer window arrive within any second.
_WINDOW_MS = 1_300
WINDOW = timedelta(milliseconds=_WINDOW_MS)
# The part of the bound that is not divided, and at least one request. Daemons
# disagree for a moment on which daemons there are when one starts or leaves.
_RESERVE = 0.05
# The steps in which an upstream's share of requests grows after its cold time.
_SLOW_START_STEPS = 4


class ColdSource(enum.Enum):
    """How this daemon learned that an upstream is cold."""

    REGISTRATION = 'registration'
    START_TIME = 'start time'
    FIRST_SEEN = 'first seen'
    PEER = 'peer'


@dataclass(frozen=True, slots=True)
class ColdTolerance:
    """The bound on the requests to a cold upstream within any second.

    All daemons together may send it `overage` times the requests a second that
    it handles while cold, plus `slack` requests.
    """

    overage: float
    slack: float

    def to_divide(self, per_s: float) -> int:
        """Return the requests that the daemons divide among themselves.

        Args:
          per_s: The requests a second that the upstream handles while cold.

        Returns:
          The most requests of all daemons within `WINDOW`.
        """
        bound = per_s * self.overage + self.slack
        reserve = max(1, _RESERVE * bound)
        return max(min(1, int(bound)), int(bound - reserve))


@dataclass(frozen=True, slots=True)
class ColdBound:
    """The tolerance of cold upstreams, and whether other daemons exist.

    `tolerance` is None if requests to them are not limited. `has_peers` says
    that there are other daemons, even if none has been heard.
    """

    tolerance: ColdTolerance | None = None
    has_peers: bool = False


NO_COLD_BOUND = ColdBound()


@dataclass(frozen=True, slots=True)
class ColdFacts:
    """What a daemon knows of the start of an incarnation.

    All times are monotonic. `stated_until` is the end of the cold time by its
    registration, `advertised_until` the latest that a peer named. `started_at`
    is when it started by its own clock, and `first_seen` when its first record
    arrived, None if that was in the first read of the list.
    """

    service: str
    stated_until: timedelta = timedelta()
    started_at: timedelta | None = None
    first_seen: timedelta | None = None
    advertised_until: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """The end of an incarnation's cold time, and the source that named it."""

    until: timedelta
    source: ColdSource


def cold_period(facts: ColdFacts, cold_time: timedelta) -> ColdPeriod:
    """Return how long an upstream is cold: the longest that any source says.

    Args:
      facts: What is known of the incarnation.
      cold_time: The time for which upstreams of its service are cold after a
        start; zero if that is not configured.

    Returns:
      The period; it may have ended.
    """
    periods = [
        ColdPeriod(facts.stated_until, ColdSource.REGISTRATION),
        ColdPeriod(facts.advertised_until, ColdSource.PEER),
    ]
    if cold_time:
        periods.extend(
            ColdPeriod(start + cold_time, source)
            for start, source in (
                (facts.started_at, ColdSource.START_TIME),
                (facts.first_seen, ColdSource.FIRST_SEEN),
            )
            if start is not None
        )
    return max(periods, key=lambda period: period.until)


def slow_start_weight(
    until: timedelta, cold_time: timedelta, now: timedelta
) -> float:
    """Return the weight of an upstream in the choice after its cold time.

    Args:
      until: The end of its cold time.
      cold_time: The length of the slow start after it.
      now: The monotonic time.

    Returns:
      The weight, up to 1 in equal steps. It is 1 while the upstream is cold:
      then its allowance limits the requests.
    """
    since = now - until
    if since < timedelta() or since >= cold_time:
        return 1
    return (1 + int(since / cold_time * _SLOW_START_STEPS)) / (
        _SLOW_START_STEPS + 1
    )
