"""How a restarted rank rejoins its group.

A restarted rank has lost what it was armed for. It therefore queries all its
peers and starts at the step of the furthest one, armed for the attempt that
any of them is armed for.
"""

from dataclasses import replace

from linnetwind.mapswitch_side import Participant, Transition, require_status
from linnetwind.mapswitch_types import (
    Action,
    Arming,
    JoinReply,
    OrderStart,
    Send,
)


def peers_are_new(side: Participant) -> bool:
    """Return whether all peers have replied that they are new as well."""
    replied = {reply.rank for reply in side.replies}
    return len(replied) == side.size - 1 and all(
        reply.map_id is None for reply in side.replies
    )


def reply_to_join_query(
    side: Participant, rank: int, generation: int
) -> Transition:
    """Reply to a restarted rank with this rank's step, map and arming.

    Args:
      side: The participant before.
      rank: The rank that sent the query.
      generation: The generation of that rank since its restart.

    Returns:
      The participant after, and the reply.
    """
    status = require_status(side)
    generations = list(side.generations)
    generations[rank] = max(generations[rank], generation)
    side = replace(side, generations=tuple(generations))
    reply = JoinReply(
        side.rank,
        generation,
        status.step,
        status.map_id,
        side.armed,
        status.switched,
    )
    return side, (Send(rank, reply),)


def apply_join_reply(side: Participant, reply: JoinReply) -> Transition:
    """Store a peer's reply; start the rank once all peers have replied.

    Args:
      side: The participant before.
      reply: The reply.

    Returns:
      The participant after, and the order to start if all have replied.
    """
    status = side.status
    if status is None or not status.is_new:
        return side, ()
    if reply.generation != status.generation:
        return side, ()
    others = tuple(each for each in side.replies if each.rank != reply.rank)
    side = replace(side, replies=(*others, reply))
    if len(side.replies) < side.size - 1:
        return side, ()
    return side, _start(side, status.generation)


def _start(side: Participant, generation: int) -> tuple[Action, ...]:
    running = [each for each in side.replies if each.map_id is not None]
    armed = [each.armed for each in side.replies if each.armed is not None]
    if not running and not armed:
        # All ranks are new: an attempt at step 0 starts the group.
        return ()
    if not running:
        return (OrderStart(generation, 0, None, armed[0], None),)
    # Some of the peers at the same step may have switched already. The map of
    # a rank that is no longer armed for that step is the decided one, so
    # `_progress_key` ranks it above peers that still wait.
    furthest = max(running, key=_progress_key)
    pending = [each for each in armed if _is_pending(each, furthest)]
    arming = pending[0] if pending else None
    return (
        OrderStart(
            generation,
            furthest.step,
            furthest.map_id,
            arming,
            furthest.switched,
        ),
    )


def _progress_key(reply: JoinReply) -> tuple[int, bool]:
    waits = reply.armed is not None and reply.armed.step <= reply.step
    return reply.step, not waits


def _is_pending(arming: Arming, furthest: JoinReply) -> bool:
    if arming.step > furthest.step:
        return True
    return arming.step == furthest.step and not _progress_key(furthest)[1]
