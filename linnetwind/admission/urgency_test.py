"""Tests of the decisions on streams of several priorities."""

import threading
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from linnetwind.admission.admission_policy import (
    MAX_RETRY_WAIT,
    AdmitStream,
    CapacityView,
    PendingStream,
    QueueStream,
    RejectStream,
    decide_admission,
)
from linnetwind.admission.class_arrivals import class_rates
from linnetwind.admission.queue_order import PermitRequest, queue_position_key
from linnetwind.admission.retry_times import (
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    clamp_retry_after,
    spread_until_double,
)
from linnetwind.admission.service_demand import own_demands, record_arrival
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.admission.urgency import (
    ClassRate,
    ClassTally,
    caller_patience,
    reserve_for_urgent,
    room_per_s,
    starved_classes,
)
from linnetwind.admission.wait_queue import WaitQueue
from linnetwind.clock import ManualClock
from standins.gateway_fixtures import MS, SECOND

TARGET = 400 * MS
RATES = (ClassRate(0, 4, 4), ClassRate(1, 2, 2), ClassRate(2, 10, 8))
FULL = CapacityView(0, 8, 200 * MS, None, rates=RATES)
URGENT = PendingStream(0, timedelta(), TARGET, False, 0, 120 * MS)
BATCH = replace(URGENT, priority=2, target=SECOND)


def _decide_without_classes(view, stream):
    """Decide as the version without priorities did, while a group is open."""
    max_wait = MAX_RETRY_WAIT
    if not stream.returning:
        max_wait = stream.target - view.start_time
    wait_left = max_wait - stream.waited
    if view.free - view.reserved * stream.returning > stream.ahead:
        return AdmitStream()
    missing = stream.ahead + 1 - view.free
    wait = timedelta(seconds=missing / max(view.ends_per_s, 1))
    hopeless = not stream.waited and wait > wait_left and not stream.returning
    if hopeless or wait_left <= timedelta():
        return RejectStream(clamp_retry_after(wait), 'no room in time')
    return QueueStream(wait_left)


@given(
    st.integers(-40, 60),
    st.floats(0, 90),
    st.integers(0, 600),
    st.integers(0, 20),
    st.integers(0, 60),
    st.integers(0, 2000),
    st.integers(50, 2000),
    st.booleans(),
    st.integers(0, 9),
)
def test_streams_of_one_priority_are_decided_on_as_without_classes(
    free, ends, start, reserved, ahead, waited, target, returning, priority
):
    # Deployments whose streams have one priority must see no difference.
    view = CapacityView(free, ends, start * MS, None, reserved)
    stream = PendingStream(
        ahead, waited * MS, target * MS, returning, priority, 120 * MS
    )
    before = _decide_without_classes(view, stream)
    assert decide_admission(view, stream) == before


@given(st.lists(st.tuples(st.integers(0, 900), st.booleans()), max_size=9))
def test_streams_of_one_priority_queue_as_without_classes(streams):
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    service = ServiceCapacity(WaitQueue(clock))
    for at, returning in streams:
        request = PermitRequest(at * MS, TARGET, 120 * MS, returning, 3)
        assert queue_position_key(request) == queue_position_key(
            replace(request, priority=0)
        )
        record_arrival(service, request, clock.elapsed())
    demands = own_demands(service, clock.elapsed())
    assert class_rates(service.classes, demands, clock.elapsed()) == ()


def test_a_stream_is_rejected_if_urgent_ones_take_its_permits():
    # Six of eight permits a second go to more urgent streams. Without counting
    # these, the fifth batch stream waits in vain for its whole target.
    fifth = replace(BATCH, ahead=5)
    alone = replace(FULL, rates=RATES[2:])
    assert isinstance(decide_admission(alone, fifth), QueueStream)
    assert isinstance(decide_admission(FULL, fifth), RejectStream)
    # Once it has waited, its wait may as well go on.
    waited = replace(fifth, waited=BATCH.target / 4)
    assert isinstance(decide_admission(FULL, waited), QueueStream)


def test_an_urgent_stream_waits_for_the_next_permit():
    # A daemon has few streams: on average its next permit becomes free at the
    # end of the wait, but often earlier.
    alone = replace(FULL, rates=RATES[:1])
    assert decide_admission(alone, URGENT) == QueueStream(200 * MS)


def test_no_urgent_stream_is_rejected_while_batch_streams_are_served():
    # Its target allows hardly any wait. Rejected, it would come back to find
    # its permit taken by a batch stream, which can wait for longer.
    assert decide_admission(FULL, URGENT) == QueueStream(1800 * MS)
    fourth = replace(URGENT, ahead=4)
    assert isinstance(decide_admission(FULL, fourth), QueueStream)
    last_class = replace(fourth, priority=BATCH.priority)
    assert isinstance(decide_admission(FULL, last_class), RejectStream)


def test_a_retry_stops_waiting_before_its_caller_leaves():
    # The caller leaves 2 s after its request, and the first event takes 0.2 s.
    # A batch caller with a target of 1 s stays for 4 s.
    late = replace(URGENT, returning=True, waited=1500 * MS)
    assert decide_admission(FULL, late) == QueueStream(300 * MS, is_late=True)
    gone = replace(late, waited=1800 * MS)
    assert isinstance(decide_admission(FULL, gone), RejectStream)
    batch = replace(BATCH, returning=True, waited=1800 * MS)
    assert decide_admission(FULL, batch) == QueueStream(2 * SECOND, True)
    short = replace(batch, time_limit=3 * SECOND)
    assert decide_admission(FULL, short) == QueueStream(250 * MS, True)
    assert caller_patience(100 * MS, 400 * MS, None) == 3200 * MS


