"""Switching the expert map of a group, as seen by one rank's side daemon.

The ranks of a group advance in lock-step, so no rank completes a step
without all the others. The switch rests on that. A rank is armed for a step:
from that step on it uses the new map if the switch has been confirmed by
then, and otherwise it waits before that step, and the group with it. The
switch is confirmed once all ranks were seen armed. Unanimity is the whole
decision: it needs neither the log nor the coordinator once the ranks are
armed, and a rank that has not been armed and says so ends the attempt.

What a rank is armed for is kept by its engine, so a side daemon may be
restarted at any time. A restarted rank has lost it; it asks all its peers
and takes over whatever attempt any of them is armed for. See docs/DESIGN.md
for the argument and `mapswitch_test` for the exploration.
"""

from dataclasses import replace

from linnetwind.mapswitch_join import (
    answer_join_query,
    group_is_new,
    take_join_reply,
)
from linnetwind.mapswitch_side import (
    Handled,
    Participant,
    confirm_if_armed,
    engine_armed_for,
    has_switched,
    known_status,
    latest,
    refuse,
    send_to_peers,
    stands_for,
)
from linnetwind.mapswitch_types import (
    Action,
    Arm,
    Arming,
    Attempt,
    Confirm,
    JoinQuery,
    JoinReply,
    Member,
    Note,
    OrderArm,
    OrderConfirm,
    OrderDisarm,
    OrderStage,
    Prepare,
    Prepared,
    Query,
    RankStatus,
    Send,
    Verdict,
    Vote,
)


def handle_note(side: Participant, note: Note) -> Handled:
    """Take a note from another rank's side.

    Args:
      side: The participant before.
      note: The note; it may be late or a repetition.

    Returns:
      The participant after, and what to do.
    """
    # Until the engine has said what it is armed for, every answer could be
    # wrong: a former incarnation of this side may have voted.
    if side.status is None:
        return side, ()
    match note:
        case Prepare():
            return _prepare(side, note)
        case Arm(arming, members):
            return _arm(side, arming, members)
        case Vote():
            return _vote(side, note)
        case Confirm(attempt):
            return side, confirm_if_armed(side, attempt)
        case Query():
            return _query(side, note)
        case JoinQuery(rank, generation):
            return answer_join_query(side, rank, generation)
        case JoinReply():
            return take_join_reply(side, note)
        case Prepared():
            return side, ()


def handle_status(side: Participant, status: RankStatus) -> Handled:
    """Take the engine's latest status; also called at intervals.

    Args:
      side: The participant before.
      status: What the engine says.

    Returns:
      The participant after, and what to do.
    """
    before = side.status
    side = replace(side, status=status)
    if before is not None and before.generation != status.generation:
        side = replace(side, pledged=None, replies=())
    # What the engine was armed for before this side looked, or was started
    # with, may have been voted for already; it is taken over.
    adopted = (
        before is None
        or before.generation != status.generation
        or before.is_new
    )
    side = _drop_missed_pledge(side)
    actions = _repeat_pledge(side)
    if status.armed is not None:
        side, actions = _look_at_arming(side, status, adopted=adopted)
    if status.is_new:
        query = JoinQuery(side.rank, status.generation)
        actions = (*actions, *send_to_peers(side, query))
    side, prepared = _report_prepared(side)
    return side, (*actions, *prepared)


def _repeat_pledge(side: Participant) -> tuple[Action, ...]:
    # An order that was lost on the way leaves the rank unarmed and its
    # peers waiting for it; the engine takes the repetition for the same.
    pledged, status = side.pledged, side.status
    if pledged is None or status is None or status.armed is not None:
        return ()
    return (OrderArm(status.generation, pledged),)


def _prepare(side: Participant, note: Prepare) -> Handled:
    if note.attempt.epoch < side.epoch:
        # A coordinator that was replaced while it was paused.
        return side, ()
    side = replace(side, epoch=note.attempt.epoch, preparing=note)
    side, actions = _report_prepared(side)
    return side, actions or (OrderStage(note.map_id),)


def _report_prepared(side: Participant) -> Handled:
    status, note = side.status, side.preparing
    if status is None or note is None or note.map_id not in status.staged:
        return side, ()
    prepared = Prepared(
        note.attempt,
        side.rank,
        status.generation,
        side.incarnation,
        status.step,
        status.is_new,
    )
    done = replace(side, preparing=None)
    return done, (Send(note.attempt.coordinator, prepared),)


def _arm(
    side: Participant, arming: Arming, members: tuple[Member, ...]
) -> Handled:
    attempt = arming.attempt
    if _holds(side, attempt):
        return side, ()
    if side.status is not None and side.status.is_new:
        # A restarted rank may have voted before, so it must not refuse; it
        # joins its group first. Only in a group that is new as a whole is
        # it armed at step 0; a late arming from that time must not start
        # it apart from a group that has gone on.
        if arming.step > 0 or not group_is_new(side):
            return side, ()
    if not _may_arm(side, arming, members):
        return refuse(side, attempt), ()
    order = OrderArm(members[side.rank].generation, arming)
    return replace(side, pledged=arming), (order,)


