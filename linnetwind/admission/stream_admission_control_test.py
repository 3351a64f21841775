"""Tests of the admission of streams to several groups of one service."""

from datetime import UTC, datetime, timedelta

from linnetwind.admission.group_capacity import GroupCount
from linnetwind.admission.stream_admission_control import StreamAdmission
from linnetwind.clock import ManualClock
from linnetwind.peers.peer_table import GroupSummary
from linnetwind.routes import RoutedService
from standins.gateway_fixtures import MS, make_engine, make_upstream

SERVICE = RoutedService('model', '/health', 248, make_engine())
RANKS_A = [
    make_upstream(f'a{number}', 90 + number, 'model') for number in (0, 1)
]
RANKS_B = [
    make_upstream(f'b{number}', 80 + number, 'model') for number in (0, 1)
]
GAP = 120 * MS
SEND_INTERVAL = 30 * MS


class LoneDaemon:
    """The admission control of a daemon without peers, for two groups."""

    def __init__(self):
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.admission = StreamAdmission(self.clock)
        self.send_summary('a', RANKS_A)
        self.send_summary('b', RANKS_B)

    def send_summary(self, group, members, **changes):
        """Apply a summary of the planner."""
        fields = {'is_open': True, 'skew': 1.2, 'opens_in_ms': 0, **changes}
        lives = tuple(each.life for each in members)
        summary = GroupSummary('model', group, 1, members=lives, **fields)
        self.admission.apply_summary(summary)

    def snapshot(self, in_a, in_b, ranks=16):
        """Return the capacity, and the permits of each group."""
        self.clock.advance(SEND_INTERVAL)
        counts = {
            'a': GroupCount(in_a, in_a, ranks),
            'b': GroupCount(in_b, in_b, ranks),
        }
        view = self.admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL)
        return view, self.admission.free_permits('model', counts)

    def record_pauses(self, upstream, length, running):
        """Record pauses between events for a second."""
        for _event in range(20):
            self.clock.advance(50 * MS)
            self.admission.record_pause(upstream, length, running)


def test_a_slow_group_does_not_reduce_the_permits_of_a_healthy_one():
    # One rank becomes six times slower. The pauses of its group rise to 0.4 s,
    # and hardly a stream can run there in time. With one limit for both groups,
    # they ran 9 streams, and 70 of 81 callers a second were rejected although
    # the healthy group had 48 slots.
    daemon = LoneDaemon()
    daemon.record_pauses(RANKS_B[0], 400 * MS, 40)
    daemon.record_pauses(RANKS_A[0], 60 * MS, 40)
    view, permits = daemon.snapshot(in_a=40, in_b=40)
    assert permits['b'] <= -20
    assert permits['a'] >= 10
    assert view.free == permits['a']


def test_a_broken_group_does_not_close_the_other_one():
    daemon = LoneDaemon()
    daemon.send_summary('b', RANKS_B, is_open=False, opens_in_ms=600)
    view, permits = daemon.snapshot(in_a=10, in_b=0)
    assert view.opens_in is None
    assert list(permits) == ['a']
    assert view.free == permits['a']


def test_a_service_opens_with_the_group_that_opens_first():
    daemon = LoneDaemon()
    daemon.send_summary('a', RANKS_A, is_open=False, opens_in_ms=900)
    daemon.send_summary('b', RANKS_B, is_open=False, opens_in_ms=600)
    view, permits = daemon.snapshot(in_a=0, in_b=0)
    assert view.opens_in == 600 * MS - SEND_INTERVAL
    assert view.free == 0
    assert permits == {'a': 0, 'b': 0}


def test_an_overfull_group_does_not_reduce_the_permits_of_another():
    daemon = LoneDaemon()
    view, permits = daemon.snapshot(in_a=200, in_b=0)
    assert permits['a'] < 0
    assert view.free == permits['b'] > 0


def test_ranks_are_sorted_by_the_groups_of_the_planner():
    daemon = LoneDaemon()
    joined = make_upstream('new', 99, 'model')
    grouped = daemon.admission.by_group('model', [*RANKS_A, joined, *RANKS_B])
    assert grouped == {'a': RANKS_A, 'b': RANKS_B}
    # When all summaries have expired, ranks without a group are used as well.
    daemon.clock.advance(timedelta(seconds=3))
    grouped = daemon.admission.by_group('model', [joined, *RANKS_B])
    assert grouped == {'': [joined], 'b': RANKS_B}


