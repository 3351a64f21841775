"""Tests of the choice of upstreams under loads that had overfilled some."""

import random
from datetime import timedelta

import pytest

from linnetwind.upstreams.upstream_choice import (
    MAX_EJECTION,
    UpstreamStats,
    choose_plain,
    choose_rank,
    record_answer,
    record_connect_failure,
)
from standins.gateway_fixtures import MS, SECOND, make_upstream
from standins.rank_load import Load, place_streams

MANY_DAEMONS = Load(daemons=16, arrivals_per_s=115, length_s=2.3, news_s=0.15)
FEW_DAEMONS = Load(daemons=4, arrivals_per_s=30, length_s=2.2, news_s=0.03)


def _ranks(count, slots):
    return [
        make_upstream(f'r{number}', service='model', slots=slots)
        for number in range(count)
    ]


def _choose(ranks, running):
    return choose_rank(ranks, running, frozenset())


def _fewest(ranks, running):
    fewest = min(running.get(each.instance, 0) for each in ranks)
    return random.choice(
        [each for each in ranks if running.get(each.instance, 0) == fewest]
    )


@pytest.fixture(autouse=True)
def _same_choices():
    random.seed(11)


def test_streams_do_not_pile_up_on_the_rank_with_the_fewest_streams():
    # Sixteen daemons place 115 streams a second by peer states that are 0.15 s
    # old. The rank with the fewest streams is the same for all of them: up to
    # 15 streams went to ranks with 5 slots, and callers waited for seconds
    # there while other ranks had free slots.
    ranks = _ranks(72, 5)
    assert place_streams(ranks, MANY_DAEMONS, _fewest).share > 0.08
    assert place_streams(ranks, MANY_DAEMONS, _choose).share < 0.04


def test_with_fresh_peer_states_hardly_any_stream_waits_for_a_slot():
    placed = place_streams(_ranks(16, 6), FEW_DAEMONS, _choose)
    assert placed.share < 0.01


def test_in_a_full_group_the_rank_with_the_fewest_streams_is_chosen():
    ranks = _ranks(3, 2)
    running = {'r0': 4, 'r1': 3, 'r2': 5}
    assert _choose(ranks, running).instance == 'r1'


def test_a_slow_rank_gets_no_streams_while_there_are_others():
    ranks = _ranks(3, 2)
    running = {'r0': 2, 'r1': 2}
    slow = frozenset(('r2',))
    assert choose_rank(ranks, running, slow).instance in {'r0', 'r1'}
    assert choose_rank(ranks[2:], running, slow).instance == 'r2'


def test_upstreams_in_slow_start_get_less():
    # Guards against an upstream that gets most requests once it is warm, since
    # none run there yet.
    ranks = _ranks(2, 4)
    weights = {'r0': 0.25}
    chosen = [choose_rank(ranks, {}, frozenset(), weights) for _ in range(500)]
    share = sum(each.instance == 'r0' for each in chosen) / len(chosen)
    assert 0.15 < share < 0.25
    plain = choose_plain(ranks, {'r1': 2}, {}, SECOND, weights)
    assert plain.instance == 'r1'
    plain = choose_plain(ranks, {'r1': 4}, {}, SECOND, weights)
    assert plain.instance == 'r0'


def test_an_upstream_that_fails_often_gets_less_work():
    # Its health check succeeds, and its failures come quickly.
    upstreams = _ranks(3, 6)
    records = {}
    for each in upstreams:
        record = UpstreamStats(SECOND)
        for _answer in range(20):
            failed = each.instance == 'r1'
            record = record_answer(record, SECOND, 10 * MS, failed=failed)
        records[each.instance] = record
    chosen = choose_plain(upstreams, {'r0': 2, 'r2': 2}, records, SECOND)
    assert chosen.instance != 'r1'


def test_ejection_never_empties_a_service():
    # All upstreams but one refuse connections for a moment. Requests still go
    # to all of them, rather than to the remaining one alone.
    upstreams = _ranks(4, 6)
    records = {
        each.instance: record_connect_failure(UpstreamStats(SECOND), SECOND)
        for each in upstreams[:3]
    }
    running = {'r3': 5}
    chosen = choose_plain(upstreams, running, records, SECOND)
    assert chosen.instance != 'r3'
    assert choose_plain([], {}, {}, timedelta()) is None


def test_many_failed_connections_do_not_overflow_the_ejection():
    # The only upstream of a service is unreachable for minutes, and every
    # request tries it. If the ejection doubles without a bound, it exceeds the
    # range of a timedelta after 48 failures in a row; the exception closed
    # callers' connections without a response.
    record = UpstreamStats(SECOND)
    for _failure in range(2000):
        record = record_connect_failure(record, SECOND)
    assert record.ejected_until == SECOND + MAX_EJECTION
