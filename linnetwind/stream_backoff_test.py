"""Tests of streams whose ranks have all asked to back off."""

from datetime import UTC, datetime

from linnetwind.clock import ManualClock
from linnetwind.group_room import GroupCount
from linnetwind.peer_book import GroupBrief
from linnetwind.routes import RoutedService
from linnetwind.stream_gate import (
    LEAST_RETRY,
    RETURN_WAIT,
    GroupView,
    TurnAway,
    Waiter,
    WaitFor,
    judge,
)
from linnetwind.stream_room import StreamRoom
from standins.gateway_fixtures import MS, SECOND, make_engine
from standins.stream_fixtures import FIRST

SERVICE = RoutedService('model', '/health', 248, make_engine())
GAP = 120 * MS
NEWS = 30 * MS


def _refusing(left):
    return GroupView(0, 40, 200 * MS, left, is_backoff=True)


def _look(**counts):
    """Return the view of sound groups, and the places in each."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    room = StreamRoom(clock)
    for name in counts:
        room.take_brief(GroupBrief('model', name, 1, True, 1.2, 0, ()))
    clock.advance(NEWS)
    view = room.view(SERVICE, GAP, counts, (), NEWS)
    return view, room.places('model', counts)


def test_a_stream_waits_for_the_end_of_a_backoff():
    assert judge(_refusing(SECOND), FIRST) == WaitFor(RETURN_WAIT)


def test_a_caller_is_told_when_a_backoff_is_over():
    """Guards against callers who come back sooner and are refused again."""
    assert judge(_refusing(5 * SECOND), FIRST).retry_after == 5 * SECOND
    waited = Waiter(0, RETURN_WAIT, FIRST.target, returning=True)
    verdict = judge(_refusing(100 * MS), waited)
    assert isinstance(verdict, TurnAway)
    assert verdict.retry_after == LEAST_RETRY


def test_a_group_whose_ranks_all_want_none_takes_no_streams():
    """Guards against streams that are sent to ranks that back off."""
    resting = GroupCount(0, 0, ranks=0, backoff=SECOND)
    view, _places = _look(a=resting)
    assert view.opens_in == SECOND
    assert view.is_backoff


def test_another_group_takes_what_a_refusing_one_would():
    resting = GroupCount(0, 0, ranks=0, backoff=SECOND)
    view, places = _look(a=resting, b=GroupCount(0, 0, ranks=16))
    assert view.opens_in is None
    assert list(places) == ['b']


def test_ranks_that_want_none_leave_fewer_places():
    """Guards against streams that wait for slots at the ranks that are left."""
    _view, all_take = _look(a=GroupCount(0, 0, ranks=16))
    _view, some_take = _look(a=GroupCount(0, 0, ranks=4))
    assert some_take['a'] < all_take['a']