def test_a_rank_that_changes_its_group_is_only_in_the_new_one():
    daemon = LoneDaemon()
    daemon.send_summary('b', [RANKS_A[1], *RANKS_B])
    daemon.send_summary('a', RANKS_A[:1])
    grouped = daemon.admission.by_group('model', [*RANKS_A, *RANKS_B])
    assert grouped == {'a': RANKS_A[:1], 'b': [RANKS_A[1], *RANKS_B]}


def test_a_better_map_raises_the_permits_at_once():
    # Passes were long under the former map. When the planner's summary says
    # that a better one is in use, queued streams get the permits of the new
    # limit.
    daemon = LoneDaemon()
    daemon.send_summary('a', RANKS_A, skew=3.0)
    daemon.record_pauses(RANKS_A[0], 110 * MS, 40)
    daemon.send_summary('a', RANKS_A, skew=3.0)
    _view, before = daemon.snapshot(in_a=40, in_b=40)
    daemon.send_summary('a', RANKS_A, skew=1.2)
    daemon.clock.advance(50 * MS)
    _view, after = daemon.snapshot(in_a=40, in_b=40)
    assert before['a'] < 5
    assert after['a'] > 20


def test_a_crash_of_a_rank_closes_its_group_at_once():
    # The planner's next summary comes when the ranks have given up their pass.
    # Until then streams were sent to them for a second and a half, and all
    # were refused.
    daemon = LoneDaemon()
    daemon.clock.advance(SEND_INTERVAL)
    assert daemon.admission.record_crash(
        'model', RANKS_B[0].life, daemon.clock.elapsed()
    )
    _view, permits = daemon.snapshot(in_a=10, in_b=0)
    assert list(permits) == ['a']
    assert daemon.admission.opens_in('model') is None
    daemon.admission.record_crash(
        'model', RANKS_A[0].life, daemon.clock.elapsed()
    )
    view, _permits = daemon.snapshot(in_a=10, in_b=0)
    assert view.opens_in == daemon.admission.opens_in('model') > timedelta()
    # The planner still reports both as open; it has not polled them since.
    daemon.send_summary('a', RANKS_A)
    assert daemon.admission.opens_in('model') is not None


def test_a_daemon_that_starts_waits_for_the_first_summary():
    # All hosts lose power and are back before the groups have formed. Without
    # a summary the groups were assumed to be open, and 310 streams were sent to
    # ranks that refused them.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    admission = StreamAdmission(clock)
    counts = {'': GroupCount(0, 0, 16)}
    view = admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL)
    assert view.opens_in == SERVICE.engine.form_ms * MS
    # One stream at a time probes whether the group runs.
    assert (view.free, view.probes) == (0, 1)
    busy = {'': GroupCount(1, 1, 16)}
    assert admission.view(SERVICE, GAP, busy, (), SEND_INTERVAL).probes == 0
    # The probe was refused. If the next one followed at once, all queued
    # streams in turn would be refused.
    assert admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL).probes == 0
    clock.advance(300 * MS)
    assert admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL).probes == 1
    # Without a summary for a second, the daemon assumes that the group is open.
    clock.advance(700 * MS)
    assert (
        admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL).opens_in is None
    )


def test_a_group_that_forms_for_the_first_time_has_no_outage():
    # All hosts have restarted and the ranks start one by one. When the group
    # was expected to take a whole outage, 332 callers were rejected for two
    # seconds although it was about to open in 0.3 s.
    admission = StreamAdmission(ManualClock(datetime(2026, 1, 1, tzinfo=UTC)))
    fields = {'is_open': False, 'skew': 3.0, 'opens_in_ms': 600, 'members': ()}
    admission.apply_summary(GroupSummary('model', 'a', 1, **fields))
    assert admission.outages('model') == {}
    admission.apply_summary(
        GroupSummary('model', 'a', 1, **{**fields, 'is_open': True})
    )
    assert list(admission.outages('model')) == ['a']


