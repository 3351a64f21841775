"""Data types of a rank's reports and of the orders that it accepts."""

import enum
from dataclasses import dataclass
from typing import Protocol

# The experts of each rank in each layer, indexed by layer, then by rank.
RankMaps = tuple[tuple[tuple[int, ...], ...], ...]


@dataclass(frozen=True, slots=True)
class RankReport:
    """The state of a rank as its engine reports it.

    `epoch` grows each time the group forms. `step` is the last pass that
    started, and `sequence` counts the orders that started an action.
    `map_version` is the map in use, `prepared` the version whose experts
    have all been copied. `armed` is the version that takes effect at the
    pass `armed_step`. The pass `held` does not start until it is released.
    `pace` is greater than 1 for a slow rank. `running` and `waiting` count
    the rank's requests. `born_ms` is the Unix time in milliseconds at which
    the rank's process started, None if the rank does not report it.
    """

    group: str
    rank: int
    size: int
    epoch: int
    is_open: bool
    step: int
    sequence: int
    is_copying: bool
    map_version: int
    prepared: int | None
    armed: int | None
    armed_step: int | None
    held: int | None
    pace: float
    running: int
    waiting: int
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RankCounts:
    """How often each expert was selected since the rank started.

    `counts` lists all experts of the first layer, then those of the second,
    and so on. Only the requests that run on this rank are counted.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class LaneCounts:
    """`RankCounts` packed into one integer with 32 bits for each count.

    `size` is the number of counts. Packed counts can be added at once, and
    subtracted if no count has decreased; see `rank_packing`.
    """

    epoch: int
    step: int
    lanes: int
    size: int
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RankExperts:
    """The experts that a rank holds in each layer under the map in use."""

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Copy those experts of a map that the rank does not hold yet."""

    version: int
    epoch: int
    expect: int
    maps: RankMaps


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Switch to a prepared map at the start of a pass."""

    version: int
    step: int
    epoch: int
    expect: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Cancel the arming of a map."""

    version: int
    epoch: int


@dataclass(frozen=True, slots=True)
class HoldPass:
    """Keep a pass from starting until it is released."""

    step: int
    epoch: int
    expect: int


@dataclass(frozen=True, slots=True)
class ReleasePass:
    """Let a held pass start."""

    step: int
    epoch: int


RankOrder = PrepareMap | ArmMap | DisarmMap | HoldPass | ReleasePass


class OrderResult(enum.Enum):
    """The result of an order.

    After `NO_ANSWER` the order may have been carried out, or may still be
    carried out seconds later.
    """

    DONE = 'done'
    STARTED = 'begun'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'


class RankPort(Protocol):
    """Access to a rank's engine; None means that it did not respond."""

    def report(self) -> RankReport | None:
        """Return the rank's state."""

    def counts(self) -> RankCounts | None:
        """Return how often each expert was selected."""

    def experts(self) -> RankExperts | None:
        """Return the experts that the rank holds."""

    def order(self, order: RankOrder) -> OrderResult:
        """Send an order and return its result."""
