"""State of one rank's side daemon in an expert-map switch.

The state is kept in memory only and is lost when the side daemon restarts.
`mapswitch` makes the decisions that are based on it.
"""

from dataclasses import dataclass, replace
from typing import Any

from linnetwind.mapswitch_types import (
    Action,
    Arming,
    Attempt,
    JoinReply,
    OrderConfirm,
    Prepare,
    RankStatus,
    Send,
)


@dataclass(frozen=True)
class Participant:
    """The volatile state of one rank's side daemon.

    `incarnation` identifies this run of the side daemon. `epoch` is the
    highest fencing number of a coordinator seen so far, and `status` the
    engine's last status, None before the first one. `preparing` is the
    request to load a map that has not been answered yet. `pending` is an
    arming that was ordered but does not show in the engine's status yet.
    `refused` are attempts that the rank will never be armed for, `adopted`
    attempts that its engine was seen armed for. `votes` holds the attempt,
    rank and generation of each vote for arming. `generations` is the highest
    known generation of each rank, and `replies` are the peers' replies to
    this rank's `JoinQuery` after a restart.
    """

    rank: int
    size: int
    incarnation: int
    epoch: int = 0
    status: RankStatus | None = None
    preparing: Prepare | None = None
    pending: Arming | None = None
    refused: frozenset[Attempt] = frozenset()
    adopted: frozenset[Attempt] = frozenset()
    votes: frozenset[tuple[Attempt, int, int]] = frozenset()
    generations: tuple[int, ...] = ()
    replies: tuple[JoinReply, ...] = ()

    @property
    def armed(self) -> Arming | None:
        """Return the arming that is in force or has been ordered."""
        if self.pending is not None:
            return self.pending
        return self.status.armed if self.status else None


# How many refused and how many adopted attempts a side daemon remembers, so
# that its memory does not grow with every rebalancing of the group.
MAX_REMEMBERED_ATTEMPTS = 64

Transition = tuple[Participant, tuple[Action, ...]]


def make_participant(rank: int, size: int, incarnation: int) -> Participant:
    """Build the state of a side daemon after a start or restart.

    Args:
      rank: The rank's number from 0.
      size: The number of ranks in the group.
      incarnation: A number that differs after each restart.

    Returns:
      The participant, without any status, votes or replies.
    """
    return Participant(rank, size, incarnation, generations=(0,) * size)


def require_status(side: Participant) -> RankStatus:
    """Return the engine's status, which must have been read before.

    `handle_note` drops all notes that arrive before the first status.

    Args:
      side: The participant.

    Returns:
      The status.
    """
    assert side.status is not None
    return side.status


def record_refusal(side: Participant, attempt: Attempt) -> Participant:
    """Record that the rank refuses an attempt.

    Args:
      side: The participant before.
      attempt: The attempt.

    Returns:
      The participant after; it will never be armed for the attempt.
    """
    return replace(side, refused=latest_attempts(side.refused | {attempt}))


def latest_attempts(attempts: frozenset[Attempt]) -> frozenset[Attempt]:
    """Return the latest `MAX_REMEMBERED_ATTEMPTS` attempts.

    Older ones may be dropped: the step of an attempt that so many others
    have followed has long passed, so no rank can be armed for it any more.

    Args:
      attempts: All attempts.

    Returns:
      The latest of them.
    """
    return frozenset(sorted(attempts)[-MAX_REMEMBERED_ATTEMPTS:])


def confirm_if_armed(side: Participant, attempt: Attempt) -> tuple[Action, ...]:
    """Return the order to confirm an attempt, if the rank is armed for it.

    Args:
      side: The participant.
      attempt: The attempt.

    Returns:
      The order, or an empty tuple.
    """
    if engine_armed_for(side, attempt):
        return (OrderConfirm(attempt),)
    return ()


def engine_armed_for(side: Participant, attempt: Attempt) -> bool:
    """Return whether the engine reports being armed for an attempt."""
    armed = side.status.armed if side.status else None
    return armed is not None and armed.attempt == attempt


def is_armed_or_switched(side: Participant, attempt: Attempt) -> bool:
    """Return whether the rank is armed for an attempt or has completed it."""
    return engine_armed_for(side, attempt) or has_switched(side, attempt)


def has_switched(side: Participant, attempt: Attempt) -> bool:
    """Return whether an attempt was the last to switch the rank's map."""
    return side.status is not None and side.status.switched == attempt


def send_to_peers(side: Participant, note: Any) -> tuple[Send, ...]:
    """Return the actions that send a note to all other ranks.

    Args:
      side: The participant.
      note: The note.

    Returns:
      One action for each other rank.
    """
    return tuple(
        Send(rank, note) for rank in range(side.size) if rank != side.rank
    )
