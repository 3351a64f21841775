"""When a gateway that was told to stop takes requests and when it ends."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.peer_book import PeerBook
from linnetwind.stop_turns import (
    Fleet,
    Host,
    Told,
    fleet_of,
    is_awaited,
    may_drain,
    serves_on,
)

# The platform asks each daemon once a second whether it is ready and takes it
# out after two questions without a 200; until then it sends connections. Its
# callers come again within the same data centre.
_OUT_MS = 2_100
OUT = timedelta(milliseconds=_OUT_MS)
# A daemon for which nobody waits serves this long: until it is out for sure.
_NOTICE_MS = 2_600
NOTICE = timedelta(milliseconds=_NOTICE_MS)
# A daemon that serves for others says for this long that it is ready. Two
# questions later, at 3.5 s, it is out; at 4 s it has to be.
_READY_MS = 1_500
READY_FOR = timedelta(milliseconds=_READY_MS)
# The time from SIGTERM until the streams of a daemon end for which others
# wait. They are told to stop too, and have to drain after it.
_TURN_MS = 3_000
TURN = timedelta(milliseconds=_TURN_MS)
# The part of the time for stopping after which newcomers are known to be sent
# elsewhere even if the platform is not that fast. With 1 or 2 s in all, a
# daemon took requests up to its end: 11 and 12 were cut in a test.
CLOSES_AT = 0.6
# The part of the time for stopping in which a request is expected to end
# that is begun; streams may last longer than any before.
USE_OF_STOP = 0.9
# The part of it after which requests are cut; the rest is for the process to
# end before it is killed. What lasts into the last sixth may be cut.
CUT_AT = 0.96
# While no daemon takes a stream: a drain of some 2 s is halfway, and then the
# next process starts within 1 s.
_RETRY_LATER_MS = 1_500
_RETRY_LATER = timedelta(milliseconds=_RETRY_LATER_MS)


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The monotonic times of a stop.

    It begins at `begun_at`; from `closes_at` on newcomers are expected to go
    elsewhere. What is begun should end by `ends_at`; at `cuts_at` the process
    ends with whatever still runs.
    """

    begun_at: timedelta
    closes_at: timedelta
    ends_at: timedelta
    cuts_at: timedelta


def plan_stop(begun_at: timedelta, stop_within: timedelta) -> StopPlan:
    """Return the times of a stop.

    Args:
      begun_at: The monotonic time at which SIGTERM was heard.
      stop_within: The time until the process is killed.

    Returns:
      The times.
    """
    return StopPlan(
        begun_at,
        begun_at + min(NOTICE, stop_within * CLOSES_AT),
        begun_at + stop_within * USE_OF_STOP,
        begun_at + stop_within * CUT_AT,
    )


class Phase(enum.Enum):
    """What a daemon that was told to stop does."""

    SERVES = 'serves'
    HURRIES = 'hurries'
    DRAINS = 'drains'


def phase_of(plan: StopPlan, now: timedelta, own: Host, fleet: Fleet) -> Phase:
    """Return what a daemon that was told to stop does now.

    Args:
      plan: The times of its stop.
      now: The monotonic time.
      own: The daemon.
      fleet: The others.

    Returns:
      The phase.
    """
    if not may_drain(own, fleet):
        return Phase.SERVES
    if now >= plan.closes_at:
        return Phase.DRAINS
    return Phase.HURRIES if is_awaited(own, fleet) else Phase.SERVES


@dataclass(frozen=True, slots=True)
class Ending:
    """When a request ends: at the latest, and as others of its kind did."""

    latest: timedelta
    expected: timedelta


def may_begin(
    plan: StopPlan, now: timedelta, ending: Ending, phase: Phase
) -> bool:
    """Decide whether a stopping daemon begins a request.

    A request that came on an idle connection just after the notice was
    passed on whatever time was left; its caller saw an answer that broke
    off, of a request that may have run. Refused as not run, it is sent to
    another daemon at once. What ends by its own time limit cannot be cut.

    Args:
      plan: The times of the stop.
      now: The monotonic time.
      ending: When the request ends.
      phase: What the daemon does now.

    Returns:
      Whether the request is begun.
    """
    if ending.latest <= plan.ends_at:
        return True
    match phase:
        case Phase.SERVES:
            return now < plan.closes_at or ending.expected <= plan.ends_at
        case Phase.HURRIES:
            return ending.expected <= min(plan.begun_at + TURN, plan.ends_at)
        case Phase.DRAINS:
            return False


