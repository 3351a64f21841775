"""Graceful shutdown: until when a stopping gateway accepts requests."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.drain_order import (
    Fleet,
    FleetDaemon,
    StopTime,
    is_awaited,
    keeps_serving,
    may_drain,
    reachable_fleet,
)
from linnetwind.peers.peer_table import PeerTable

# The time after which the platform sends no more connections to a daemon that
# is not ready. The platform sends a readiness probe each second and takes the
# daemon out of rotation after two probes without a 200. A rejected caller
# retries within the same data centre.
_REMOVAL_DELAY_MS = 2_100
REMOVAL_DELAY = timedelta(milliseconds=_REMOVAL_DELAY_MS)
# How long a stopping daemon serves if no other daemon waits for it to drain:
# until it is certainly out of rotation.
_NOTICE_PERIOD_MS = 2_600
NOTICE_PERIOD = timedelta(milliseconds=_NOTICE_PERIOD_MS)
# How long a daemon still reports that it is ready if it has to serve while
# others drain. Two probes later, 3.5 s after SIGTERM, it is out of rotation,
# which has to be so at 4 s.
_READY_PERIOD_MS = 1_500
READY_PERIOD = timedelta(milliseconds=_READY_PERIOD_MS)
# The time from SIGTERM within which streams have to end on a daemon that other
# stopping daemons wait for, since these have to drain after it.
_AWAITED_DRAIN_MS = 3_000
AWAITED_DRAIN_TIME = timedelta(milliseconds=_AWAITED_DRAIN_MS)
# The fraction of the grace period after which new callers are expected to be
# routed elsewhere, even if the platform is not that fast. Without it, a daemon
# with a grace period of 1 or 2 s accepted requests up to its end, and the end
# of the process cut 11 and 12 of them in a test.
CLOSE_FRACTION = 0.6
# The fraction of the grace period within which an accepted request is expected
# to end. The rest is a reserve, since a stream may last longer than all before.
COMPLETION_FRACTION = 0.9
# The fraction of the grace period after which the process ends and cuts the
# requests in flight; it needs the rest to end before it is killed. Requests
# that run into the last sixth of the grace period may be cut.
CUT_FRACTION = 0.96
# The retry delay while no daemon accepts a stream: the rest of a drain that
# takes about 2 s and is halfway done, and the restart within 1 s.
_DRAINED_RETRY_DELAY_MS = 1_500
_DRAINED_RETRY_DELAY = timedelta(milliseconds=_DRAINED_RETRY_DELAY_MS)


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The monotonic times of a graceful shutdown.

    It starts with the stop signal at `stop_started_at`. From `closes_at` on new
    callers are expected to be routed to other daemons, and requests are only
    accepted if their time limit ends by `ends_at`. At `cuts_at` the process
    ends and cuts the requests in flight.
    """

    stop_started_at: timedelta
    closes_at: timedelta
    ends_at: timedelta
    cuts_at: timedelta


def plan_stop(stop_started_at: timedelta, stop_within: timedelta) -> StopPlan:
    """Return the times of a graceful shutdown.

    Args:
      stop_started_at: The monotonic time at which SIGTERM was received.
      stop_within: The grace period: the time until the process is killed.

    Returns:
      The times.
    """
    return StopPlan(
        stop_started_at,
        stop_started_at + min(NOTICE_PERIOD, stop_within * CLOSE_FRACTION),
        stop_started_at + stop_within * COMPLETION_FRACTION,
        stop_started_at + stop_within * CUT_FRACTION,
    )


class StopPhase(enum.Enum):
    """The phase of a stopping daemon.

    SERVES: it accepts requests, since callers are still routed to it or other
    daemons have to drain first. HURRIES: it is its turn to drain and other
    daemons wait for it; it accepts only requests that are expected to end soon.
    DRAINS: it accepts only requests whose own time limit ends in time, as all
    daemons do after their notice period.
    """

    SERVES = 'serves'
    HURRIES = 'hurries'
    DRAINS = 'drains'


