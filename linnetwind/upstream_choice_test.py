"""Tests of which upstream takes a request, with loads that went wrong."""

import random
from datetime import timedelta

import pytest

from linnetwind.upstream_choice import (
    LONGEST_REST,
    Record,
    choose_plain,
    choose_rank,
    note_answer,
    note_miss,
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
    least = min(running.get(each.instance, 0) for each in ranks)
    return random.choice(
        [each for each in ranks if running.get(each.instance, 0) == least]
    )


@pytest.fixture(autouse=True)
def _same_choices():
    random.seed(11)


def test_streams_do_not_pile_up_on_the_rank_that_looked_empty():
    # Sixteen daemons with news 0.15 s old place 115 streams a second. The rank
    # with the fewest streams is the same for all of them: up to 15 streams
    # went to ranks with 5 slots, and callers waited for seconds there while
    # other ranks had free slots.
    ranks = _ranks(72, 5)
    assert place_streams(ranks, MANY_DAEMONS, _fewest).share > 0.08
    assert place_streams(ranks, MANY_DAEMONS, _choose).share < 0.04


def test_with_fresh_news_hardly_any_stream_waits_for_a_slot():
    placed = place_streams(_ranks(16, 6), FEW_DAEMONS, _choose)
    assert placed.share < 0.01


def test_a_full_group_takes_the_rank_with_the_fewest_streams():
    ranks = _ranks(3, 2)
    running = {'r0': 4, 'r1': 3, 'r2': 5}
    assert _choose(ranks, running).instance == 'r1'


def test_a_slow_rank_gets_no_streams_while_there_are_others():
    ranks = _ranks(3, 2)
    running = {'r0': 2, 'r1': 2}
    slow = frozenset(('r2',))
    assert choose_rank(ranks, running, slow).instance in {'r0', 'r1'}
    assert choose_rank(ranks[2:], running, slow).instance == 'r2'


def test_an_upstream_that_fails_often_gets_less_work():
    # Its health check is good and its failures come quickly.
    upstreams = _ranks(3, 6)
    records = {}
    for each in upstreams:
        record = Record(SECOND)
        for _answer in range(20):
            failed = each.instance == 'r1'
            record = note_answer(record, SECOND, 10 * MS, failed=failed)
        records[each.instance] = record
    chosen = choose_plain(upstreams, {'r0': 2, 'r2': 2}, records, SECOND)
    assert chosen.instance != 'r1'


def test_ejection_never_empties_a_service():
    # All upstreams but one refuse connections for a moment. Requests go on to
    # all of them rather than to one alone.
    upstreams = _ranks(4, 6)
    records = {
        each.instance: note_miss(Record(SECOND), SECOND)
        for each in upstreams[:3]
    }
    running = {'r3': 5}
    chosen = choose_plain(upstreams, running, records, SECOND)
    assert chosen.instance != 'r3'
    assert choose_plain([], {}, {}, timedelta()) is None


def test_an_upstream_that_is_away_for_long_can_still_be_noted():
    # The only upstream of a service is away for minutes, and every request
    # tries it. After 48 misses in a row the doubled rest was too long for a
    # time, the note raised, and callers' connections closed without an answer.
    record = Record(SECOND)
    for _miss in range(2000):
        record = note_miss(record, SECOND)
    assert record.rests_until == SECOND + LONGEST_REST