def test_ranks_without_a_group_do_not_make_a_broken_service_seem_open():
    # Before the first summary of a planner all ranks form a group without a
    # name. The state of that group must not hide that the named ones are
    # broken.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    admission = StreamAdmission(clock)
    admission.view(SERVICE, GAP, {'': GroupCount(0, 0, 16)}, (), SEND_INTERVAL)
    lives = tuple(each.life for each in RANKS_A)
    admission.apply_summary(GroupSummary('model', 'a', 1, True, 1.2, 0, lives))
    clock.advance(SEND_INTERVAL)
    assert admission.opens_in('model') is None
    admission.record_crash('model', RANKS_A[0].life, clock.elapsed())
    assert admission.opens_in('model') is not None


def test_the_first_event_shows_a_started_daemon_that_its_group_runs():
    # All daemons are killed, and the ranks keep running. If each restarted
    # daemon waits a second for a summary, half of its callers are late.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    clock.advance(SEND_INTERVAL)
    admission = StreamAdmission(clock)
    counts = {'': GroupCount(1, 1, 16)}
    assert (
        admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL).opens_in
        is not None
    )
    admission.record_start(RANKS_A[0], 170 * MS)
    view = admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL)
    assert view.opens_in is None
    assert view.free > 1


def _slow_rank(daemon):
    # The skew includes the longer time of the slow rank.
    slow = (RANKS_B[1].life,)
    daemon.send_summary('b', RANKS_B, skew=3.0, slow=slow, pace=5.0)


def test_a_group_with_a_slow_rank_serves_only_what_others_cannot():
    daemon = LoneDaemon()
    _slow_rank(daemon)
    view, permits = daemon.snapshot(in_a=10, in_b=10)
    assert view.free == permits['a'] > 0
    assert permits['b'] == 0
    assert view.late_free > 0
    # The healthy group is full, so callers get late responses, not rejections.
    view, permits = daemon.snapshot(in_a=96, in_b=10)
    assert view.free == 0
    assert view.late_free == permits['b'] == 15 * SERVICE.engine.slots - 10


def test_slow_pauses_do_not_reduce_the_permits_after_the_slowness():
    # The pauses of the slow time stay in the window for 2.5 s. The limit fell
    # as long as they did, though all ranks were well.
    daemon = LoneDaemon()
    _slow_rank(daemon)
    daemon.record_pauses(RANKS_B[0], 250 * MS, 60)
    daemon.send_summary('b', RANKS_B)
    _view, at_once = daemon.snapshot(in_a=0, in_b=40)
    daemon.record_pauses(RANKS_B[0], 60 * MS, 40)
    daemon.send_summary('b', RANKS_B)
    _view, later = daemon.snapshot(in_a=0, in_b=40)
    assert later['b'] / 2 < at_once['b'] <= later['b']


def test_the_slow_pace_is_used_while_the_planner_is_replaced():
    daemon = LoneDaemon()
    _slow_rank(daemon)
    daemon.clock.advance(timedelta(seconds=4))
    view, _permits = daemon.snapshot(in_a=96, in_b=10)
    assert view.late_free > 0


def test_starts_in_a_slow_group_do_not_count_for_the_others():
    daemon = LoneDaemon()
    _slow_rank(daemon)
    daemon.snapshot(in_a=10, in_b=10)
    daemon.admission.record_start(RANKS_B[0], 900 * MS)
    daemon.admission.record_start(RANKS_A[0], 150 * MS)
    view, _permits = daemon.snapshot(in_a=10, in_b=10)
    assert view.start_time == 150 * MS


def test_a_group_with_all_slots_taken_is_not_used_up_by_its_passes():
    # The slots bound the limit while passes take half of the time allowed. If
    # the group counted as used up, its expert map would be changed, at the cost
    # of many copies, without a benefit to any caller.
    daemon = LoneDaemon()
    few = RoutedService('model', '/health', 248, make_engine(slots=1))
    counts = {'a': GroupCount(16, 16, 16)}
    daemon.admission.view(few, GAP, counts, (), SEND_INTERVAL)
    assert daemon.admission.utilization('model', 'a') < 0.5
    daemon.snapshot(150, 0)
    assert daemon.admission.utilization('model', 'a') > 0.5
