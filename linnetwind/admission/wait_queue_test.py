"""Tests of the order in which queued streams get permits."""

import threading
import time
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from linnetwind.admission.admission_policy import (
    MAX_RETRY_WAIT,
    STOPPING,
    CapacityView,
    RejectStream,
)
from linnetwind.admission.queue_order import PermitRequest, queue_position_key
from linnetwind.admission.retry_times import MIN_RETRY_AFTER
from linnetwind.admission.wait_queue import WaitQueue
from linnetwind.clock import ManualClock, SystemClock
from standins.gateway_fixtures import MS, SECOND, make_upstream
from standins.stream_fixtures import TARGET, VIEW

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def _start(enqueue, number):
    """Enqueue that many streams, each in a thread of its own."""
    threads = [threading.Thread(target=enqueue) for _stream in range(number)]
    for thread in threads:
        thread.start()
    return threads


def _join(threads):
    for thread in threads:
        thread.join()


def _always():
    return True


def test_streams_queued_for_a_broken_group_come_after_newcomers():
    # Streams are queued while a group is broken. When it opens, they are late
    # already but a newcomer can be in time, so it gets the first permit.
    views = [replace(VIEW, free=0, opens_in=100 * MS)]
    clock = ManualClock(NOW)
    queue = WaitQueue(clock)
    order = []

    def enqueue(name):
        request = PermitRequest(
            clock.elapsed(), 1.5 * SECOND, 120 * MS, returning=False
        )
        queue.acquire_permit(
            request, lambda _gap: views[0], lambda: acquire(name), _always
        )

    def acquire(name):
        order.append(name)
        views[0] = replace(VIEW, free=0)
        queue.wake()

    threads = [threading.Thread(target=enqueue, args=('early',))]
    threads[0].start()
    while queue.length < 1:
        continue
    time.sleep(0.1)
    clock.advance(100 * MS)
    views[0] = replace(VIEW, free=0)
    queue.wake()
    threads.append(threading.Thread(target=enqueue, args=('new',)))
    threads[1].start()
    while queue.length < 2:
        continue
    views[0] = replace(VIEW, free=1)
    queue.wake()
    while not order:
        time.sleep(0.01)
    views[0] = replace(VIEW, free=9)
    queue.wake()
    _join(threads)
    assert order == ['new', 'early']


def test_one_free_permit_admits_one_stream():
    # Twenty streams are queued when one permit is released, and all are woken.
    # If a permit were counted only after its stream had left the queue, all
    # twenty would run, and every stream of the group would be late.
    running = [10]
    upstream = make_upstream('u', service='model')

    def read_view(_gap):
        return CapacityView(10 - running[0], 40, 200 * MS, None)

    def acquire():
        running[0] += 1
        return upstream

    clock = ManualClock(NOW)
    queue = WaitQueue(clock)
    ended = []

    def enqueue():
        request = PermitRequest(
            clock.elapsed(), SECOND, 120 * MS, returning=True
        )
        result = queue.acquire_permit(request, read_view, acquire, _always)
        ended.append(result)

    threads = _start(enqueue, 20)
    while queue.length < 20:
        continue
    running[0] = 9
    queue.wake()
    while not ended:
        continue
    # The other streams have waited for the maximum time.
    clock.advance(MAX_RETRY_WAIT)
    queue.wake()
    _join(threads)
    assert ended.count(upstream) == 1
    assert sum(isinstance(each, RejectStream) for each in ended) == 19


def test_newcomers_are_served_in_time_despite_queued_retries():
    # Ten retries are queued when a newcomer arrives, and permits are released
    # one by one. Behind all ten, each newcomer would be too late, be rejected
    # and retry itself: the overload would never end.
    running = [10]
    clock = ManualClock(NOW)
    queue = WaitQueue(clock)
    order = []

    def read_view(_gap):
        return CapacityView(10 - running[0], 100, 200 * MS, None)

    def enqueue(name, returning):
        def acquire():
            running[0] += 1
            order.append(name)

        request = PermitRequest(
            clock.elapsed(), 1.5 * SECOND, 120 * MS, returning
        )
        queue.acquire_permit(request, read_view, acquire, _always)

    threads = [
        threading.Thread(target=enqueue, args=('returned', True))
        for _stream in range(10)
    ]
    threads.append(threading.Thread(target=enqueue, args=('new', False)))
    for thread in threads:
        thread.start()
    while queue.length < 11:
        continue
    for served in range(11):
        running[0] -= 1
        queue.wake()
        while len(order) <= served:
            continue
    _join(threads)
    assert order[0] == 'new'


