"""When a rank group is known to run nothing, and for how long.

The load that this answers: a rank crashes while hundreds of streams run and
come. The other ranks stand still until their engines give up, and report the
group as open until then. What is sent there meanwhile is refused a second or
more later, and its caller has used up a try. The gateway that sees the crash
therefore tells all others, and none of them sends streams to the group before
its planner has seen it open again.
"""

from dataclasses import dataclass, replace
from datetime import timedelta

# What is expected of the first outage that a daemon sees; then the last one. A
# caller that is told too short a time comes back twice in vain.
_USUAL_OUTAGE_S = 4
USUAL_OUTAGE = timedelta(seconds=_USUAL_OUTAGE_S)
# What the planner says so soon after a crash may come from a look before it.
# By then it has seen whether the group's passes go on: one gateway may have
# lost its way to a rank of a sound group.
_CONFIRMED_MS = 600
_CONFIRMED = timedelta(milliseconds=_CONFIRMED_MS)
# Without any word of a planner a group is tried again after this, more than
# twice an outage.
_FORGOTTEN_S = 10
_FORGOTTEN = timedelta(seconds=_FORGOTTEN_S)


@dataclass(frozen=True, slots=True)
class GroupWord:
    """What the planner said of a group at a monotonic time."""

    at: timedelta
    epoch: int
    is_open: bool


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """Since when a group is broken, and what its last outage took.

    `broken_at` is None while the group is not known to be broken, `epoch` the
    last one in which it was open; it is None, as is `opened_at`, before the
    first word of a planner. `by_crash` says that a rank was seen to crash, not
    only that the planner called the group broken. Times are monotonic.
    """

    broken_at: timedelta | None = None
    by_crash: bool = False
    epoch: int | None = None
    opened_at: timedelta | None = None
    outage: timedelta = USUAL_OUTAGE


def note_crash(health: GroupHealth, at: timedelta) -> GroupHealth:
    """Return a group's health after a rank of it has crashed.

    Args:
      health: The health so far.
      at: When the crash was seen; one before the group last opened says
        nothing any more.

    Returns:
      The health.
    """
    if health.opened_at is not None and at <= health.opened_at:
        return health
    if health.broken_at is not None and at <= health.broken_at:
        return health
    return replace(health, broken_at=at, by_crash=True)


def take_word(health: GroupHealth, word: GroupWord) -> GroupHealth:
    """Return a group's health after a word of its planner.

    Args:
      health: The health so far.
      word: What the planner said.

    Returns:
      The health.
    """
    broken_at = health.broken_at
    if not word.is_open:
        since = word.at if broken_at is None else broken_at
        return replace(health, broken_at=since)
    if broken_at is None:
        opened_at = word.at if health.opened_at is None else health.opened_at
        return replace(health, epoch=word.epoch, opened_at=opened_at)
    formed_anew = health.epoch is not None and word.epoch > health.epoch
    unconfirmed = health.by_crash and word.at - broken_at < _CONFIRMED
    if unconfirmed and not formed_anew:
        return health
    outage = word.at - broken_at if formed_anew else health.outage
    return GroupHealth(epoch=word.epoch, opened_at=word.at, outage=outage)


def expected_opening(
    health: GroupHealth, planned: timedelta | None, now: timedelta
) -> timedelta | None:
    """Return when a group should run streams again.

    Args:
      health: The group's health.
      planned: The time until then by a closed group's planner; None without a
        fresh word of one, or if it still says that the group is open.
      now: The monotonic time.

    Returns:
      The time until then; None if the group is not known to be broken.
    """
    if health.broken_at is None:
        return None
    if planned is not None:
        return max(planned, timedelta())
    since = now - health.broken_at
    if since > _FORGOTTEN:
        return None
    return max(health.outage - since, timedelta())
