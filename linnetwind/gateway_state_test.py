"""Tests of the shared state of a gateway when an upstream restarts."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.admission.permit_shares import Demand
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import ManualClock, SystemClock
from linnetwind.gateway_state import GatewayState
from linnetwind.peers.peer_table import ClassLoad, GroupSummary, StreamLoad
from linnetwind.routes import RoutedService
from linnetwind.upstream_incarnation import tag_incarnation
from linnetwind.upstreams.cold_allowance import ColdBound, ColdTolerance
from linnetwind.upstreams.cold_upstreams import AdvertisedCold
from linnetwind.upstreams.upstream_list import UpstreamRecord
from standins.gateway_fixtures import (
    MS,
    SECOND,
    evacuate,
    make_engine,
    make_peer,
    make_table,
    make_upstream,
)

PLAIN = RoutedService('plain', '/health', 96, None)
MODEL = RoutedService('model', '/health', 248, make_engine())


@pytest.fixture(name='state')
def _state():
    terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
    return GatewayState(SystemClock(), Address('127.0.0.1', 1), terms)


def _register(state, offset, *entries):
    records = [UpstreamRecord(each.instance, offset, each) for each in entries]
    state.change_upstreams(
        lambda known: known.fold_records(records, offset + 1)
    )


def _start(state, born_ms, service='plain'):
    """Register an incarnation of upstream `a` at the offset `born_ms`."""
    entry = make_upstream('a', service=service, born_ms=born_ms)
    _register(state, born_ms, entry)
    return entry


def _peer(running, *groups, counter=1):
    return make_peer('b', running=running, groups=groups, counter=counter)


def test_requests_of_the_previous_incarnation_use_no_slots_of_the_next(state):
    # Six requests are in flight at an upstream that crashes and restarts, and
    # they end one by one. Counted for the new incarnation, they took all slots.
    _start(state, 5)
    acquired = [
        state.acquire_upstream(PLAIN, frozenset()) for _call in range(6)
    ]
    _start(state, 9)
    assert state.requests_in_flight('plain') == 0
    now = state.acquire_upstream(PLAIN, frozenset())
    for each in acquired:
        state.release_upstream(each)
    assert state.requests_in_flight('plain') == 1
    state.release_upstream(now)
    assert state.running == {}


def test_a_peers_requests_at_the_previous_incarnation_do_not_count(state):
    # The peer has an older list of upstreams, and its counts are for the
    # incarnation that has ended.
    before = _start(state, 5)
    state.merge_advertised(_peer({before.life: 4}))
    assert state.requests_in_flight('plain') == 4
    _start(state, 9)
    assert state.requests_in_flight('plain') == 0


def test_failures_of_the_previous_incarnation_do_not_bar_the_next(state):
    # An upstream could not be reached and gets no requests for some time. When
    # it restarted, the other upstream of the service still got all the calls.
    before = _start(state, 5)
    _register(state, 6, make_upstream('b', 81))
    busy = next(
        each
        for each in state.upstreams.usable('plain', SECOND)
        if each.instance == 'b'
    )
    state.upstream_records.record_connect_failure(before)
    state.upstream_records.record_answer(before, 900 * MS, failed=True)
    state.upstream_records.record_answer(busy, 90 * MS, failed=False)
    state.acquire_upstream(PLAIN, frozenset({'a'}))
    restarted = _start(state, 9)
    # A late failure of the previous incarnation.
    state.upstream_records.record_connect_failure(before)
    assert state.acquire_upstream(PLAIN, frozenset()) == restarted


def _summary(group, *members, slow=()):
    return GroupSummary('model', group, 1, True, 2.0, 0, members, slow)


def test_a_slow_rank_that_restarts_does_not_count_as_slow(state):
    before = _start(state, 5, 'model')
    _register(state, 6, make_upstream('b', 81, 'model', slots=1))
    slow = (before.life,)
    state.merge_advertised(
        _peer({}, _summary('g', before.life, 'b', slow=slow))
    )
    first = [state.acquire_upstream(MODEL, frozenset()) for _call in range(3)]
    assert {each.instance for each in first} == {'b'}
    restarted = _start(state, 9, 'model')
    state.merge_advertised(
        _peer({}, _summary('g', restarted.life, 'b', slow=slow), counter=2)
    )
    assert state.acquire_upstream(MODEL, frozenset()) == restarted


def test_a_rank_without_a_group_gets_no_streams(state):
    # A rank has started, and its group has not formed anew with it yet. It
    # would refuse any stream.
    known = _start(state, 5, 'model')
    _register(state, 6, make_upstream('b', 81, 'model'))
    without_groups = {
        state.acquire_upstream(MODEL, frozenset()).instance
        for _call in range(40)
    }
    assert without_groups == {known.instance, 'b'}
    state.merge_advertised(_peer({}, _summary('g', known.life)))
    for _call in range(4):
        assert state.acquire_upstream(MODEL, frozenset()) == known


def test_a_stream_that_its_group_interrupted_resumes_in_another(state):
    # A rank dies, and all streams of its group are interrupted. Other ranks of
    # the group refuse their retries, since the whole group is broken, and the
    # callers got half a response although another group was healthy.
    for number in range(4):
        _register(
            state, number, make_upstream(f'r{number}', 80 + number, 'model')
        )
    state.merge_advertised(
        _peer({}, _summary('a', 'r0', 'r1'), _summary('b', 'r2', 'r3'))
    )
    for _call in range(20):
        acquired = state.acquire_upstream(MODEL, frozenset({'r0'}))
        assert acquired.instance in {'r2', 'r3'}


def _cold_state(service, bound=ColdBound(ColdTolerance(1, 0))):
    terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
    state = GatewayState(SystemClock(), Address('127.0.0.1', 1), terms, bound)
    table = make_table()
    services = {service.name: service}
    state.apply_table(replace(table, services=services))
    return state


@pytest.mark.parametrize('service', [PLAIN, MODEL])
def test_requests_beyond_a_cold_upstreams_allowance_go_to_others(service):
    # Streams of a model service are acquired by another way than requests.
    service = replace(service, cold_per_s=4)
    state = _cold_state(service)
    cold = make_upstream('a', 80, service.name, cold=SECOND * 9, slots=90)
    _register(state, 1, cold, make_upstream('b', 81, service.name, slots=1))
    chosen = Counter(
        state.acquire_upstream(service, frozenset()).instance
        for _request in range(40)
    )
    assert chosen == {'a': 3, 'b': 37}
    assert state.acquire_upstream(service, frozenset({'b'})) is None


def test_streams_go_to_another_group_if_all_ranks_of_one_are_cold():
    service = replace(MODEL, cold_per_s=2)
    state = _cold_state(service)
    ranks = [
        make_upstream(f'r{n}', 80 + n, 'model', cold=(n < 2) * SECOND * 9)
        for n in range(4)
    ]
    _register(state, 1, *ranks)
    state.merge_advertised(
        _peer({}, _summary('a', 'r0', 'r1'), _summary('b', 'r2', 'r3'))
    )
    for _stream in range(40):
        assert state.acquire_upstream(service, frozenset()) is not None


def test_two_requests_at_once_do_not_share_the_last_of_an_allowance():
    service = replace(PLAIN, cold_per_s=3)
    state = _cold_state(service)
    _register(state, 1, make_upstream('a', cold=SECOND * 9))
    with ThreadPoolExecutor(8) as pool:
        acquired = list(
            pool.map(
                lambda _request: state.acquire_upstream(service, frozenset()),
                range(200),
            )
        )
    assert len([each for each in acquired if each]) == 2


def test_streams_wait_while_no_cold_rank_accepts_any():
    # All ranks and daemons have restarted. A daemon that does not know its
    # peers yet sends nothing to cold ranks. If it admitted streams, it would
    # find no upstream for them and reject their callers for good.
    service = replace(MODEL, cold_per_s=2)
    bound = ColdBound(ColdTolerance(1, 0), has_peers=True)
    state = _cold_state(service, bound)
    rank = make_upstream('r', 80, 'model', cold=SECOND * 9)
    _register(state, 1, rank)
    state.merge_advertised(_peer({}, _summary('g', rank.life)))
    view = state.group_view(service, 120 * MS)
    # The time in which the states of all peers should have arrived.
    assert 1.2 * SECOND < view.opens_in <= 1.3 * SECOND
    assert view.is_backoff


def test_a_daemon_learns_of_a_cold_upstream_from_its_peers():
    # It started after the upstream did. The entry has no start time.
    service = replace(PLAIN, cold_per_s=3)
    state = _cold_state(service)
    entry = make_upstream('a')
    cold = AdvertisedCold(tag_incarnation(entry.life), 5_000)
    state.merge_advertised(replace(_peer({}), cold=(cold,)))
    _register(state, 1, entry)
    assert state.request_history.cold.count == 1


def test_statistics_of_ended_incarnations_are_dropped(state):
    # An upstream that crashes every few seconds must not use up the memory.
    for born_ms in range(50):
        state.upstream_records.record_connect_failure(_start(state, born_ms))
    _start(state, 50)
    assert len(state.upstream_records.stats) <= 1


def test_requests_of_a_peer_that_timed_out_do_not_count():
    # A host is cut off while its streams run. Counted for ever, they would
    # occupy slots that others could use.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
    state = GatewayState(clock, Address('127.0.0.1', 1), terms)
    entry = _start(state, 5)
    clock.advance(SECOND)
    state.merge_advertised(_peer({entry.life: 4}))
    assert state.requests_in_flight('plain') == 4
    clock.advance(state.peer_table.peer_timeout)
    assert state.requests_in_flight('plain') == 0
    state.merge_advertised(_peer({entry.life: 2}, counter=2))
    assert state.requests_in_flight('plain') == 2


def test_ranks_of_an_evacuated_data_centre_get_no_streams(state):
    # The group continues to pass through all its ranks.
    ranks = [
        make_upstream(name, port, 'model', site=name)
        for port, name in enumerate('ab', 80)
    ]
    _register(state, 1, *ranks)
    state.merge_advertised(_peer({}, _summary('g', *(r.life for r in ranks))))
    evacuate(state, 'a')
    acquired = [state.acquire_upstream(MODEL, frozenset()) for _call in 'abc']
    assert acquired == [ranks[1]] * 3
    assert not state.group_view(MODEL, 120 * MS).is_evacuated
    evacuate(state, 'b')
    assert state.group_view(MODEL, 120 * MS).is_evacuated
    assert state.acquire_upstream(MODEL, frozenset()) is None
    assert state.acquire_reservation(MODEL, frozenset(), SECOND) is None


def test_the_streams_of_a_peer_that_timed_out_hold_no_permits_back():
    # A daemon dies while urgent streams wait there. If its demand stayed, the
    # batch streams of all others would leave permits to it for good.
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
    state = GatewayState(clock, Address('127.0.0.1', 1), terms)
    clock.advance(SECOND)
    load = StreamLoad('model', 4, 9, (), (ClassLoad(0, 4, 9),))
    state.merge_advertised(make_peer('b', loads=(load,)))
    totals = state.stream_admission.peer_totals
    assert totals.demands('model') == {0: Demand(4, 9)}
    clock.advance(SECOND)
    state.requests_in_flight('model')
    assert totals.demands('model') == {}
