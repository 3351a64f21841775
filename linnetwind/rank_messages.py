"""The messages between the planner and the rank agents."""

from dataclasses import dataclass

from linnetwind.codec import Codec
from linnetwind.rank_packing import (
    NotPacked,
    join_counts,
    may_subtract,
    pack_lanes,
    pack_maps,
    unpack_lanes,
    unpack_maps,
)
from linnetwind.rank_types import (
    ArmMap,
    CountLanes,
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
    counts: CountLanes | None = None
    experts: RankExperts | None = None


@dataclass(frozen=True, slots=True)
class PackedCounts:
    """Counts as bytes: of `size` experts, since the pass `since_step`.

    That is the pass of the counts that went over the same connection before;
    without it, these are counts since the rank started.
    """

    epoch: int
    step: int
    counts: bytes
    size: int
    since_step: int | None = None
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


def count_lanes(counts: RankCounts | None) -> CountLanes | None:
    """Return a rank's counts as lanes.

    Args:
      counts: The counts, None where the engine did not answer.

    Returns:
      The lanes.
    """
    if counts is None:
        return None
    lanes = join_counts(counts.counts)
    size = len(counts.counts)
    return CountLanes(counts.epoch, counts.step, lanes, size, counts.born_ms)


def goes_on(before: CountLanes | None, new: CountLanes) -> bool:
    """Return whether counts go on where older ones of the rank ended.

    A rank that started again counts from nothing. Its last pass shows it
    where the start is not stated or falls into the same millisecond.

    Args:
      before: The older counts; None if there are none.
      new: The newer ones.

    Returns:
      Whether their difference is what the rank has counted between them.
    """
    if before is None or before.epoch != new.epoch:
        return False
    if before.born_ms != new.born_ms or before.step > new.step:
        return False
    same_size = before.size == new.size
    return same_size and may_subtract(new.lanes, before.lanes, new.size)


def pack_seen(seen: Seen, before: CountLanes | None = None) -> PackedSeen:
    """Return a rank's state in the form for the link.

    Args:
      seen: The state.
      before: The counts that went over the same connection before.

    Returns:
      The message.
    """
    counts = seen.counts
    packed = None
    if counts is not None:
        continues = goes_on(before, counts)
        lanes = counts.lanes - before.lanes if continues else counts.lanes
        packed = PackedCounts(
            counts.epoch,
            counts.step,
            pack_lanes(lanes, counts.size),
            counts.size,
            before.step if continues else None,
            counts.born_ms,
        )
    return PackedSeen(seen.report, packed, seen.experts)


def unpack_seen(message: PackedSeen, before: CountLanes | None = None) -> Seen:
    """Return the rank's state in a message.

    Args:
      message: The message.
      before: The counts that came over the same connection before.

    Returns:
      The state.

    Raises:
      NotPacked: The counts are no counts, or go on from others.
    """
    packed = message.counts
    counts = None
    if packed is not None:
        lanes = unpack_lanes(packed.counts, packed.size)
        if packed.since_step is not None:
            if before is None or before.step != packed.since_step:
                raise NotPacked('counts that go on from others')
            lanes += before.lanes
        counts = CountLanes(
            packed.epoch, packed.step, lanes, packed.size, packed.born_ms
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
