"""Tests of a group's stream: who coordinates, also after expiry."""

from datetime import UTC, datetime

from linnetwind.clock import ManualClock
from linnetwind.config import Group
from linnetwind.group_log import (
    GROUP_CODEC,
    Coordinate,
    GroupRole,
    Held,
    Target,
    fold_role,
    pack_map,
    stream_of_group,
    unpack_map,
)
from linnetwind.group_planner import RENEW_INTERVAL, SILENCE, GroupPlanner
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


def test_first_of_two_that_take_over_at_once_coordinates():
    role = folded(Coordinate('a', 0), Coordinate('b', 0))
    assert (role.holder, role.epoch) == ('a', 1)


def test_map_of_a_replaced_coordinator_is_not_wanted():
    old = Target(1, 'old', b'')
    role = folded(Coordinate('a', 0), Coordinate('b', 1), old)
    assert role.target is None


def test_reader_that_starts_after_expiry_agrees_with_the_others():
    # The records of the take-over have expired; the coordinator has
    # repeated its role and its map. Then another side takes over.
    target = Target(8, 'map', b'')
    later = (Held('a', 8), target, Coordinate('b', 8))
    known = folded(Coordinate('a', 0), first=7)
    assert known.epoch == 8
    known = folded(*later, first=8, role=known)
    started = folded(*later, first=8)
    assert started == known
    assert started.holder == 'b'


def test_repeated_role_of_a_replaced_coordinator_changes_nothing():
    role = folded(Coordinate('a', 0), Coordinate('b', 1), Held('a', 1))
    assert role.holder == 'b'


def test_map_comes_back_as_it_was():
    expert_map = even_map(2, 2, 1, 4)
    assert unpack_map(pack_map(expert_map)) == expert_map


def planner(log, clock, rank):
    return GroupPlanner(GROUP, rank, f'side-{rank}', log, clock)


def no_counts():
    return []


def test_coordinator_is_replaced_and_its_map_survives_the_retention():
    # Rank 0's side coordinates and publishes a map. Hours later only the
    # repetition is left in the log; its side dies, and rank 1's side, just
    # started, takes over and knows the map.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    log = FakeLog()
    first = planner(log, clock, 0)
    sends = first.tick(RankStatus(1), no_counts)
    wanted = sends[0].note.map_id
    running = RankStatus(1, step=1, map_id=wanted)
    first.tick(running, no_counts)
    clock.advance(RENEW_INTERVAL)
    end = len(log.streams[STREAM])
    first.tick(running, no_counts)
    log.expire(STREAM, end)
    second = planner(log, clock, 1)
    second.tick(running, no_counts)
    clock.advance(SILENCE * 2)
    second.tick(RankStatus(1), no_counts)
    sends = second.tick(RankStatus(1), no_counts)
    assert {send.note.map_id for send in sends} == {wanted}
    assert all(isinstance(send.note, Prepare) for send in sends)


def test_side_that_hears_the_coordinator_does_not_take_over():
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    log = FakeLog()
    first, second = planner(log, clock, 0), planner(log, clock, 1)
    sends = first.tick(RankStatus(1), no_counts)
    second.tick(RankStatus(1), no_counts)
    for _second in range(20):
        clock.advance(SILENCE / 2)
        second.saw_coordinator(sends[0].note)
        assert second.tick(RankStatus(1), no_counts) == ()