def test_all_queued_streams_share_one_view_of_the_capacity():
    # Thirty streams are queued when states of peers arrive. If each of them
    # makes a view of its own, this uses so much of the processor that
    # events of running streams are late.
    clock = SystemClock()
    queue = WaitQueue(clock)
    reads = []

    def read_view(gap):
        reads.append(gap)
        return CapacityView(0, 1, 200 * MS, None)

    def enqueue(gap):
        request = PermitRequest(clock.elapsed(), SECOND, gap, returning=True)
        queue.acquire_permit(request, read_view, lambda: None, _always)

    gaps = [120 * MS] * 15 + [200 * MS] * 15
    threads = [threading.Thread(target=enqueue, args=(gap,)) for gap in gaps]
    for thread in threads:
        thread.start()
    _join(threads)
    # Without sharing, each stream would make one every 25 ms for 1.6 s: 64.
    assert set(reads) == {120 * MS, 200 * MS}
    assert len(reads) < 30 * 64 / 2


def _play_overload(order):
    """Simulate 4 s of overload and the time after it.

    100 permits a second are released. 130 streams a second ask for them for
    4 s, and 97 after that. A stream that waits too long is rejected and
    retried once, 0.3 s later. Returns the share of the streams arriving after
    second 6 that are served in time.
    """
    step = 10 * MS
    waits = {False: 200 * MS, True: 1600 * MS}
    waiting, returns = [], []
    in_time = arrived = 0
    for number in range(1500):
        now = number * step
        rate = 1.3 if now < 4 * SECOND else 0.97
        arrivals = int((number + 1) * rate) - int(number * rate)
        arrived += arrivals * (now > 6 * SECOND)
        waiting += [PermitRequest(now, TARGET, 120 * MS, False)] * arrivals
        waiting += [each for each in returns if each.arrived_at <= now]
        returns = [each for each in returns if each.arrived_at > now]
        for request in list(waiting):
            if now - request.arrived_at > waits[request.returning]:
                waiting.remove(request)
                if not request.returning:
                    back = now + MIN_RETRY_AFTER
                    returns.append(
                        replace(request, arrived_at=back, returning=True)
                    )
        waiting.sort(key=order)
        if waiting:
            served = waiting.pop(0)
            in_time += served.arrived_at > 6 * SECOND and not served.returning
    return in_time / arrived


def test_a_short_overload_does_not_sustain_itself():
    # Rejected callers retry. If streams are served in the order in which their
    # waits end, newcomers are rejected in favour of retries and become retries
    # too: nine seconds after the overload most responses are still late.
    def by_end_of_wait(request):
        return queue_position_key(request)[1]

    assert _play_overload(by_end_of_wait) < 0.6
    assert _play_overload(queue_position_key) > 0.95


def test_a_queued_stream_is_rejected_when_the_daemon_has_no_time_left():
    # The daemon is told to stop while a stream is queued. If the stream stays
    # in the queue, it gets a permit when the daemon has too little time for it
    # or none at all, and its caller sees the connection close without a
    # response.
    queue = WaitQueue(SystemClock())
    full = CapacityView(0, 1, timedelta(), None)
    request = PermitRequest(
        SystemClock().elapsed(), timedelta(hours=1), timedelta(seconds=1), False
    )
    answers = iter([True, True, False])
    decision = queue.acquire_permit(
        request, lambda _gap: full, lambda: None, lambda: next(answers)
    )
    assert decision == STOPPING
    assert queue.length == 0


def test_a_long_queue_polls_hardly_more_often_than_a_short_one():
    # Two hundred streams are queued, and states of other daemons arrive 100
    # times a second. If all of them poll 40 times a second and after each
    # change, events of running streams are late.
    clock = SystemClock()
    queue = WaitQueue(clock)
    polls = []

    def has_time():
        polls.append(None)
        return True

    def enqueue():
        request = PermitRequest(
            clock.elapsed(), SECOND, 120 * MS, returning=True
        )
        full = CapacityView(0, 1, 200 * MS, None)
        queue.acquire_permit(request, lambda _gap: full, lambda: None, has_time)

    threads = _start(enqueue, 200)
    for _change in range(100):
        queue.wake()
        time.sleep(0.01)
    _join(threads)
    # Each stream polls on arrival and then every 0.25 s until 1.6 s have
    # passed; the first in the queue also polls after each change.
    assert len(polls) < 200 * (1 + 8) + 100 + 400


def test_a_stream_that_leaves_the_queue_wakes_the_next_at_once():
    # One change releases five permits. It wakes only the first stream, and all
    # five are admitted one after the other.
    clock = SystemClock()
    queue = WaitQueue(clock)
    free = [0]
    ran = []

    def acquire():
        free[0] -= 1
        ran.append(clock.elapsed())

    def enqueue():
        request = PermitRequest(
            clock.elapsed(), SECOND, 120 * MS, returning=True
        )
        queue.acquire_permit(
            request,
            lambda _gap: CapacityView(free[0], 1, 200 * MS, None),
            acquire,
            _always,
        )

    threads = _start(enqueue, 5)
    while queue.length < 5:
        continue
    free[0] = 5
    queue.wake()
    _join(threads)
    assert len(ran) == 5
