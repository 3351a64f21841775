"""Decides which streams are admitted, queued or rejected.

Handles a demand for more streams than a rank group can run with every pause
between events in time: without a limit all streams of the group become late
together. A stream is queued only while its first event can still be in time.
One that cannot be in time is rejected at once with the time after which there
should be capacity, so that its caller waits elsewhere instead of using up its
time in the queue. The retry of a rejected caller may be queued for longer: its
response is late in any case, and a caller that is rejected twice gets none.
While a group is broken, streams are queued for it if it should open soon
enough.

Where streams have different priorities, the more urgent ones come first. One of
the least urgent class is rejected at once if the others will take the permits
that it would need; the others wait, since they get the next permits before it.
"""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.admission.retry_times import (
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    clamp_retry_after,
    spread_until_double,
)
from linnetwind.admission.urgency import (
    ClassRate,
    caller_patience,
    can_be_served,
    precedence_per_s,
    precedes_others,
    reserve_for_urgent,
    room_per_s,
)

# How long the retry of a rejected caller may be queued. Callers give up a
# stream that shows nothing for two seconds; the rest is for its first event.
_MAX_RETRY_WAIT_S = 1.6
MAX_RETRY_WAIT = timedelta(seconds=_MAX_RETRY_WAIT_S)
# How much earlier than estimated a broken group may open.
_ESTIMATE_SLACK_MS = 500
_ESTIMATE_SLACK = timedelta(milliseconds=_ESTIMATE_SLACK_MS)
# Retries and less urgent streams leave permits free for the newcomers of this
# time, which is about as long as one can be queued and still be in time.
_NEWCOMER_WINDOW_MS = 300
_NEWCOMER_WINDOW = timedelta(milliseconds=_NEWCOMER_WINDOW_MS)
# A request that is rejected within this fraction of its target has lost
# nothing by the wait.
_EARLY = 0.125


@dataclass(frozen=True, slots=True)
class CapacityView:
    """The capacity of a service's rank groups when a stream asks for a permit.

    `free` counts the permits that this daemon may use now; it is below 0 if
    the daemon runs too many streams. `ends_per_s` is the number of its streams
    that end per second, `start_time` the time from a stream's start to its
    first event. `opens_in` is set while no group can run streams; `probes`
    streams may run then to find out whether one can. `reserved` of the free
    permits are left to streams that can be in time. `is_backoff` says that the
    group is healthy but all its ranks have asked for a backoff until
    `opens_in`, which is exact then and no estimate. `rates` are the arrivals
    by class; it is empty while all streams have the same priority.
    `free_by_class` counts the permits for each of `rates`. `late_free` counts
    the permits in groups with a slow rank, for streams that cannot be in time.
    A rejected caller should not retry before `recovers_in`, when such a group
    should be well again or a wave of arrivals should have fallen.
    `is_evacuated` says that all ranks are in evacuated data centres.
    """

    free: int
    ends_per_s: float
    start_time: timedelta
    opens_in: timedelta | None
    reserved: int = 0
    probes: int = 0
    is_backoff: bool = False
    is_evacuated: bool = False
    rates: tuple[ClassRate, ...] = ()
    free_by_class: tuple[int, ...] = ()
    late_free: int = 0
    recovers_in: timedelta = timedelta()

    def free_for(self, priority: int) -> int:
        """Return the permits that a stream of a priority may use now."""
        by_priority = {
            each.priority: free
            for each, free in zip(self.rates, self.free_by_class, strict=False)
        }
        return by_priority.get(priority, self.free)


@dataclass(frozen=True, slots=True)
class PendingStream:
    """A stream that asks for a permit.

    `ahead` streams precede it in the wait queue. `target` is the latency up to
    which a first event is on time. `returning` says that this is the retry of
    a rejected caller, or that the stream was queued for a broken group; its
    response is late in either case. `priority` is 0 for the most urgent
    streams, `gap` the longest pause that is in time, and `time_limit` how long
    the caller waits for the whole response. `spread`, from 0 to 1, spreads the
    retry times of callers that are rejected together.
    """

    ahead: int
    waited: timedelta
    target: timedelta
    returning: bool
    priority: int = 0
    gap: timedelta = timedelta()
    time_limit: timedelta | None = None
    spread: float = 0


@dataclass(frozen=True, slots=True)
class AdmitStream:
    """The stream may run."""


@dataclass(frozen=True, slots=True)
class QueueStream:
    """The stream may wait for a permit, for at most `max_wait`.

    If it `is_late` by now, streams of its class that can be in time precede it.
    """

    max_wait: timedelta
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class RejectStream:
    """The stream is rejected; there should be capacity after `retry_after`."""

    retry_after: timedelta
    reason: str


AdmissionDecision = AdmitStream | QueueStream | RejectStream
# The decision on a queued stream when the daemon stops before the stream could
# end. The shutdown, not this module, determines when its caller may retry.
STOPPING = RejectStream(timedelta(), 'the daemon is stopping')
# No one knows when an operator cancels an evacuation. The caller has one more
# try, which comes as late as possible.
EVACUATED = RejectStream(MAX_RETRY_AFTER, 'all data centres are evacuated')


