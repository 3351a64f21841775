"""What a rank of a group reports, and the orders it takes, as data types."""

import enum
from dataclasses import dataclass
from typing import Protocol

# The experts of each rank, for each layer: layer, then rank, then experts.
RankMaps = tuple[tuple[tuple[int, ...], ...], ...]


@dataclass(frozen=True, slots=True)
class RankReport:
    """The state of a rank, as its engine gives it.

    `epoch` grows each time the group forms; `step` is the last pass that was
    begun; `sequence` counts the orders that began something. `map_version`
    is the map in use, `prepared` the version whose experts are all copied.
    `armed` and `armed_step` say which version is taken up at which pass,
    `held` the pass that does not begin before it is released. `pace` over 1
    is a slow rank. `born_ms` is the Unix time in milliseconds at which the
    rank's process started, None where it does not say so.
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
    """How often each expert was chosen since the rank started.

    `counts` has all experts of the first layer, then of the second, and so
    on; only requests that this rank runs are counted.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class CountLanes:
    """`RankCounts` as one number with a lane of 32 bits for each count.

    `size` is the number of counts.
    """

    epoch: int
    step: int
    lanes: int
    size: int
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RankExperts:
    """The experts that a rank holds in each layer, by the map in use."""

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Copy the experts of a map that are new to the rank."""

    version: int
    epoch: int
    expect: int
    maps: RankMaps


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Take up a prepared map as a pass begins."""

    version: int
    step: int
    epoch: int
    expect: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Do not take up a map after all."""

    version: int
    epoch: int


@dataclass(frozen=True, slots=True)
class HoldPass:
    """Do not begin a pass before it is released."""

    step: int
    epoch: int
    expect: int


@dataclass(frozen=True, slots=True)
class ReleasePass:
    """Let a held pass begin."""

    step: int
    epoch: int


RankOrder = PrepareMap | ArmMap | DisarmMap | HoldPass | ReleasePass


class OrderResult(enum.Enum):
    """What became of an order.

    After `NO_ANSWER` it may have been carried out, or may be seconds later.
    """

    DONE = 'done'
    BEGUN = 'begun'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'


class RankPort(Protocol):
    """A rank's engine; None means that it did not answer."""

    def report(self) -> RankReport | None:
        """Return the rank's state."""

    def counts(self) -> RankCounts | None:
        """Return how often each expert was chosen."""

    def experts(self) -> RankExperts | None:
        """Return the experts that the rank holds."""

    def order(self, order: RankOrder) -> OrderResult:
        """Give an order."""
