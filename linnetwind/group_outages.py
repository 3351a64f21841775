"""Outages of rank groups: whether a group is broken, and for how long.

Handles the crash of a rank while hundreds of streams run and new ones arrive.
The other ranks stop making passes but report the group as open until their
engines give up. A stream that is sent there meanwhile is refused a second or
more later, which wastes one attempt of its caller. The gateway that detects the
crash therefore advertises it to all others, and no gateway sends streams to the
group before its planner has seen it open again.
"""

from dataclasses import dataclass, replace
from datetime import timedelta

# The expected length of the first outage that a daemon sees. Later outages are
# expected to last as long as the one before. A caller that is given too short a
# time retries twice in vain.
_DEFAULT_OUTAGE_S = 4
DEFAULT_OUTAGE = timedelta(seconds=_DEFAULT_OUTAGE_S)
# How long after a crash the planner's announcement that the group is still open
# is ignored, since it may rest on a poll from before the crash. After this time
# the planner has seen whether the group still makes passes; if it does, only
# the connection of one gateway to a rank of a healthy group was lost.
_CONFIRMATION_DELAY_MS = 600
_CONFIRMATION_DELAY = timedelta(milliseconds=_CONFIRMATION_DELAY_MS)
# A group that no planner announces is tried again after this time, which is
# more than twice the length of an outage.
_MAX_UNANNOUNCED_OUTAGE_S = 10
_MAX_UNANNOUNCED_OUTAGE = timedelta(seconds=_MAX_UNANNOUNCED_OUTAGE_S)


@dataclass(frozen=True, slots=True)
class GroupAnnouncement:
    """What the planner announced about a group.

    `at` is the monotonic time at which the announcement arrived.
    """

    at: timedelta
    epoch: int
    is_open: bool


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """Since when a group is broken, and how long its last outage was.

    `broken_at` is None while the group is not known to be broken. `epoch` is
    the last epoch in which the group was open and `opened_at` the time at which
    it opened; both are None until a planner has announced the group as open.
    `by_crash` tells that the crash of a rank was detected; otherwise only the
    planner has announced the group as broken. `outage` is the length of the
    last outage, or the default. Times are monotonic.
    """

    broken_at: timedelta | None = None
    by_crash: bool = False
    epoch: int | None = None
    opened_at: timedelta | None = None
    outage: timedelta = DEFAULT_OUTAGE


def record_crash(health: GroupHealth, at: timedelta) -> GroupHealth:
    """Update a group's health after the crash of one of its ranks.

    Args:
      health: The health so far.
      at: The monotonic time at which the crash was detected. A crash from
        before the group last opened is ignored.

    Returns:
      The updated health.
    """
    if health.opened_at is not None and at <= health.opened_at:
        return health
    if health.broken_at is not None and at <= health.broken_at:
        return health
    return replace(health, broken_at=at, by_crash=True)


def apply_announcement(
    health: GroupHealth, announcement: GroupAnnouncement
) -> GroupHealth:
    """Update a group's health after an announcement of its planner.

    Args:
      health: The health so far.
      announcement: What the planner announced.

    Returns:
      The updated health.
    """
    broken_at = health.broken_at
    if not announcement.is_open:
        since = announcement.at if broken_at is None else broken_at
        return replace(health, broken_at=since)
    if broken_at is None:
        opened_at = (
            announcement.at if health.opened_at is None else health.opened_at
        )
        return replace(health, epoch=announcement.epoch, opened_at=opened_at)
    has_reformed = (
        health.epoch is not None and announcement.epoch > health.epoch
    )
    may_be_outdated = (
        health.by_crash and announcement.at - broken_at < _CONFIRMATION_DELAY
    )
    if may_be_outdated and not has_reformed:
        return health
    outage = announcement.at - broken_at if has_reformed else health.outage
    return GroupHealth(
        epoch=announcement.epoch, opened_at=announcement.at, outage=outage
    )


def time_until_open(
    health: GroupHealth, planned: timedelta | None, now: timedelta
) -> timedelta | None:
    """Return how long it should take until a group runs streams again.

    Args:
      health: The group's health.
      planned: The time that the planner of a closed group expects; None if
        there is no recent announcement, or if it still calls the group open.
      now: The monotonic time.

    Returns:
      The expected time; None if the group is not known to be broken.
    """
    if health.broken_at is None:
        return None
    if planned is not None:
        return max(planned, timedelta())
    elapsed = now - health.broken_at
    if elapsed > _MAX_UNANNOUNCED_OUTAGE:
        return None
    return max(health.outage - elapsed, timedelta())