def stop_phase(
    plan: StopPlan, now: timedelta, own: FleetDaemon, fleet: Fleet
) -> StopPhase:
    """Return the current phase of a stopping daemon.

    Args:
      plan: The times of its shutdown.
      now: The monotonic time.
      own: The daemon.
      fleet: The other daemons.

    Returns:
      The phase.
    """
    if not may_drain(own, fleet):
        return StopPhase.SERVES
    if now >= plan.closes_at:
        return StopPhase.DRAINS
    return StopPhase.HURRIES if is_awaited(own, fleet) else StopPhase.SERVES


@dataclass(frozen=True, slots=True)
class EndEstimate:
    """The monotonic times at which a request ends.

    `latest` is given by its time limit and is a bound. `expected` follows from
    the durations of earlier requests of its kind; the request may last longer.
    """

    latest: timedelta
    expected: timedelta


def may_start(
    plan: StopPlan, now: timedelta, ending: EndEstimate, phase: StopPhase
) -> bool:
    """Decide whether a stopping daemon accepts a request.

    A request that does not end in time is cut when the process ends: its caller
    receives an interrupted response to a request that may have run. If the
    request is rejected as not run, the caller retries it at another daemon at
    once. This also holds for a request on an idle connection just after the
    notice period. A request whose own time limit ends in time cannot be cut.

    Within the notice period most callers have no other daemon yet, and nearly
    all streams end in time. Afterwards an estimate is not enough: after short
    responses it is far too low for a long one.

    Args:
      plan: The times of the shutdown.
      now: The monotonic time.
      ending: When the request ends.
      phase: The current phase of the daemon.

    Returns:
      Whether the request is accepted.
    """
    if ending.latest <= plan.ends_at:
        return True
    if now >= plan.closes_at:
        return False
    match phase:
        case StopPhase.SERVES:
            return True
        case StopPhase.HURRIES:
            return ending.expected <= min(
                plan.stop_started_at + AWAITED_DRAIN_TIME, plan.ends_at
            )
        case StopPhase.DRAINS:
            return False


def retry_after(
    plan: StopPlan, now: timedelta, own: FleetDaemon, fleet: Fleet
) -> timedelta:
    """Return the delay after which a rejected caller should retry.

    A caller retries once, within the same data centre. If it retried at once
    while no other daemon serves there, it would reach the same daemon again.

    Args:
      plan: The times of the shutdown.
      now: The monotonic time.
      own: This daemon.
      fleet: The other daemons.

    Returns:
      The time after which another daemon is expected to serve the caller.
    """
    phase = stop_phase(plan, now, own, fleet)
    others = [
        each
        for each in fleet.serving
        if each.site == own.site and keeps_serving(each, own, fleet)
    ]
    if phase is not StopPhase.HURRIES:
        # Other stopping daemons may have as little time left as this one.
        others = [each for each in others if each.stop_time is None]
    if others:
        return timedelta()
    any_stays = any(each.stop_time is None for each in fleet.serving)
    if phase is StopPhase.HURRIES or any_stays:
        # The same delay for each caller rather than the same moment for all:
        # callers that retry together start their streams together and make all
        # other streams late.
        return (
            REMOVAL_DELAY
            if now < plan.stop_started_at + REMOVAL_DELAY
            else timedelta()
        )
    # If no daemon is ready, the platform routes callers to those that are not.
    return _DRAINED_RETRY_DELAY


def make_stop(
    clock: Clock,
    stop_within: timedelta,
    own: FleetDaemon,
    peer_table: Callable[[], PeerTable],
) -> 'GatewayStop':
    """Return the graceful shutdown of a daemon that has peers.

    Args:
      clock: The clock.
      stop_within: The time from SIGTERM until the process is killed.
      own: This daemon.
      peer_table: Returns the current table of peers.

    Returns:
      The shutdown, not started.
    """
    return GatewayStop(
        clock, stop_within, own, lambda now: reachable_fleet(peer_table(), now)
    )


