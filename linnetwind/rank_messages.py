"""The messages between the planner and the rank agents."""

from dataclasses import dataclass

from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankReport,
    ReleasePass,
)
from linnetwind.wire import Codec


@dataclass(frozen=True, slots=True)
class Look:
    """Asks for the rank's state, and for its counts and experts as well."""

    with_counts: bool
    with_experts: bool = False


@dataclass(frozen=True, slots=True)
class Seen:
    """The rank's state; None where the engine did not answer."""

    report: RankReport | None
    counts: RankCounts | None = None
    experts: RankExperts | None = None


@dataclass(frozen=True, slots=True)
class Obeyed:
    """What became of an order."""

    result: OrderResult


# The position of a type is its tag on the wire: append only.
RANK_CODEC = Codec(
    (
        Look,
        Seen,
        Obeyed,
        PrepareMap,
        ArmMap,
        DisarmMap,
        HoldPass,
        ReleasePass,
    )
)
