"""The messages between the planner and the rank agents."""

from dataclasses import dataclass

from linnetwind.codec import Codec
from linnetwind.rank_packing import (
    UnpackError,
    join_counts,
    may_subtract,
    pack_lanes,
    pack_maps,
    unpack_lanes,
    unpack_maps,
)
from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    LaneCounts,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankOrder,
    RankReport,
    ReleasePass,
)


@dataclass(frozen=True, slots=True)
class RankQuery:
    """Requests the rank's state, with its counts and experts if wanted."""

    with_counts: bool
    with_experts: bool = False


@dataclass(frozen=True, slots=True)
class RankSnapshot:
    """The rank's state as of one query.

    A field is None if it was not requested or the engine did not respond.
    """

    report: RankReport | None
    counts: LaneCounts | None = None
    experts: RankExperts | None = None


@dataclass(frozen=True, slots=True)
class PackedCounts:
    """Compressed counts of `size` experts since the pass `since_step`.

    `since_step` is the pass of the counts that were sent before over the same
    connection. If it is None, the counts are those since the rank started.
    """

    epoch: int
    step: int
    counts: bytes
    size: int
    since_step: int | None = None
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PackedRankSnapshot:
    """`RankSnapshot` in the form that is sent between agent and planner."""

    report: RankReport | None
    counts: PackedCounts | None
    experts: RankExperts | None


@dataclass(frozen=True, slots=True)
class PackedPrepare:
    """`PrepareMap` with the map compressed to bytes."""

    version: int
    epoch: int
    expect: int
    maps: bytes


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The result of an order, and the rank's state after it."""

    result: OrderResult
    report: RankReport | None = None


# The position of a type is its tag on the wire: append only.
RANK_CODEC = Codec(
    (
        RankQuery,
        RankSnapshot,
        OrderReply,
        PrepareMap,
        ArmMap,
        DisarmMap,
        HoldPass,
        ReleasePass,
        PackedRankSnapshot,
        PackedPrepare,
    )
)


def make_lane_counts(counts: RankCounts | None) -> LaneCounts | None:
    """Pack a rank's counts into one integer.

    Args:
      counts: The counts, None if the engine did not respond.

    Returns:
      The packed counts, None if there are none.
    """
    if counts is None:
        return None
    lanes = join_counts(counts.counts)
    size = len(counts.counts)
    return LaneCounts(counts.epoch, counts.step, lanes, size, counts.born_ms)


def counts_continue(before: LaneCounts | None, new: LaneCounts) -> bool:
    """Return whether a rank has kept counting since older counts were read.

    A rank that restarted counts from zero again. If its start time is not
    reported, or equals the old one to the millisecond, a lower pass number or
    a lower count reveals the restart.

    Args:
      before: The older counts; None if there are none.
      new: The newer counts.

    Returns:
      Whether the difference is what the rank has counted in between.
    """
    if before is None or before.epoch != new.epoch:
        return False
    if before.born_ms != new.born_ms or before.step > new.step:
        return False
    same_size = before.size == new.size
    return same_size and may_subtract(new.lanes, before.lanes, new.size)


def pack_snapshot(
    snapshot: RankSnapshot, before: LaneCounts | None = None
) -> PackedRankSnapshot:
    """Encode a rank's state for the connection between agent and planner.

    Counts that continue those sent before are sent as the difference.

    Args:
      snapshot: The state.
      before: The counts that were sent before over the same connection.

    Returns:
      The message.
    """
    counts = snapshot.counts
    packed = None
    if counts is not None:
        continues = counts_continue(before, counts)
        lanes = counts.lanes - before.lanes if continues else counts.lanes
        packed = PackedCounts(
            counts.epoch,
            counts.step,
            pack_lanes(lanes, counts.size),
            counts.size,
            before.step if continues else None,
            counts.born_ms,
        )
    return PackedRankSnapshot(snapshot.report, packed, snapshot.experts)


def unpack_snapshot(
    message: PackedRankSnapshot, before: LaneCounts | None = None
) -> RankSnapshot:
    """Decode the rank's state from a message.

    Args:
      message: The message.
      before: The counts received before over the same connection.

    Returns:
      The state.

    Raises:
      UnpackError: The counts are invalid, or are a difference from counts
        other than `before`.
    """
    packed = message.counts
    counts = None
    if packed is not None:
        lanes = unpack_lanes(packed.counts, packed.size)
        if packed.since_step is not None:
            if before is None or before.step != packed.since_step:
                raise UnpackError(
                    'counts are relative to others than those received before'
                )
            lanes += before.lanes
        counts = LaneCounts(
            packed.epoch, packed.step, lanes, packed.size, packed.born_ms
        )
    return RankSnapshot(message.report, counts, message.experts)


def pack_order(order: RankOrder) -> RankOrder | PackedPrepare:
    """Encode an order for the connection between planner and agent.

    Args:
      order: The order.

    Returns:
      The message; the map of a `PrepareMap` is compressed.
    """
    if not isinstance(order, PrepareMap):
        return order
    return PackedPrepare(
        order.version, order.epoch, order.expect, pack_maps(order.maps)
    )


def unpack_order(message: RankOrder | PackedPrepare) -> RankOrder:
    """Decode the order in a message.

    Args:
      message: The message.

    Returns:
      The order.

    Raises:
      UnpackError: The message does not hold a valid map.
    """
    if not isinstance(message, PackedPrepare):
        return message
    return PrepareMap(
        message.version,
        message.epoch,
        message.expect,
        unpack_maps(message.maps),
    )
