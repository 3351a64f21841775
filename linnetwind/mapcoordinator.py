"""The coordinator of an expert-map switch, as a pure state machine.

It collects the replies of the ranks that have loaded the map and then
requests them to arm. If it dies, or if there are two coordinators, the
side daemons decide the attempt among themselves; see `mapswitch`.
"""

from dataclasses import dataclass, replace

from linnetwind.mapswitch_types import (
    Arm,
    Arming,
    Attempt,
    Member,
    Prepare,
    Prepared,
    Send,
)


@dataclass(frozen=True)
class Coordination:
    """One attempt in progress.

    `size` is the number of ranks. `lead` is the number of steps between the
    furthest rank's step and the switch. `prepared` holds the replies so far,
    `armed` whether the request to arm has been sent.
    """

    attempt: Attempt
    map_id: str
    size: int
    lead: int
    prepared: tuple[Prepared, ...] = ()
    armed: bool = False


def request_preparation(coordination: Coordination) -> tuple[Send, ...]:
    """Request the ranks that have not replied yet to load the map.

    The caller repeats this until all ranks have replied.

    Args:
      coordination: The attempt.

    Returns:
      A note for each rank that has not replied.
    """
    replied = {each.rank for each in coordination.prepared}
    note = Prepare(coordination.attempt, coordination.map_id)
    return tuple(
        Send(rank, note)
        for rank in range(coordination.size)
        if rank not in replied
    )


def apply_prepared(
    coordination: Coordination, note: Prepared
) -> tuple[Coordination, tuple[Send, ...]]:
    """Record a rank's reply; arm all ranks once the last one has replied.

    Args:
      coordination: The attempt before.
      note: The reply.

    Returns:
      The attempt after, and the notes to send.
    """
    if coordination.armed or note.attempt != coordination.attempt:
        return coordination, ()
    others = tuple(
        each for each in coordination.prepared if each.rank != note.rank
    )
    coordination = replace(coordination, prepared=(*others, note))
    if len(coordination.prepared) < coordination.size:
        return coordination, ()
    step = _choose_switch_step(coordination)
    if step is None:
        # A restarted rank has yet to join. All ranks are requested again,
        # since the others may have restarted by then as well.
        return replace(coordination, prepared=()), ()
    arm = Arm(
        Arming(coordination.attempt, step, coordination.map_id),
        _members(coordination),
    )
    notes = tuple(Send(rank, arm) for rank in range(coordination.size))
    return replace(coordination, armed=True), notes


def _choose_switch_step(coordination: Coordination) -> int | None:
    new_ranks = [each.is_new for each in coordination.prepared]
    if all(new_ranks):
        return 0
    if any(new_ranks):
        return None
    latest = max(each.step for each in coordination.prepared)
    return latest + coordination.lead


def _members(coordination: Coordination) -> tuple[Member, ...]:
    by_rank = sorted(coordination.prepared, key=lambda each: each.rank)
    return tuple(Member(each.generation, each.incarnation) for each in by_rank)
