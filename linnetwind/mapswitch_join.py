"""How a restarted rank joins its group again.

A restarted rank has lost what it was armed for, so it asks all its peers and
starts where the furthest of them is, armed for whatever any of them is.
"""

from dataclasses import replace

from linnetwind.mapswitch_side import Handled, Participant, known_status
from linnetwind.mapswitch_types import (
    Action,
    Arming,
    JoinReply,
    OrderStart,
    Send,
)


def group_is_new(side: Participant) -> bool:
    """Return whether all peers have said that they are new as well."""
    replied = {reply.rank for reply in side.replies}
    return len(replied) == side.size - 1 and all(
        reply.map_id is None for reply in side.replies
    )


def answer_join_query(side: Participant, rank: int, generation: int) -> Handled:
    """Tell a restarted rank where the group is.

    Args:
      side: The participant before.
      rank: The rank that asks.
      generation: Its generation since the restart.

    Returns:
      The participant after, and the reply.
    """
    status = known_status(side)
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


def take_join_reply(side: Participant, reply: JoinReply) -> Handled:
    """Take a peer's reply after a restart; start when all have replied.

    Args:
      side: The participant before.
      reply: The reply.

    Returns:
      The participant after, and the order to start, if it is time.
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
        # All ranks are new: the group starts by an attempt at step 0.
        return ()
    if not running:
        return (OrderStart(generation, 0, None, armed[0], None),)
    # Of peers that wait at one step some may have switched already; the map
    # of a rank that is no longer armed for that step is the decided one.
    furthest = max(running, key=_progress)
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


def _progress(reply: JoinReply) -> tuple[int, bool]:
    waits = reply.armed is not None and reply.armed.step <= reply.step
    return reply.step, not waits


def _is_pending(arming: Arming, furthest: JoinReply) -> bool:
    if arming.step > furthest.step:
        return True
    return arming.step == furthest.step and not _progress(furthest)[1]
