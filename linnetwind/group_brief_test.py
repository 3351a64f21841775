"""Tests of what gateways are told of a service's rank groups."""

from datetime import timedelta

from linnetwind.group_brief import make_briefs
from linnetwind.group_looks import SeenRank
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
        ranks[rank] = SeenRank(upstream, upstream.life, report, Seen(report))
    group = PlannedGroup(name, None, timedelta(), ranks=ranks, skew=skew)
    group.reports = {rank: each.report for rank, each in ranks.items()}
    group.lives = {rank: each.life for rank, each in ranks.items()}
    return group


def _briefs(groups, now=timedelta()):
    return {each.group: each for each in make_briefs(SERVICE, groups, now, {})}


def test_a_broken_group_is_told_apart_from_a_sound_one():
    # One of two groups breaks. Its ranks would refuse streams, and those of
    # the other go on.
    groups = [_group('a'), _group('b', is_open=False, epoch=4, skew=2.5)]
    briefs = _briefs(groups)
    assert briefs['a'].is_open
    assert briefs['a'].opens_in_ms == 0
    assert briefs['a'].members == ('a0', 'a1')
    assert not briefs['b'].is_open
    assert briefs['b'].members == ('b0', 'b1')
    assert (briefs['b'].epoch, briefs['b'].skew) == (4, 2.5)


def test_a_group_with_all_ranks_back_only_has_to_form():
    forming = _briefs([_group('a', is_open=False)])['a']
    assert forming.opens_in_ms == SERVICE.engine.form_ms


def test_a_rank_that_is_long_away_is_expected_to_stay_away():
    # Callers wait for a group that opens soon. Told again and again that the
    # dead rank is back in 0.8 s, each would wait out its time and be refused.
    group = _group('a', is_open=False, paces=(1.0, 1.0, 1.0))
    group.reports.pop(2)
    forming = timedelta(milliseconds=SERVICE.engine.form_ms)
    soon = _briefs([group], SECOND / 10)['a'].opens_in_ms
    late = _briefs([group], 3 * SECOND)['a'].opens_in_ms
    assert soon == (forming + 0.8 * SECOND) / timedelta(milliseconds=1)
    assert late == (forming + 3 * SECOND) / timedelta(milliseconds=1)


def test_a_rank_that_does_not_answer_stays_a_member():
    # An agent is slow for one look. If its rank were no member, the streams
    # that run there would not be counted, and others begin in their places.
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.ranks.pop(1)
    group.reports.pop(1)
    assert _briefs([group])['a'].members == ('a0', 'a1', 'a2')


def test_slow_ranks_get_no_new_streams():
    groups = [_group('a', paces=(1.0, 3.0)), _group('b')]
    briefs = _briefs(groups)
    assert briefs['a'].slow == ('a1',)
    assert briefs['b'].slow == ()


def test_of_a_service_without_groups_nothing_is_said():
    assert _briefs([]) == {}


def test_a_group_that_is_gone_is_forgotten():
    planned = PlannedService(None)
    ranks = _group('a').ranks
    take_groups(planned, {'a': ranks, 'b': ranks}, timedelta())
    take_groups(planned, {'a': ranks}, GROUP_FORGOTTEN)
    assert sorted(planned.groups) == ['a', 'b']
    take_groups(planned, {'a': ranks}, GROUP_FORGOTTEN + SECOND)
    assert sorted(planned.groups) == ['a']


def test_a_group_whose_passes_stand_still_without_a_rank_is_broken():
    # One rank has crashed. The others say "open" until their engines give up,
    # 1.5 s later; streams that were sent to them meanwhile were refused then.
    group = _group('a', paces=(1.0, 1.0, 1.0), running=4)
    group.reports.pop(1)
    group.whole_at = SECOND
    group.stepped_at = 1.1 * SECOND
    assert _briefs([group], 1.3 * SECOND)['a'].is_open
    assert not _briefs([group], 1.4 * SECOND)['a'].is_open


def test_a_rank_that_only_the_planner_misses_leaves_its_group_open():
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    group.stepped_at = 4.9 * SECOND
    assert _briefs([group], 5 * SECOND)['a'].is_open


def test_an_outage_is_expected_to_last_as_long_as_the_last_one():
    # Told too short a time, callers come back twice in vain.
    group = _group('a', is_open=False, paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    outages = {'a': 4 * SECOND}
    soon = make_briefs(SERVICE, [group], SECOND, outages)[0].opens_in_ms
    late = make_briefs(SERVICE, [group], 5 * SECOND, outages)[0].opens_in_ms
    assert soon == 3000
    assert late == SERVICE.engine.form_ms + 5000


def test_an_idle_group_is_not_closed_by_one_slow_agent():
    # Nothing runs, so that no passes are made. One look takes half a second,
    # since an agent does not answer; the next caller must not be sent away.
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    group.whole_at = SECOND
    assert _briefs([group], 1.6 * SECOND)['a'].is_open
    assert not _briefs([group], 2 * SECOND)['a'].is_open


def test_a_group_is_open_again_if_its_ranks_still_say_so():
    # The planner never reaches one rank, and nothing runs. The group was
    # closed for that, no stream could begin, and it stayed closed: of a day's
    # requests 0.06 were served.
    group = _group('a', paces=(1.0, 1.0, 1.0))
    group.reports.pop(1)
    group.whole_at = SECOND
    assert not _briefs([group], 3 * SECOND)['a'].is_open
    assert _briefs([group], 4 * SECOND)['a'].is_open
