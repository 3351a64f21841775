"""A rank's part of an engine, and the lock-step of a group, as pure code."""

from dataclasses import dataclass, replace

from linnetwind.mapswitch_types import (
    OrderArm,
    OrderConfirm,
    OrderDisarm,
    OrderStage,
    OrderStart,
    RankStatus,
)


def apply_order(status: RankStatus, order: object) -> RankStatus:
    """Return a rank's status after an order; a late order changes nothing."""
    match order:
        case OrderStage(map_id):
            return replace(status, staged=status.staged | {map_id})
        case OrderArm(generation, arming):
            passed = status.step > arming.step or (
                status.step == arming.step and status.entered
            )
            if generation != status.generation or status.armed or passed:
                return status
            return replace(status, armed=arming, confirmed=False)
        case OrderConfirm(attempt):
            if status.armed and status.armed.attempt == attempt:
                return replace(status, confirmed=True)
        case OrderDisarm(attempt):
            if (
                status.armed
                and status.armed.attempt == attempt
                and not status.confirmed
            ):
                return replace(status, armed=None)
        case OrderStart(generation, step, map_id, armed, switched):
            fresh = status.map_id is None and status.armed is None
            if fresh and generation == status.generation:
                return replace(
                    status,
                    step=step,
                    map_id=map_id,
                    armed=armed,
                    switched=switched,
                )
    return status


def may_enter(status: RankStatus) -> bool:
    """Return whether a rank can enter its next step."""
    if status.entered or status.holding:
        return False
    return status.map_id is not None or (
        status.armed is not None and status.armed.step == status.step
    )


def enter(status: RankStatus) -> RankStatus:
    """Enter the next step, with the new map if that is due."""
    armed = status.armed
    if armed is not None and armed.step == status.step:
        status = replace(
            status,
            map_id=armed.map_id,
            switched=armed.attempt,
            armed=None,
            confirmed=False,
        )
    return replace(status, entered=True)


@dataclass(frozen=True)
class StepRecord:
    """The maps that the ranks used in one completed step."""

    step: int
    maps: tuple[str | None, ...]


def complete(
    ranks: tuple[RankStatus, ...],
) -> tuple[tuple[RankStatus, ...], StepRecord | None]:
    """Complete a step if all ranks are in it."""
    if not all(rank.entered for rank in ranks):
        return ranks, None
    record = StepRecord(ranks[0].step, tuple(rank.map_id for rank in ranks))
    moved = tuple(
        replace(rank, step=rank.step + 1, entered=False) for rank in ranks
    )
    return moved, record


def restarted(status: RankStatus) -> RankStatus:
    """Return a rank that has lost everything."""
    return RankStatus(status.generation + 1, staged=status.staged)
