"""Tests of what gateways are told of a service's rank groups."""

from datetime import timedelta

from linnetwind.group_brief import make_brief
from linnetwind.group_looks import SeenRank
from linnetwind.pass_meter import USUAL_SKEW
from linnetwind.planned_group import (
    GROUP_FORGOTTEN,
    PlannedGroup,
    PlannedService,
    take_groups,
)
from linnetwind.rank_messages import Seen
from linnetwind.routes import RoutedService
from standins.gateway_fixtures import make_engine, make_report, make_upstream

SERVICE = RoutedService('model', '/health', 248, make_engine())
SECOND = timedelta(seconds=1)


def _group(name, *, is_open=True, paces=(1.0, 1.0), epoch=1, skew=1.5):
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
        )
        ranks[rank] = SeenRank(upstream, upstream.life, report, Seen(report))
    group = PlannedGroup(name, None, timedelta(), ranks=ranks, skew=skew)
    group.reports = {rank: each.report for rank, each in ranks.items()}
    return group


def test_a_service_takes_streams_while_one_of_its_groups_is_open():
    # One of two groups breaks. Its ranks would refuse streams, and those of
    # the other go on.
    groups = [_group('a'), _group('b', is_open=False, epoch=4, skew=2.5)]
    brief = make_brief(SERVICE, groups)
    assert brief.is_open
    assert brief.opens_in_ms == 0
    assert brief.slow == ('b0', 'b1')
    assert (brief.epoch, brief.skew) == (4, 2.5)


def test_a_broken_group_alone_closes_its_service():
    brief = make_brief(SERVICE, [_group('a', is_open=False)])
    assert not brief.is_open
    assert brief.opens_in_ms > 0
    assert brief.slow == ()


def test_slow_ranks_get_no_new_streams():
    groups = [_group('a', paces=(1.0, 3.0)), _group('b')]
    assert make_brief(SERVICE, groups).slow == ('a1',)


def test_nothing_is_said_against_a_service_of_which_nothing_is_seen():
    brief = make_brief(SERVICE, [])
    assert brief.is_open
    assert brief.skew == USUAL_SKEW


def test_a_group_that_is_gone_is_forgotten():
    planned = PlannedService(None)
    ranks = _group('a').ranks
    take_groups(planned, {'a': ranks, 'b': ranks}, timedelta())
    take_groups(planned, {'a': ranks}, GROUP_FORGOTTEN)
    assert sorted(planned.groups) == ['a', 'b']
    take_groups(planned, {'a': ranks}, GROUP_FORGOTTEN + SECOND)
    assert sorted(planned.groups) == ['a']