class GatewayStop:
    """The graceful shutdown of one gateway process, for all its threads."""

    def __init__(
        self,
        clock: Clock,
        stop_within: timedelta,
        own: FleetDaemon,
        fleet: Callable[[timedelta], Fleet],
    ) -> None:
        """Start as a process that has received no stop signal.

        Args:
          clock: The clock.
          stop_within: The time from SIGTERM until the process is killed.
          own: This daemon.
          fleet: Returns the other daemons at a monotonic time.
        """
        self._clock = clock
        self._stop_within = stop_within
        self._host = own
        self._fleet = fleet
        self._plan: StopPlan | None = None
        self._is_ending = False

    def begin(self) -> None:
        """Start the shutdown: the process has received a stop signal."""
        self._plan = plan_stop(self._clock.elapsed(), self._stop_within)

    def is_stopping(self) -> bool:
        """Return whether the process has received a stop signal."""
        return self._plan is not None

    def reports_ready(self) -> bool:
        """Return whether the platform should route callers here."""
        plan = self._plan
        if plan is None:
            return True
        now = self._clock.elapsed()
        if now >= plan.stop_started_at + READY_PERIOD:
            return False
        return not may_drain(self._own(plan), self._fleet(now))

    def is_draining(self) -> bool:
        """Return whether idle connections are to be closed now."""
        plan = self._plan
        if plan is None:
            return False
        return self._phase(plan, self._clock.elapsed()) is not StopPhase.SERVES

    def may_end(self) -> bool:
        """Return whether the process may end once no connection is open."""
        plan = self._plan
        if (
            plan is None
            or self._clock.elapsed() < plan.stop_started_at + REMOVAL_DELAY
        ):
            return False
        return self.is_draining()

    def is_over(self) -> bool:
        """Return whether the process ends now and cuts requests in flight."""
        plan = self._plan
        return plan is not None and self._clock.elapsed() >= plan.cuts_at

    def time_left(self) -> timedelta:
        """Return the time until the process is killed."""
        plan = self._plan
        if plan is None:
            return timedelta()
        killed_at = plan.stop_started_at + self._stop_within
        return max(timedelta(), killed_at - self._clock.elapsed())

    def end(self) -> None:
        """Accept no request any more, since the process ends.

        Without this, a call with a short enough time limit that arrives while
        the process writes its last log lines would be forwarded, and cut when
        the process ends.
        """
        self._is_ending = True

    def may_start(self, ending: EndEstimate) -> bool:
        """Return whether a request may be accepted now.

        Args:
          ending: When the request ends.

        Returns:
          Whether it may be accepted.
        """
        plan = self._plan
        if plan is None:
            return True
        if self._is_ending:
            return False
        now = self._clock.elapsed()
        return may_start(plan, now, ending, self._phase(plan, now))

    def has_time(self, ending: EndEstimate) -> bool:
        """Return whether a queued request should stay in the wait queue.

        An estimate is enough here: a request without a bound was accepted
        within the notice period, when it could have started at once. The
        estimate only rejects, so that its caller retries elsewhere in time.

        Args:
          ending: When the request ends if it starts now.

        Returns:
          Whether it should end before requests are cut, or callers are still
          routed to this daemon.
        """
        plan = self._plan
        if plan is None or self._clock.elapsed() < plan.closes_at:
            return True
        return min(ending.latest, ending.expected) <= plan.ends_at

    def retry_after(self) -> timedelta:
        """Return the delay after which a rejected caller should retry."""
        plan = self._plan
        if plan is None:
            return timedelta()
        now = self._clock.elapsed()
        return retry_after(plan, now, self._own(plan), self._fleet(now))

    def _phase(self, plan: StopPlan, now: timedelta) -> StopPhase:
        return stop_phase(plan, now, self._own(plan), self._fleet(now))

    def _own(self, plan: StopPlan) -> FleetDaemon:
        return replace(
            self._host,
            stop_time=StopTime(self._host.name, plan.stop_started_at),
        )