def _holds(side: Participant, attempt: Attempt) -> bool:
    # A late arming of an attempt that has already taken effect here must
    # not be taken for a new one and refused.
    armed = side.armed is not None and side.armed.attempt == attempt
    return armed or has_switched(side, attempt)


def _may_arm(
    side: Participant, arming: Arming, members: tuple[Member, ...]
) -> bool:
    status = known_status(side)
    if side.armed is not None or arming.attempt in side.refused:
        return False
    # A former incarnation of this side may have refused the attempt, or
    # another generation of the rank may have voted for it.
    if members[side.rank] != Member(status.generation, side.incarnation):
        return False
    # A peer that was restarted after it had prepared has joined on the word
    # that this rank is not armed; it must not be armed afterwards.
    return all(
        member.generation >= known
        for member, known in zip(members, side.generations, strict=True)
    )


def _vote(side: Participant, vote: Vote) -> Handled:
    attempt = vote.attempt
    # A verdict of a rank that was restarted since, or one that a former
    # incarnation of this side asked for, may have been overtaken: the
    # restarted rank has taken over what its peers were armed for.
    overtaken = vote.generation < side.generations[vote.rank]
    if overtaken or vote.asked_by != side.incarnation:
        return side, ()
    if vote.verdict is Verdict.REFUSED:
        side = refuse(side, attempt)
        if engine_armed_for(side, attempt):
            return side, (OrderDisarm(attempt),)
        return side, ()
    cast = (attempt, vote.rank, vote.generation)
    # Only the attempt that the rank is armed for can still be decided.
    same = {each for each in side.votes if each[0] == attempt}
    side = replace(side, votes=frozenset(same | {cast}))
    if not _unanimous(side, attempt):
        return side, ()
    return side, (
        *send_to_peers(side, Confirm(attempt)),
        *confirm_if_armed(side, attempt),
    )


def _unanimous(side: Participant, attempt: Attempt) -> bool:
    if attempt in side.refused or not stands_for(side, attempt):
        return False
    voted = {
        rank
        for voted_for, rank, generation in side.votes
        if voted_for == attempt and generation >= side.generations[rank]
    }
    return voted >= set(range(side.size)) - {side.rank}


def _query(side: Participant, query: Query) -> Handled:
    attempt = query.attempt
    # A refusal stands even while the engine is still armed, or again armed
    # by a late order: it has been told, and the order to disarm follows.
    refused = attempt in side.refused
    if not refused and stands_for(side, attempt):
        return side, (_verdict(side, query, Verdict.ARMED),)
    if side.pledged is not None and side.pledged.attempt == attempt:
        # The order is on its way to the engine; the waiting rank will ask
        # again.
        return side, ()
    if side.status is not None and side.status.is_new:
        # A restarted rank has forgotten its vote. It must not say no: it
        # joins first and takes over what its peers are armed for.
        return side, ()
    side = refuse(side, attempt)
    return side, (_verdict(side, query, Verdict.REFUSED),)


def _verdict(side: Participant, query: Query, verdict: Verdict) -> Send:
    status = known_status(side)
    vote = Vote(
        query.attempt,
        side.rank,
        status.generation,
        verdict,
        query.incarnation,
    )
    return Send(query.rank, vote)


def _look_at_arming(
    side: Participant, status: RankStatus, *, adopted: bool
) -> Handled:
    assert status.armed is not None
    attempt = status.armed.attempt
    pledged = side.pledged is not None and side.pledged.attempt == attempt
    known = pledged or adopted or attempt in side.adopted
    if not known:
        # An order of a former incarnation of this side came late, after
        # this one may have said that the rank is not armed.
        side = refuse(side, attempt)
    if pledged:
        side = replace(side, pledged=None)
    if attempt in side.refused:
        return side, (OrderDisarm(attempt),)
    side = replace(side, adopted=latest(side.adopted | {attempt}))
    if status.confirmed:
        return side, ()
    if _unanimous(side, attempt):
        confirm = send_to_peers(side, Confirm(attempt))
        return side, (*confirm, OrderConfirm(attempt))
    asks = attempt.coordinator == side.rank or status.holding
    if not asks:
        return side, ()
    query = Query(attempt, side.rank, side.incarnation)
    return side, send_to_peers(side, query)


def _drop_missed_pledge(side: Participant) -> Participant:
    pledged, status = side.pledged, side.status
    if pledged is None or status is None or status.armed is not None:
        return side
    passed = status.step > pledged.step
    if passed or (status.entered and status.step == pledged.step):
        # The order reached the engine after its step and was refused.
        return refuse(replace(side, pledged=None), pledged.attempt)
    return side
