"""The messages between the planner and the rank agents."""

from dataclasses import dataclass

from linnetwind.codec import Codec
from linnetwind.rank_packing import (
    pack_counts,
    pack_maps,
    unpack_counts,
    unpack_maps,
)
from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankOrder,
    RankReport,
    ReleasePass,
)


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
class PackedCounts:
    """`RankCounts` with the counts as bytes."""

    epoch: int
    step: int
    counts: bytes
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PackedSeen:
    """`Seen` as it goes over the link."""

    report: RankReport | None
    counts: PackedCounts | None
    experts: RankExperts | None


@dataclass(frozen=True, slots=True)
class PackedPrepare:
    """`PrepareMap` with the map as bytes."""

    version: int
    epoch: int
    expect: int
    maps: bytes


@dataclass(frozen=True, slots=True)
class Obeyed:
    """What became of an order, and the rank's state after it."""

    result: OrderResult
    report: RankReport | None = None


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
        PackedSeen,
        PackedPrepare,
    )
)


def pack_seen(seen: Seen) -> PackedSeen:
    """Return a rank's state in the form for the link.

    Args:
      seen: The state.

    Returns:
      The message.
    """
    counts = seen.counts
    packed = None
    if counts is not None:
        packed = PackedCounts(
            counts.epoch,
            counts.step,
            pack_counts(counts.counts),
            counts.born_ms,
        )
    return PackedSeen(seen.report, packed, seen.experts)


def unpack_seen(message: PackedSeen) -> Seen:
    """Return the rank's state in a message.

    Args:
      message: The message.

    Returns:
      The state.

    Raises:
      NotPacked: The counts are no counts.
    """
    packed = message.counts
    counts = None
    if packed is not None:
        counts = RankCounts(
            packed.epoch,
            packed.step,
            unpack_counts(packed.counts),
            packed.born_ms,
        )
    return Seen(message.report, counts, message.experts)


def pack_order(order: RankOrder) -> RankOrder | PackedPrepare:
    """Return an order in the form for the link.

    Args:
      order: The order.

    Returns:
      The message.
    """
    if not isinstance(order, PrepareMap):
        return order
    return PackedPrepare(
        order.version, order.epoch, order.expect, pack_maps(order.maps)
    )


def unpack_order(message: RankOrder | PackedPrepare) -> RankOrder:
    """Return the order in a message.

    Args:
      message: The message.

    Returns:
      The order.

    Raises:
      NotPacked: The map is no map.
    """
    if not isinstance(message, PackedPrepare):
        return message
    return PrepareMap(
        message.version,
        message.epoch,
        message.expect,
        unpack_maps(message.maps),
    )
