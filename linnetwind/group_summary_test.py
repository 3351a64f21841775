"""Tests of the summaries of rank groups that a planner sends to gateways."""

from datetime import timedelta
from math import inf

from linnetwind.group_observations import ObservedRank
from linnetwind.group_summary import make_summaries
from linnetwind.peers.peer_table import MAX_PACE
from linnetwind.planned_group import (
    GROUP_EXPIRY,
    PlannedGroup,
    PlannedService,
    update_groups,
)
from linnetwind.rank_messages import RankSnapshot
from linnetwind.routes import RoutedService
from standins.gateway_fixtures import make_engine, make_report, make_upstream

SERVICE = RoutedService('model', '/health', 248, make_engine())
SECOND = timedelta(seconds=1)


def _group(
    name, *, is_open=True, paces=(1.0, 1.0), epoch=1, skew=1.5, running=0
):
    ranks = {}
    for rank, pace in enumerate(paces):
        upstream = make_upstream(f'{name}{rank}', 81 + rank, 'model')
        report = make_report(
            group=name,
            rank=rank,
            size=len(paces),
            epoch=epoch,
            is_open=is_open,
            pace=pace,
            running=running,
        )
        ranks[rank] = ObservedRank(
            upstream, upstream.life, report, RankSnapshot(report)
        )
    group = PlannedGroup(name, None, timedelta(), ranks=ranks, skew=skew)
    group.reports = {rank: each.report for rank, each in ranks.items()}
    group.incarnations = {rank: each.life for rank, each in ranks.items()}
    return group


def _summaries(groups, now=timedelta()):
    return {
        each.group: each for each in make_summaries(SERVICE, groups, now, {})
    }


def test_a_broken_group_is_distinguished_from_a_healthy_one():
    # One of two groups breaks. Its ranks would refuse streams, while those of
    # the other still accept them.
    groups = [_group('a'), _group('b', is_open=False, epoch=4, skew=2.5)]
    summaries = _summaries(groups)
    assert summaries['a'].is_open
    assert summaries['a'].opens_in_ms == 0
    assert summaries['a'].members == ('a0', 'a1')
    assert not summaries['b'].is_open
    assert summaries['b'].members == ('b0', 'b1')
    assert (summaries['b'].epoch, summaries['b'].skew) == (4, 2.5)


def test_a_group_with_all_ranks_back_only_has_to_form():
    forming = _summaries([_group('a', is_open=False)])['a']
    assert forming.opens_in_ms == SERVICE.engine.form_ms


def test_the_longer_a_rank_is_missing_the_later_it_is_expected_back():
    # Callers wait for a group that opens soon. If the crashed rank were always
    # expected back in 0.8 s, each caller would wait for its whole timeout and
    # then be refused.
    group = _group('a', is_open=False, paces=(1.0, 1.0, 1.0))
    group.reports.pop(2)
    forming = timedelta(milliseconds=SERVICE.engine.form_ms)
    soon = _summaries([group], SECOND / 10)['a'].opens_in_ms
    late = _summaries([group], 3 * SECOND)['a'].opens_in_ms
    assert soon == (forming + 0.8 * SECOND) / timedelta(milliseconds=1)
    assert late == (forming + 3 * SECOND) / timedelta(milliseconds=1)


def test_a_rank_that_does_not_reply_stays_a_member():
    # An agent misses one poll. If its rank were no member, the streams that run
    # there would not be counted, and too many others would be admitted.
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.ranks.pop(1)
    group.reports.pop(1)
    assert _summaries([group])['a'].members == ('a0', 'a1', 'a2')


def test_slow_ranks_get_no_new_streams():
    groups = [_group('a', paces=(1.0, 3.0)), _group('b')]
    summaries = _summaries(groups)
    assert summaries['a'].slow == ('a1',)
    assert summaries['b'].slow == ()
    assert (summaries['a'].pace, summaries['b'].pace) == (3.0, 1.0)


def test_a_rank_without_a_finite_pace_does_not_make_states_undecodable():
    assert _summaries([_group('a', paces=(1.0, inf))])['a'].pace == MAX_PACE


def test_a_service_without_groups_has_no_summaries():
    assert _summaries([]) == {}


def test_a_group_that_does_not_reply_expires():
    planned = PlannedService(None)
    ranks = _group('a').ranks
    update_groups(planned, {'a': ranks, 'b': ranks}, timedelta())
    update_groups(planned, {'a': ranks}, GROUP_EXPIRY)
    assert sorted(planned.groups) == ['a', 'b']
    update_groups(planned, {'a': ranks}, GROUP_EXPIRY + SECOND)
    assert sorted(planned.groups) == ['a']


def test_a_group_that_stalls_while_a_rank_is_missing_is_broken():
    # One rank has crashed. The others report the group as open until their
    # engines give up 1.5 s later, and then refuse the streams that were sent to
    # them meanwhile.
    group = _group('a', paces=(1.0, 1.0, 1.0), running=4)
    group.reports.pop(1)
    group.whole_at = SECOND
    group.progressed_at = 1.1 * SECOND
    assert _summaries([group], 1.3 * SECOND)['a'].is_open
    assert not _summaries([group], 1.4 * SECOND)['a'].is_open


def test_a_rank_that_only_the_planner_cannot_reach_leaves_the_group_open():
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    group.progressed_at = 4.9 * SECOND
    assert _summaries([group], 5 * SECOND)['a'].is_open


def test_an_outage_is_expected_to_last_as_long_as_the_previous_one():
    # A caller that is given too short a time retries twice in vain.
    group = _group('a', is_open=False, paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    outages = {'a': 4 * SECOND}
    soon = make_summaries(SERVICE, [group], SECOND, outages)[0].opens_in_ms
    late = make_summaries(SERVICE, [group], 5 * SECOND, outages)[0].opens_in_ms
    assert soon == 3000
    assert late == SERVICE.engine.form_ms + 5000


def test_an_idle_group_is_not_closed_by_one_slow_agent():
    # No stream runs, so the group makes no passes. One poll takes half a second
    # because an agent does not reply; the next caller must not be rejected.
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    group.whole_at = SECOND
    assert _summaries([group], 1.6 * SECOND)['a'].is_open
    assert not _summaries([group], 2 * SECOND)['a'].is_open


def test_an_idle_group_reopens_if_its_ranks_still_report_it_open():
    # The planner never reaches one rank, and no stream runs. The group was
    # closed for that, so that no stream could start and show that it was
    # healthy. It stayed closed, and 0.06 of a day's requests were served.
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    group.whole_at = SECOND
    assert not _summaries([group], 3 * SECOND)['a'].is_open
    assert _summaries([group], 4 * SECOND)['a'].is_open
