"""The state of one service from which its free permits are computed."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.arrival_wave import ArrivalWave
from linnetwind.admission.class_arrivals import ClassArrivals
from linnetwind.admission.group_capacity import GroupCapacity
from linnetwind.admission.slow_group import (
    CallerPatience,
    StreamLengths,
    longest_tolerable_ms,
)
from linnetwind.admission.wait_queue import WaitQueue
from linnetwind.ranks_by_group import SortedRanks
from linnetwind.routes import EngineProfile
from linnetwind.upstream_incarnation import UpstreamIncarnation

# The number of recent starts from which the time of the next one is estimated.
_STARTS = 24


def _no_starts() -> deque[timedelta]:
    return deque(maxlen=_STARTS)


@dataclass
class ServiceCapacity:
    """The state of a service from which its free permits are computed.

    `arrivals` are the monotonic times at which streams arrived, `newcomers`
    those of streams that are no retries of rejected callers, and `classes`
    both by priority. `peer_priorities` are those of other daemons' streams,
    and `rooms` the permits for each priority in the last view.
    `starts` are the durations from a stream's start to its first event.
    `group_of`, the group of each incarnation of a rank, comes from the
    summaries of the planner. `first_asked_at` is the monotonic time at which a
    stream first asked for a permit, `probed_at` that at which a stream was last
    running before the first summary of a planner. `patience` is what its
    callers tolerate, `lengths` counts the events of its streams, and `wave`
    describes their arrivals.
    """

    queue: WaitQueue
    arrivals: deque[timedelta] = field(default_factory=deque)
    newcomers: deque[timedelta] = field(default_factory=deque)
    classes: dict[int, ClassArrivals] = field(default_factory=dict)
    peer_priorities: frozenset[int] = frozenset()
    rooms: dict[int, int] = field(default_factory=dict)
    starts: deque[timedelta] = field(default_factory=_no_starts)
    engine: EngineProfile | None = None
    groups: dict[str, GroupCapacity] = field(default_factory=dict)
    group_of: dict[UpstreamIncarnation, str] = field(default_factory=dict)
    sorted_ranks: SortedRanks | None = None
    first_asked_at: timedelta | None = None
    probed_at: timedelta | None = None
    patience: CallerPatience = CallerPatience()
    lengths: StreamLengths = StreamLengths()
    wave: ArrivalWave = ArrivalWave()

    @property
    def tolerable_ms(self) -> float:
        """Return the longest pass with which no caller leaves."""
        return longest_tolerable_ms(self.patience, self.lengths.mean_events)
