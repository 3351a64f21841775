"""One rank's side daemon in a switch of maps: what it knows.

Everything here is lost when the side restarts; `mapswitch` decides with it.
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
    """One rank's side: everything here is lost when it restarts."""

    rank: int
    size: int
    incarnation: int
    epoch: int = 0
    status: RankStatus | None = None
    preparing: Prepare | None = None
    pledged: Arming | None = None
    refused: frozenset[Attempt] = frozenset()
    adopted: frozenset[Attempt] = frozenset()
    votes: frozenset[tuple[Attempt, int, int]] = frozenset()
    generations: tuple[int, ...] = ()
    replies: tuple[JoinReply, ...] = ()

    @property
    def armed(self) -> Arming | None:
        """Return what the rank is armed for or is about to be."""
        if self.pledged is not None:
            return self.pledged
        return self.status.armed if self.status else None


# The attempts that a side remembers having refused or taken over.
REMEMBERED = 64

Handled = tuple[Participant, tuple[Action, ...]]


def make_participant(rank: int, size: int, incarnation: int) -> Participant:
    """Build the side of one rank after a start or restart.

    Args:
      rank: The rank's number from 0.
      size: The number of ranks in the group.
      incarnation: Differs after each restart.

    Returns:
      The participant, which knows nothing yet.
    """
    return Participant(rank, size, incarnation, generations=(0,) * size)


def known_status(side: Participant) -> RankStatus:
    """Return the engine's status, once it has answered.

    Notes are only handled after that; see `handle_note`.

    Args:
      side: The participant.

    Returns:
      The status.
    """
    assert side.status is not None
    return side.status


def refuse(side: Participant, attempt: Attempt) -> Participant:
    """Return the participant after it has refused an attempt.

    Args:
      side: The participant before.
      attempt: The attempt.

    Returns:
      The participant; it will never be armed for the attempt.
    """
    return replace(side, refused=latest(side.refused | {attempt}))


def latest(attempts: frozenset[Attempt]) -> frozenset[Attempt]:
    """Return the attempts that are still worth remembering.

    The step of an attempt that so many have followed has long passed, so no
    rank can be armed for it any more.

    Args:
      attempts: All attempts.

    Returns:
      The latest of them.
    """
    return frozenset(sorted(attempts)[-REMEMBERED:])


def confirm_if_armed(side: Participant, attempt: Attempt) -> tuple[Action, ...]:
    """Return the order to confirm an attempt, if the rank is armed for it.

    Args:
      side: The participant.
      attempt: The attempt.

    Returns:
      The order, or nothing.
    """
    if engine_armed_for(side, attempt):
        return (OrderConfirm(attempt),)
    return ()


def engine_armed_for(side: Participant, attempt: Attempt) -> bool:
    """Return whether the engine says that it is armed for an attempt."""
    armed = side.status.armed if side.status else None
    return armed is not None and armed.attempt == attempt


def stands_for(side: Participant, attempt: Attempt) -> bool:
    """Return whether the rank is armed for an attempt or has switched by it."""
    return engine_armed_for(side, attempt) or has_switched(side, attempt)


def has_switched(side: Participant, attempt: Attempt) -> bool:
    """Return whether the rank has switched its map by an attempt."""
    return side.status is not None and side.status.switched == attempt


def send_to_peers(side: Participant, note: Any) -> tuple[Send, ...]:
    """Return the sending of a note to all other ranks.

    Args:
      side: The participant.
      note: The note.

    Returns:
      One action a rank.
    """
    return tuple(
        Send(rank, note) for rank in range(side.size) if rank != side.rank
    )
