"""When a gateway that was told to stop takes requests and when it cuts."""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock

# The platform takes a daemon out after two questions, one a second, that
# were not answered with 200; until then it still sends connections.
_NOTICE_MS = 2_600
NOTICE = timedelta(milliseconds=_NOTICE_MS)
# The part of the time for stopping after which requests are cut. A request
# that lasts into the last sixth of it may be cut, one that ends before may
# not; the rest is for the process to end before it is killed.
USE_OF_STOP = 0.9


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The monotonic times of a stop.

    From `closes_at` on the platform sends callers elsewhere, at `cuts_at` the
    process ends with whatever still runs.
    """

    closes_at: timedelta
    cuts_at: timedelta


def plan_stop(begun_at: timedelta, stop_within: timedelta) -> StopPlan:
    """Return the times of a stop.

    Args:
      begun_at: The monotonic time of SIGTERM.
      stop_within: The time until the process is killed.

    Returns:
      The times.
    """
    return StopPlan(begun_at + NOTICE, begun_at + stop_within * USE_OF_STOP)


def may_begin(plan: StopPlan, now: timedelta, until: timedelta) -> bool:
    """Decide whether a stopping daemon begins a request.

    A request that came on an idle connection just after the notice was
    passed on whatever time was left; its caller saw an answer that broke
    off, of a request that may have run. Refused as not run, it is sent to
    another daemon at once. What ends by its own time limit cannot be cut.

    Args:
      plan: The times of the stop.
      now: The monotonic time.
      until: When the request ends at the latest.

    Returns:
      Whether the request is begun.
    """
    return now < plan.closes_at or until <= plan.cuts_at


class GatewayStop:
    """The stop of one gateway process, for all its threads."""

    def __init__(self, clock: Clock, stop_within: timedelta) -> None:
        """Start as a process that nobody has told to stop.

        Args:
          clock: The clock.
          stop_within: The time from SIGTERM until the process is killed.
        """
        self._clock = clock
        self._stop_within = stop_within
        self._plan: StopPlan | None = None

    def begin(self) -> None:
        """Take note that the process was told to stop."""
        self._plan = plan_stop(self._clock.elapsed(), self._stop_within)

    def is_begun(self) -> bool:
        """Return whether the process was told to stop."""
        return self._plan is not None

    def is_closing(self) -> bool:
        """Return whether connections without a request are closed now."""
        plan = self._plan
        return plan is not None and self._clock.elapsed() >= plan.closes_at

    def is_over(self) -> bool:
        """Return whether the time for what still runs is over."""
        plan = self._plan
        return plan is not None and self._clock.elapsed() >= plan.cuts_at

    def may_begin(self, until: timedelta) -> bool:
        """Return whether a request may be begun now.

        Args:
          until: When the request ends at the latest, in monotonic time.

        Returns:
          Whether it may.
        """
        plan = self._plan
        if plan is None:
            return True
        return may_begin(plan, self._clock.elapsed(), until)