def decide_admission(
    view: CapacityView, stream: PendingStream
) -> AdmissionDecision:
    """Decide whether a stream is admitted, queued or rejected.

    Args:
      view: The capacity of the service's groups.
      stream: The stream.

    Returns:
      The decision.
    """
    if view.is_evacuated:
        return EVACUATED
    if view.opens_in is not None:
        if view.probes > stream.ahead:
            return AdmitStream()
        return _decide_while_closed(view, stream)
    if view.rates:
        return _decide_by_class(view, stream)
    max_wait = MAX_RETRY_WAIT
    if not stream.returning:
        max_wait = stream.target - view.start_time
    wait_left = max_wait - stream.waited
    usable_permits = view.free - view.reserved * stream.returning
    if usable_permits > stream.ahead:
        return AdmitStream()
    missing_permits = stream.ahead + 1 - view.free
    wait = timedelta(seconds=missing_permits / max(view.ends_per_s, 1))
    will_be_late = wait > wait_left or stream.returning
    if view.late_free > 0 and will_be_late:
        return AdmitStream()
    hopeless = not stream.waited and will_be_late and not stream.returning
    if hopeless or wait_left <= timedelta():
        return _reject(max(wait, view.recovers_in), 'no room in time')
    return QueueStream(wait_left)


def reserve_for_arrivals(
    free: int, arrivals_per_s: float, ends_per_s: float
) -> int:
    """Return the permits that late streams leave to those that arrive next.

    When a group opens after a power loss, the streams queued for it would take
    all permits. Since all of them start at once, no permit is released for a
    second, and newcomers would become late as well. Nothing is reserved while
    as many streams end as arrive.

    Args:
      free: The permits that this daemon may use.
      arrivals_per_s: The streams that arrived in the last second.
      ends_per_s: The streams that ended in the last second.

    Returns:
      The number of permits that the next second lacks, at most half of the
      free ones: late streams have at most one retry left.
    """
    lacking = max(0, arrivals_per_s - ends_per_s)
    return max(0, min(free // 2, int(lacking)))


def reserve_for_newcomers(newcomers_per_s: float) -> int:
    """Return the permits that other streams leave free for the next newcomers.

    In an overload a newcomer can hardly wait. If retries, or less urgent
    streams, took each permit as it is released, newcomers would find none and
    become retries themselves. Running fewer streams makes passes shorter, so
    the reserve reduces the throughput only slightly.

    Args:
      newcomers_per_s: The streams of the last second that take precedence.

    Returns:
      The number of permits; 0 where each of hundreds of daemons has few
      callers.
    """
    return int(newcomers_per_s * _NEWCOMER_WINDOW.total_seconds())


def _decide_by_class(
    view: CapacityView, stream: PendingStream
) -> AdmissionDecision:
    """Decide on a stream while streams of several priorities ask for permits.

    A request that was held and is rejected in the end is worth least to its
    caller, so one that cannot be served in time is rejected at the start of
    its wait. But none is rejected while less urgent streams are served: it gets
    the next permit before them, although it may be late.
    """
    in_time_left = stream.target - view.start_time - stream.waited
    wait_left = in_time_left
    if stream.returning or precedes_others(view.rates, stream.priority):
        latest = caller_patience(stream.target, stream.gap, stream.time_limit)
        wait_left = latest - view.start_time - stream.waited
    free = view.free_for(stream.priority)
    if free - _reserved_by_class(view, stream) > stream.ahead:
        return AdmitStream()
    missing_permits = stream.ahead + 1 - free
    room = room_per_s(
        view.rates,
        max(view.ends_per_s, 1),
        stream.priority,
        returning=stream.returning,
    )
    is_in_time = can_be_served(missing_permits, room, in_time_left)
    if view.late_free > 0 and (stream.returning or not is_in_time):
        return AdmitStream()
    is_served = can_be_served(missing_permits, room, wait_left)
    # A retry is its caller's last try. Right after an outage no streams end, so
    # nothing is known of the room.
    is_early = stream.waited <= _EARLY * stream.target
    may_reject_early = is_early and not stream.returning and view.ends_per_s
    if wait_left <= timedelta() or (may_reject_early and not is_served):
        wait = timedelta(seconds=missing_permits / room)
        return RejectStream(
            spread_until_double(max(wait, view.recovers_in), stream.spread),
            'no room in time',
        )
    return QueueStream(wait_left, is_late=in_time_left <= timedelta())


def _reserved_by_class(view: CapacityView, stream: PendingStream) -> int:
    """Return the permits that a stream leaves to more urgent ones.

    An urgent stream can hardly wait: most of its target passes until its first
    event. It is in time only if it finds a free permit when it arrives.
    """
    urgent_per_s = precedence_per_s(
        view.rates, stream.priority, returning=False
    )
    urgent = max(
        reserve_for_urgent(view.rates, view.ends_per_s, stream.priority),
        reserve_for_newcomers(urgent_per_s),
    )
    if not stream.returning:
        return urgent
    ahead_per_s = precedence_per_s(view.rates, stream.priority, returning=True)
    return max(
        urgent,
        reserve_for_newcomers(ahead_per_s),
        reserve_for_arrivals(view.free, ahead_per_s, view.ends_per_s),
    )


def _decide_while_closed(
    view: CapacityView, stream: PendingStream
) -> AdmissionDecision:
    """Decide on a stream while no group of its service can run streams.

    After a power loss the callers of all interrupted streams retry before the
    groups have formed again. If these retries were rejected, most callers
    would have used up their last try and get no response.
    """
    wait_left = MAX_RETRY_WAIT - stream.waited
    # The retry of a caller is its last try, and the time of a group's opening
    # is only an estimate.
    is_estimate = stream.returning and not view.is_backoff
    slack = _ESTIMATE_SLACK if is_estimate else timedelta()
    if wait_left > timedelta() and view.opens_in < wait_left + slack:
        return QueueStream(wait_left)
    if view.is_backoff:
        return RejectStream(
            max(view.opens_in, MIN_RETRY_AFTER), 'all ranks want no streams'
        )
    return _reject(view.opens_in, 'group is broken')


def _reject(wait: timedelta, reason: str) -> RejectStream:
    return RejectStream(clamp_retry_after(wait), reason)