def test_no_caller_is_rejected_for_good_right_after_an_outage():
    # All callers retry when the groups open again, and no stream has ended yet.
    # A retry that is rejected for want of room is lost.
    last = replace(BATCH, ahead=40, returning=True, waited=timedelta())
    assert isinstance(decide_admission(FULL, last), QueueStream)
    unknown = replace(FULL, ends_per_s=0)
    newcomer = replace(last, returning=False)
    assert isinstance(decide_admission(unknown, newcomer), QueueStream)
    assert isinstance(decide_admission(FULL, newcomer), RejectStream)


def test_less_urgent_streams_leave_permits_to_urgent_arrivals():
    rates = (ClassRate(0, 60, 60), ClassRate(1, 30, 30))
    assert reserve_for_urgent(rates, 20, 1) == 4
    assert reserve_for_urgent(rates, 20, 0) == 0
    view = replace(FULL, free=4, ends_per_s=20, rates=rates)
    assert decide_admission(view, URGENT) == AdmitStream()
    batch = replace(BATCH, priority=1)
    assert decide_admission(view, batch) != AdmitStream()
    # An urgent stream can hardly wait, so the arrivals of 0.3 s find a permit.
    assert decide_admission(replace(view, free=18), batch) != AdmitStream()
    opened = replace(view, free=19)
    assert decide_admission(opened, batch) == AdmitStream()


def test_every_class_keeps_its_floor():
    # Urgent streams alone need more permits than there are. The batch class
    # asks for half of all, so that a quarter of half of the permits are its.
    rates = (ClassRate(0, 20, 20), ClassRate(2, 19, 19))
    assert room_per_s(rates, 16, 2, returning=False) == 2
    assert room_per_s(rates, 16, 0, returning=False) == 16


@given(st.floats(0, 9000), st.floats(0, 1))
def test_retry_times_are_spread_within_their_bounds(wait, spread):
    # Callers that are rejected together would come back together.
    retry_after = spread_until_double(wait * MS, spread)
    assert MIN_RETRY_AFTER <= retry_after <= MAX_RETRY_AFTER
    assert spread_until_double(wait * MS, 0) < spread_until_double(wait * MS, 1)


@given(
    st.integers(-40, 60),
    st.floats(0, 90),
    st.lists(st.floats(0, 90), min_size=3, max_size=3),
    st.integers(0, 300),
    st.integers(0, 4000),
    st.booleans(),
    st.integers(0, 4),
)
def test_streams_of_several_priorities_get_a_decision(
    free, ends, arrivals, ahead, waited, returning, priority
):
    # A class of which no stream arrived in the last second had no room at all,
    # and a stream of it that still waited ended with a division by zero.
    rates = tuple(
        ClassRate(*each) for each in zip(range(3), arrivals, arrivals)
    )
    view = CapacityView(
        free, ends, 200 * MS, None, rates=rates, free_by_class=(free,) * 3
    )
    stream = PendingStream(
        ahead, waited * MS, TARGET, returning, priority, 120 * MS
    )
    decision = decide_admission(view, stream)
    if isinstance(decision, RejectStream):
        assert MIN_RETRY_AFTER <= decision.retry_after <= MAX_RETRY_AFTER
    if isinstance(decision, QueueStream):
        assert decision.max_wait > timedelta()
    silent = (ClassRate(0, 9, 9), ClassRate(1, 0, 0))
    assert room_per_s(silent, 4, 1, returning=False) > 0


def test_an_urgent_retry_precedes_batch_newcomers():
    # Permits become free one by one while streams of three kinds wait.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    queue = WaitQueue(clock)
    free, order = [0], []
    rates = (ClassRate(0, 1, 1), ClassRate(2, 1, 1))
    full = replace(FULL, ends_per_s=40, rates=rates)

    def enqueue(name, priority, returning):
        def acquire():
            free[0] -= 1
            order.append(name)

        request = PermitRequest(
            clock.elapsed(), 3 * SECOND, 120 * MS, returning, priority
        )
        queue.acquire_permit(
            request,
            lambda _gap: replace(full, free=free[0]),
            acquire,
            lambda: True,
        )

    kinds = (('batch', 2, False), ('retry', 0, True), ('new', 0, False))
    threads = [threading.Thread(target=enqueue, args=kind) for kind in kinds]
    for number, thread in enumerate(threads, start=1):
        thread.start()
        while queue.length < number:
            continue
    for served in range(1, 4):
        free[0] += 1
        queue.wake()
        while len(order) < served:
            continue
    for thread in threads:
        thread.join()
    assert order == ['new', 'retry', 'batch']


def test_a_class_that_gets_nothing_counts_as_starved():
    # Urgent streams take all permits for seconds. Served a quarter as often as
    # all streams, two of sixteen batch streams should have been.
    now = 10 * SECOND
    tallies = {0: ClassTally(16, 16, now), 2: ClassTally(16, 0, now)}
    assert starved_classes(tallies, now) == {2}
    assert not starved_classes({2: ClassTally(16, 3, now)}, now)
    assert not starved_classes(tallies, now + 9 * SECOND)
    assert not starved_classes({}, now)
