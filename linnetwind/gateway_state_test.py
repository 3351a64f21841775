"""Tests of what a gateway believes of an upstream that starts again."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.clock import ManualClock, SystemClock
from linnetwind.gateway_state import GatewayState
from linnetwind.peer_book import GroupBrief
from linnetwind.repeat_budget import BudgetTerms
from linnetwind.routes import RoutedService
from linnetwind.upstream_list import Registered
from standins.gateway_fixtures import (
    MS,
    SECOND,
    make_engine,
    make_peer,
    make_upstream,
)

PLAIN = RoutedService('plain', '/health', 96, None)
MODEL = RoutedService('model', '/health', 248, make_engine())


@pytest.fixture(name='state')
def _state():
    terms = BudgetTerms(timedelta(seconds=10), 0.2, 88)
    return GatewayState(SystemClock(), Address('127.0.0.1', 1), terms)


def _register(state, offset, *entries):
    records = [Registered(each.instance, offset, each) for each in entries]
    state.change_upstreams(lambda known: known.take(records, offset + 1))


def _start(state, born_ms, service='plain'):
    """Register a life of upstream `a`, at an offset as its start."""
    entry = make_upstream('a', service=service, born_ms=born_ms)
    _register(state, born_ms, entry)
    return entry


def _peer(running, *groups, counter=1):
    return make_peer('b', running=running, groups=groups, counter=counter)


def test_requests_at_the_life_before_take_no_place_of_the_next(state):
    # Six streams run at a worker that crashes and starts again; their ends
    # come in one by one. Counted for the next life they took all its slots.
    _start(state, 5)
    taken = [state.take_upstream(PLAIN, frozenset()) for _call in range(6)]
    _start(state, 9)
    assert state.group_running('plain') == 0
    now = state.take_upstream(PLAIN, frozenset())
    for each in taken:
        state.give_back(each)
    assert state.group_running('plain') == 1
    state.give_back(now)
    assert state.running == {}


def test_a_peers_requests_at_the_life_before_are_not_counted(state):
    # The peer holds an older list, and counts for the life that is over.
    before = _start(state, 5)
    state.hear(_peer({before.life: 4}))
    assert state.group_running('plain') == 4
    _start(state, 9)
    assert state.group_running('plain') == 0


def test_failures_of_the_life_before_do_not_bar_the_next(state):
    # A worker could not be reached, and rests. Started again, it is new; the
    # other worker of the service got all the calls.
    before = _start(state, 5)
    _register(state, 6, make_upstream('b', 81))
    busy = next(
        each
        for each in state.upstreams.usable('plain', SECOND)
        if each.instance == 'b'
    )
    state.note_miss(before)
    state.note_answer(before, 900 * MS, failed=True)
    state.note_answer(busy, 90 * MS, failed=False)
    state.take_upstream(PLAIN, frozenset({'a'}))
    after = _start(state, 9)
    # Late news of the life before.
    state.note_miss(before)
    assert state.take_upstream(PLAIN, frozenset()) == after


def _brief(group, *members, slow=()):
    return GroupBrief('model', group, 1, True, 2.0, 0, members, slow)


def test_a_slow_rank_that_starts_again_is_not_taken_for_slow(state):
    before = _start(state, 5, 'model')
    _register(state, 6, make_upstream('b', 81, 'model', slots=1))
    slow = (before.life,)
    state.hear(_peer({}, _brief('g', before.life, 'b', slow=slow)))
    first = [state.take_upstream(MODEL, frozenset()) for _call in range(3)]
    assert {each.instance for each in first} == {'b'}
    after = _start(state, 9, 'model')
    state.hear(_peer({}, _brief('g', after.life, 'b', slow=slow), counter=2))
    assert state.take_upstream(MODEL, frozenset()) == after


def test_a_rank_of_no_group_yet_gets_no_streams(state):
    # A worker has started, and its group forms anew with it. Streams that it
    # were given would only be refused there.
    known = _start(state, 5, 'model')
    _register(state, 6, make_upstream('b', 81, 'model'))
    without_news = {
        state.take_upstream(MODEL, frozenset()).instance for _call in range(40)
    }
    assert without_news == {known.instance, 'b'}
    state.hear(_peer({}, _brief('g', known.life)))
    for _call in range(4):
        assert state.take_upstream(MODEL, frozenset()) == known


def test_a_stream_that_its_group_cut_goes_on_in_another(state):
    # A rank dies, and all streams of its group break off. Tried again at its
    # neighbours they are refused, since the whole group is broken, and the
    # caller gets half an answer though another group of the service is sound.
    for number in range(4):
        _register(
            state, number, make_upstream(f'r{number}', 80 + number, 'model')
        )
    state.hear(_peer({}, _brief('a', 'r0', 'r1'), _brief('b', 'r2', 'r3')))
    for _call in range(20):
        taken = state.take_upstream(MODEL, frozenset({'r0'}))
        assert taken.instance in {'r2', 'r3'}


def test_records_of_lives_that_are_over_are_dropped(state):
    # A worker that crashes every few seconds must not fill the memory.
    for born_ms in range(50):
        state.note_miss(_start(state, born_ms))
    _start(state, 50)
    assert len(state._records) <= 1


def test_what_a_silent_peer_had_is_not_counted():
    # A host is cut off with streams that run. Counted for ever they would
    # keep their places from others.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    terms = BudgetTerms(timedelta(seconds=10), 0.2, 88)
    state = GatewayState(clock, Address('127.0.0.1', 1), terms)
    entry = _start(state, 5)
    clock.advance(SECOND)
    state.hear(_peer({entry.life: 4}))
    assert state.group_running('plain') == 4
    clock.advance(state.book.silence)
    assert state.group_running('plain') == 0
    state.hear(_peer({entry.life: 2}, counter=2))
    assert state.group_running('plain') == 2
