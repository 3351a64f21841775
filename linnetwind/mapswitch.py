"""Atomic switch of a group to a new expert map, as seen by one side daemon.

The protocol relies on the ranks of a group advancing in lock-step: no rank
completes a step without all the others. A rank is armed for a step. When it
reaches that step, it uses the new map if the switch has been confirmed by
then; otherwise it waits before the step, and so does the whole group. The
switch is confirmed once every rank has been seen armed. This unanimous vote
is the entire decision. Once the ranks are armed it needs neither the log nor
the coordinator, and a single rank that is not armed and says so aborts the
attempt.

The engine stores what its rank is armed for, so a side daemon may restart at
any time. A restarted rank loses that state: it queries all its peers and
adopts the attempt that any of them is armed for. See docs/DESIGN.md for the
proof and `mapswitch_test` for the state-space exploration.
"""

from dataclasses import replace

from linnetwind.mapswitch_join import (
    apply_join_reply,
    peers_are_new,
    reply_to_join_query,
)
from linnetwind.mapswitch_side import (
    Participant,
    Transition,
    confirm_if_armed,
    engine_armed_for,
    has_switched,
    is_armed_or_switched,
    latest_attempts,
    record_refusal,
    require_status,
    send_to_peers,
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


def handle_note(side: Participant, note: Note) -> Transition:
    """Process a note from another rank's side daemon.

    Args:
      side: The participant before.
      note: The note; it may be late or a duplicate.

    Returns:
      The participant after, and the actions to perform.
    """
    # Until the engine has reported what it is armed for, any reply could be
    # wrong: a former incarnation of this side daemon may have voted.
    if side.status is None:
        return side, ()
    match note:
        case Prepare():
            return _handle_prepare(side, note)
        case Arm(arming, members):
            return _handle_arm(side, arming, members)
        case Vote():
            return _handle_vote(side, note)
        case Confirm(attempt):
            return side, confirm_if_armed(side, attempt)
        case Query():
            return _handle_query(side, note)
        case JoinQuery(rank, generation):
            return reply_to_join_query(side, rank, generation)
        case JoinReply():
            return apply_join_reply(side, note)
        case Prepared():
            return side, ()


def handle_status(side: Participant, status: RankStatus) -> Transition:
    """Process the engine's latest status.

    Called at short intervals, so it also resends notes and orders that may
    have been lost.

    Args:
      side: The participant before.
      status: The status that the engine reports.

    Returns:
      The participant after, and the actions to perform.
    """
    before = side.status
    side = replace(side, status=status)
    if before is not None and before.generation != status.generation:
        side = replace(side, pending=None, replies=())
    # An attempt that the engine was armed for before the first status, or
    # was started with, may already have this rank's vote, so it is adopted.
    adopted = (
        before is None
        or before.generation != status.generation
        or before.is_new
    )
    side = _refuse_missed_arming(side)
    actions = _resend_pending_arming(side)
    if status.armed is not None:
        side, actions = _check_arming(side, status, adopted=adopted)
    if status.is_new:
        query = JoinQuery(side.rank, status.generation)
        actions = (*actions, *send_to_peers(side, query))
    side, prepared = _reply_when_staged(side)
    return side, (*actions, *prepared)


def _resend_pending_arming(side: Participant) -> tuple[Action, ...]:
    # A lost order would leave the rank unarmed and its peers waiting for it.
    # The engine treats a repeated order as the same one.
    pending, status = side.pending, side.status
    if pending is None or status is None or status.armed is not None:
        return ()
    return (OrderArm(status.generation, pending),)


def _handle_prepare(side: Participant, note: Prepare) -> Transition:
    if note.attempt.epoch < side.epoch:
        # The note comes from a coordinator that was replaced while it was
        # suspended.
        return side, ()
    side = replace(side, epoch=note.attempt.epoch, preparing=note)
    side, actions = _reply_when_staged(side)
    return side, actions or (OrderStage(note.map_id),)


def _reply_when_staged(side: Participant) -> Transition:
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


def _handle_arm(
    side: Participant, arming: Arming, members: tuple[Member, ...]
) -> Transition:
    attempt = arming.attempt
    if _already_accepted(side, attempt):
        return side, ()
    if side.status is not None and side.status.is_new:
        # A restarted rank may have voted before the restart, so it must not
        # refuse; it joins its group first. It is armed directly, at step 0,
        # only if the whole group is new. A late arming from the group's own
        # start must not start the rank apart from a group that has advanced
        # since.
        if arming.step > 0 or not peers_are_new(side):
            return side, ()
    if not _can_accept(side, arming, members):
        return record_refusal(side, attempt), ()
    order = OrderArm(members[side.rank].generation, arming)
    return replace(side, pending=arming), (order,)


def _already_accepted(side: Participant, attempt: Attempt) -> bool:
    # A late arming of an attempt that has already taken effect on this rank
    # must not be treated as a new attempt and refused.
    armed = side.armed is not None and side.armed.attempt == attempt
    return armed or has_switched(side, attempt)


def _can_accept(
    side: Participant, arming: Arming, members: tuple[Member, ...]
) -> bool:
    status = require_status(side)
    if side.armed is not None or arming.attempt in side.refused:
        return False
    # A former incarnation of this side daemon may have refused the attempt,
    # or another generation of the rank may have voted for it.
    if members[side.rank] != Member(status.generation, side.incarnation):
        return False
    # A peer that restarted after it had prepared joined the group on this
    # rank's reply that it is not armed. The rank must not be armed after it.
    return all(
        member.generation >= known_generation
        for member, known_generation in zip(
            members, side.generations, strict=True
        )
    )


def _handle_vote(side: Participant, vote: Vote) -> Transition:
    attempt = vote.attempt
    # A verdict from before a restart of the voting rank, or one requested by
    # a former incarnation of this side daemon, may be superseded: a restarted
    # rank adopts what its peers are armed for.
    superseded = vote.generation < side.generations[vote.rank]
    if superseded or vote.query_incarnation != side.incarnation:
        return side, ()
    if vote.verdict is Verdict.REFUSED:
        side = record_refusal(side, attempt)
        if engine_armed_for(side, attempt):
            return side, (OrderDisarm(attempt),)
        return side, ()
    new_vote = (attempt, vote.rank, vote.generation)
    # Votes for other attempts are dropped: only the attempt that the rank is
    # armed for can still be decided.
    recorded = {each for each in side.votes if each[0] == attempt}
    side = replace(side, votes=frozenset(recorded | {new_vote}))
    if not _is_unanimous(side, attempt):
        return side, ()
    return side, (
        *send_to_peers(side, Confirm(attempt)),
        *confirm_if_armed(side, attempt),
    )


def _is_unanimous(side: Participant, attempt: Attempt) -> bool:
    if attempt in side.refused or not is_armed_or_switched(side, attempt):
        return False
    voted = {
        rank
        for voted_for, rank, generation in side.votes
        if voted_for == attempt and generation >= side.generations[rank]
    }
    return voted >= set(range(side.size)) - {side.rank}


def _handle_query(side: Participant, query: Query) -> Transition:
    attempt = query.attempt
    # A refusal is final even if the engine is still armed, or is armed again
    # by a late order: peers may rely on it, and an order to disarm follows.
    refused = attempt in side.refused
    if not refused and is_armed_or_switched(side, attempt):
        return side, (_make_vote(side, query, Verdict.ARMED),)
    if side.pending is not None and side.pending.attempt == attempt:
        # The order to arm is still on its way to the engine. The waiting
        # rank repeats its query.
        return side, ()
    if side.status is not None and side.status.is_new:
        # A restarted rank does not know how it voted before, so it must not
        # refuse. It joins first and adopts what its peers are armed for.
        return side, ()
    side = record_refusal(side, attempt)
    return side, (_make_vote(side, query, Verdict.REFUSED),)


def _make_vote(side: Participant, query: Query, verdict: Verdict) -> Send:
    status = require_status(side)
    vote = Vote(
        query.attempt,
        side.rank,
        status.generation,
        verdict,
        query.incarnation,
    )
    return Send(query.rank, vote)


def _check_arming(
    side: Participant, status: RankStatus, *, adopted: bool
) -> Transition:
    assert status.armed is not None
    attempt = status.armed.attempt
    pending = side.pending is not None and side.pending.attempt == attempt
    is_known = pending or adopted or attempt in side.adopted
    if not is_known:
        # The engine was armed by a late order from a former incarnation of
        # this side daemon. The present one may already have replied that the
        # rank is not armed.
        side = record_refusal(side, attempt)
    if pending:
        side = replace(side, pending=None)
    if attempt in side.refused:
        return side, (OrderDisarm(attempt),)
    side = replace(side, adopted=latest_attempts(side.adopted | {attempt}))
    if status.confirmed:
        return side, ()
    if _is_unanimous(side, attempt):
        confirm = send_to_peers(side, Confirm(attempt))
        return side, (*confirm, OrderConfirm(attempt))
    should_query = attempt.coordinator == side.rank or status.holding
    if not should_query:
        return side, ()
    query = Query(attempt, side.rank, side.incarnation)
    return side, send_to_peers(side, query)


def _refuse_missed_arming(side: Participant) -> Participant:
    pending, status = side.pending, side.status
    if pending is None or status is None or status.armed is not None:
        return side
    passed = status.step > pending.step
    if passed or (status.entered and status.step == pending.step):
        # The order reached the engine after its step, so the engine refused
        # it.
        return record_refusal(replace(side, pending=None), pending.attempt)
    return side