def retry_after(
    plan: StopPlan, now: timedelta, own: Host, fleet: Fleet
) -> timedelta:
    """Return when a caller may come back that is refused now.

    A caller comes back within the same data centre, and only once. Told to
    come at once where no other daemon was, it met the same one again.

    Args:
      plan: The times of the stop.
      now: The monotonic time.
      own: This daemon.
      fleet: The others.

    Returns:
      The time after which another daemon serves it.
    """
    phase = phase_of(plan, now, own, fleet)
    others = [
        each
        for each in fleet.serving
        if each.site == own.site and serves_on(each, own, fleet)
    ]
    if phase is not Phase.HURRIES:
        # Those that were told too may have as little time as this one.
        others = [each for each in others if each.told is None]
    if others:
        return timedelta()
    stays = any(each.told is None for each in fleet.serving)
    if phase is Phase.HURRIES or stays:
        # The same for all, since those that come back together start their
        # streams together and make all others late.
        return OUT if now < plan.begun_at + OUT else timedelta()
    # The platform sends callers back to those that are not ready.
    return _RETRY_LATER


def make_stop(
    clock: Clock,
    stop_within: timedelta,
    own: Host,
    book: Callable[[], PeerBook],
) -> 'GatewayStop':
    """Return the stop of a daemon that hears from its peers.

    Args:
      clock: The clock.
      stop_within: The time from SIGTERM until the process is killed.
      own: This daemon.
      book: Returns what is known of the peers.

    Returns:
      The stop, not begun.
    """
    return GatewayStop(
        clock, stop_within, own, lambda now: fleet_of(book(), now)
    )


class GatewayStop:
    """The stop of one gateway process, for all its threads."""

    def __init__(
        self,
        clock: Clock,
        stop_within: timedelta,
        own: Host,
        fleet: Callable[[timedelta], Fleet],
    ) -> None:
        """Start as a process that nobody has told to stop.

        Args:
          clock: The clock.
          stop_within: The time from SIGTERM until the process is killed.
          own: This daemon.
          fleet: Returns what is known of the others at a monotonic time.
        """
        self._clock = clock
        self._stop_within = stop_within
        self._host = own
        self._fleet = fleet
        self._plan: StopPlan | None = None
        self._is_ending = False

    def begin(self) -> None:
        """Take note that the process was told to stop."""
        self._plan = plan_stop(self._clock.elapsed(), self._stop_within)

    def is_begun(self) -> bool:
        """Return whether the process was told to stop."""
        return self._plan is not None

    def says_ready(self) -> bool:
        """Return whether the platform is to send callers here."""
        plan = self._plan
        if plan is None:
            return True
        now = self._clock.elapsed()
        if now >= plan.begun_at + READY_FOR:
            return False
        return not may_drain(self._own(plan), self._fleet(now))

    def is_draining(self) -> bool:
        """Return whether connections without a request are closed now."""
        plan = self._plan
        if plan is None:
            return False
        return self._phase(plan, self._clock.elapsed()) is not Phase.SERVES

    def may_end(self) -> bool:
        """Return whether the process ends once nothing is open."""
        plan = self._plan
        if plan is None or self._clock.elapsed() < plan.begun_at + OUT:
            return False
        return self.is_draining()

    def is_over(self) -> bool:
        """Return whether the time for what still runs is over."""
        plan = self._plan
        return plan is not None and self._clock.elapsed() >= plan.cuts_at

    def time_left(self) -> timedelta:
        """Return the time until the process is killed."""
        plan = self._plan
        if plan is None:
            return timedelta()
        killed_at = plan.begun_at + self._stop_within
        return max(timedelta(), killed_at - self._clock.elapsed())

    def end(self) -> None:
        """Take note that the process ends: nothing is begun any more.

        A call that came while the process wrote its last lines was passed on,
        since its own limit was short enough, and broke off with the process.
        """
        self._is_ending = True

    def may_begin(self, ending: Ending) -> bool:
        """Return whether a request may be begun now.

        Args:
          ending: When the request ends, in monotonic time.

        Returns:
          Whether it may.
        """
        plan = self._plan
        if plan is None:
            return True
        if self._is_ending:
            return False
        now = self._clock.elapsed()
        return may_begin(plan, now, ending, self._phase(plan, now))

    def has_time(self, ending: Ending) -> bool:
        """Return whether a request that waits is still worth its place.

        Args:
          ending: When the request ends if it is begun now.

        Returns:
          Whether that is before requests are cut, or callers do not know of
          the stop yet.
        """
        plan = self._plan
        if plan is None or self._clock.elapsed() < plan.closes_at:
            return True
        return min(ending.latest, ending.expected) <= plan.ends_at

    def retry_after(self) -> timedelta:
        """Return when a caller may come back that is refused now."""
        plan = self._plan
        if plan is None:
            return timedelta()
        now = self._clock.elapsed()
        return retry_after(plan, now, self._own(plan), self._fleet(now))

    def _phase(self, plan: StopPlan, now: timedelta) -> Phase:
        return phase_of(plan, now, self._own(plan), self._fleet(now))

    def _own(self, plan: StopPlan) -> Host:
        return replace(self._host, told=Told(self._host.name, plan.begun_at))
