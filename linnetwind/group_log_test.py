"""Tests of a group's log stream and of the coordinator's role.

They cover readers that start after the older records have expired.
"""

from datetime import UTC, datetime

from linnetwind.clock import ManualClock
from linnetwind.config import Group
from linnetwind.group_log import (
    GROUP_CODEC,
    CoordinatorRenewal,
    CoordinatorTakeover,
    GroupRole,
    Target,
    fold_role,
    pack_map,
    stream_of_group,
    unpack_map,
)
from linnetwind.group_planner import (
    COORDINATOR_TIMEOUT,
    RENEW_INTERVAL,
    GroupPlanner,
)
from linnetwind.log_port import Entry
from linnetwind.mapswitch_types import Prepare, RankStatus
from linnetwind.placement import even_map
from standins.fakes import FakeLog

GROUP = Group('g', 's', ('up-0', 'up-1'), 1, 4, 2, 1)
STREAM = stream_of_group('g')


def folded(*records, first=0, role=None):
    entries = [
        Entry(offset, GROUP_CODEC.encode(record))
        for offset, record in enumerate(records, first)
    ]
    return fold_role(role or GroupRole(), entries)


def test_first_of_two_concurrent_takeovers_wins():
    role = folded(CoordinatorTakeover('a', 0), CoordinatorTakeover('b', 0))
    assert (role.holder, role.epoch) == ('a', 1)


def test_target_of_a_replaced_coordinator_is_ignored():
    old = Target(1, 'old', b'')
    role = folded(CoordinatorTakeover('a', 0), CoordinatorTakeover('b', 1), old)
    assert role.target is None


def test_reader_that_starts_after_expiry_agrees_with_the_others():
    # The record of the first takeover has expired, and the coordinator has
    # renewed its role and its target. Then another side daemon takes over.
    target = Target(8, 'map', b'')
    recent_records = (
        CoordinatorRenewal('a', 8),
        target,
        CoordinatorTakeover('b', 8),
    )
    live_reader = folded(CoordinatorTakeover('a', 0), first=7)
    assert live_reader.epoch == 8
    live_reader = folded(*recent_records, first=8, role=live_reader)
    late_reader = folded(*recent_records, first=8)
    assert late_reader == live_reader
    assert late_reader.holder == 'b'


def test_renewal_by_a_replaced_coordinator_is_ignored():
    role = folded(
        CoordinatorTakeover('a', 0),
        CoordinatorTakeover('b', 1),
        CoordinatorRenewal('a', 1),
    )
    assert role.holder == 'b'


def test_packed_map_is_unpacked_unchanged():
    expert_map = even_map(2, 2, 1, 4)
    assert unpack_map(pack_map(expert_map)) == expert_map


def planner(log, clock, rank):
    return GroupPlanner(GROUP, rank, f'side-{rank}', log, clock)


def no_counts():
    return []


def test_target_map_outlives_the_retention_and_a_new_coordinator():
    # Rank 0's side daemon coordinates and publishes a map. Hours later only
    # the renewal is left in the log. Rank 0's side daemon dies; rank 1's has
    # just started, takes over, and must know the map.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    log = FakeLog()
    first = planner(log, clock, 0)
    sends = first.tick(RankStatus(1), no_counts)
    target_id = sends[0].note.map_id
    running = RankStatus(1, step=1, map_id=target_id)
    first.tick(running, no_counts)
    clock.advance(RENEW_INTERVAL)
    end = len(log.streams[STREAM])
    first.tick(running, no_counts)
    log.expire(STREAM, end)
    second = planner(log, clock, 1)
    second.tick(running, no_counts)
    clock.advance(COORDINATOR_TIMEOUT * 2)
    second.tick(RankStatus(1), no_counts)
    sends = second.tick(RankStatus(1), no_counts)
    assert {send.note.map_id for send in sends} == {target_id}
    assert all(isinstance(send.note, Prepare) for send in sends)


def test_side_daemon_that_sees_the_coordinator_does_not_take_over():
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    log = FakeLog()
    first, second = planner(log, clock, 0), planner(log, clock, 1)
    sends = first.tick(RankStatus(1), no_counts)
    second.tick(RankStatus(1), no_counts)
    for _second in range(20):
        clock.advance(COORDINATOR_TIMEOUT / 2)
        second.record_coordinator(sends[0].note)
        assert second.tick(RankStatus(1), no_counts) == ()
