"""The coordinator of an expert-map switch, as a pure state machine.

It only gathers what the ranks' sides have prepared and asks them to arm.
Should it die, or be one of two, the sides settle what it began among
themselves; see `mapswitch`.
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
    """One attempt under way; `lead` is the steps from now to the switch."""

    attempt: Attempt
    map_id: str
    size: int
    lead: int
    prepared: tuple[Prepared, ...] = ()
    armed: bool = False


def begin(coordination: Coordination) -> tuple[Send, ...]:
    """Ask all ranks to load the map; repeated until all have answered.

    Args:
      coordination: The attempt.

    Returns:
      A note for each rank that has not answered.
    """
    answered = {each.rank for each in coordination.prepared}
    note = Prepare(coordination.attempt, coordination.map_id)
    return tuple(
        Send(rank, note)
        for rank in range(coordination.size)
        if rank not in answered
    )


def take_prepared(
    coordination: Coordination, note: Prepared
) -> tuple[Coordination, tuple[Send, ...]]:
    """Take a rank's answer; arm all ranks once the last one is in.

    Args:
      coordination: The attempt before.
      note: The answer.

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
    step = _switch_step(coordination)
    if step is None:
        # A restarted rank has yet to join; all are asked again, since by
        # then the others may have restarted too.
        return replace(coordination, prepared=()), ()
    arm = Arm(
        Arming(coordination.attempt, step, coordination.map_id),
        _members(coordination),
    )
    notes = tuple(Send(rank, arm) for rank in range(coordination.size))
    return replace(coordination, armed=True), notes


def _switch_step(coordination: Coordination) -> int | None:
    new = [each.is_new for each in coordination.prepared]
    if all(new):
        return 0
    if any(new):
        return None
    latest = max(each.step for each in coordination.prepared)
    return latest + coordination.lead


def _members(coordination: Coordination) -> tuple[Member, ...]:
    in_order = sorted(coordination.prepared, key=lambda each: each.rank)
    return tuple(Member(each.generation, each.incarnation) for each in in_order)
