"""Tests of the decisions to admit, queue and reject streams."""

from dataclasses import replace

from linnetwind.admission.admission_policy import (
    MAX_RETRY_WAIT,
    AdmitStream,
    QueueStream,
    RejectStream,
    decide_admission,
    reserve_for_arrivals,
)
from linnetwind.admission.retry_times import (
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    spread_until_latest,
)
from standins.gateway_fixtures import MS
from standins.stream_fixtures import FIRST, VIEW


def test_a_stream_is_admitted_while_permits_are_free():
    assert decide_admission(VIEW, FIRST) == AdmitStream()


def test_a_stream_is_queued_if_a_permit_is_released_in_time():
    full = replace(VIEW, free=0)
    assert decide_admission(full, FIRST) == QueueStream(300 * MS)


def test_a_stream_that_would_be_late_is_rejected_at_once():
    # Twenty streams are queued and 40 permits are released per second, so this
    # stream would start after its target. Its caller gets a retry time instead
    # of waiting until its time is over.
    full = replace(VIEW, free=0)
    last = replace(FIRST, ahead=20)
    decision = decide_admission(full, last)
    assert isinstance(decision, RejectStream)
    assert MIN_RETRY_AFTER <= decision.retry_after <= MAX_RETRY_AFTER


def test_a_stream_that_cannot_be_in_time_runs_in_a_slow_group():
    slow = replace(VIEW, free=0, late_free=3)
    assert decide_admission(slow, FIRST) == QueueStream(300 * MS)
    for late in (
        replace(FIRST, ahead=20),
        replace(FIRST, ahead=20, waited=MS),
        replace(FIRST, waited=301 * MS),
        replace(FIRST, returning=True),
    ):
        assert decide_admission(slow, late) == AdmitStream()


def test_a_caller_retries_when_the_slow_group_should_be_well():
    slow = replace(VIEW, free=-3, recovers_in=2_000 * MS, ends_per_s=100)
    last = replace(FIRST, ahead=60)
    assert decide_admission(slow, last).retry_after == 2_000 * MS
    latest = spread_until_latest(2_000 * MS, 1)
    assert spread_until_latest(2_000 * MS, 0) == 2_000 * MS < latest
    assert latest == MAX_RETRY_AFTER


def test_a_retry_is_queued_where_newcomers_are_rejected():
    # The group is over its limit after a stall. The response to a retry is
    # late in any case, and a caller that is rejected again gets none.
    over = replace(VIEW, free=-32)
    returning = replace(FIRST, returning=True)
    assert isinstance(decide_admission(over, FIRST), RejectStream)
    assert isinstance(decide_admission(over, returning), QueueStream)


def test_a_queued_stream_is_rejected_when_its_wait_is_over():
    full = replace(VIEW, free=0)
    assert isinstance(
        decide_admission(full, replace(FIRST, waited=301 * MS)), RejectStream
    )


def test_the_maximum_wait_leaves_time_for_the_first_event():
    # Passes are long, so a first event comes 0.35 s after the start. In a
    # lasting overload streams are queued for as long as allowed: with 0.2 s
    # assumed for the start, half of the served streams were slightly late.
    slow = replace(VIEW, free=0, start_time=350 * MS)
    assert decide_admission(slow, FIRST) == QueueStream(150 * MS)
    waited = replace(FIRST, waited=151 * MS)
    assert isinstance(decide_admission(slow, waited), RejectStream)


def test_a_group_that_opens_too_late_rejects_until_it_opens():
    broken = replace(VIEW, opens_in=1700 * MS)
    assert decide_admission(broken, FIRST) == RejectStream(
        1700 * MS, 'group is broken'
    )
    returning = replace(FIRST, returning=True)
    assert isinstance(decide_admission(broken, returning), QueueStream)


def test_streams_are_queued_for_a_group_that_opens_soon():
    # After a power loss of all hosts, callers retry 0.8 s before the groups
    # have formed again, most of them for the last time. A rejected caller gets
    # no response; a queued stream is late but complete.
    broken = replace(VIEW, opens_in=800 * MS)
    assert decide_admission(broken, FIRST) == QueueStream(MAX_RETRY_WAIT)
    waited = replace(FIRST, waited=MAX_RETRY_WAIT - 700 * MS)
    assert decide_admission(broken, waited) == RejectStream(
        800 * MS, 'group is broken'
    )


def test_late_streams_leave_permits_to_the_next_arrivals():
    # Groups open after a power loss, and the sixty queued streams are late
    # already. They all start at once, so no permit is released for a second.
    # If they took every permit, all arrivals of that second would be late too.
    opened = replace(VIEW, free=60, reserved=reserve_for_arrivals(60, 40, 0))
    late = replace(FIRST, returning=True)
    admissions = [
        decide_admission(opened, replace(late, ahead=ahead))
        for ahead in range(60)
    ]
    assert admissions.count(AdmitStream()) == 30
    assert decide_admission(opened, replace(FIRST, ahead=30)) == AdmitStream()


def test_nothing_is_reserved_while_as_many_streams_end_as_arrive():
    assert reserve_for_arrivals(8, 40, 40) == 0
    assert reserve_for_arrivals(8, 40, 37) == 3
    assert reserve_for_arrivals(0, 40, 0) == 0
    assert reserve_for_arrivals(-5, 40, 0) == 0


def test_a_retry_is_queued_slightly_past_the_estimated_opening():
    # The time at which a rank is back is known to half a second at best. A
    # group that opens long after the caller has left is no reason to queue.
    returning = replace(FIRST, returning=True)
    soon = replace(VIEW, opens_in=MAX_RETRY_WAIT + 400 * MS)
    late = replace(VIEW, opens_in=MAX_RETRY_WAIT + 600 * MS)
    assert decide_admission(soon, returning) == QueueStream(MAX_RETRY_WAIT)
    assert isinstance(decide_admission(late, returning), RejectStream)


def test_one_stream_probes_an_unknown_group_while_others_are_queued():
    unknown = replace(VIEW, free=0, opens_in=600 * MS, probes=1)
    assert decide_admission(unknown, FIRST) == AdmitStream()
    assert isinstance(
        decide_admission(unknown, replace(FIRST, ahead=1)), QueueStream
    )
