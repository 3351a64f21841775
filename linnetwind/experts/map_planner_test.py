"""Tests of the planner: ranks that restart, and planners that compete."""

import random
from dataclasses import replace

import pytest

from linnetwind.experts.copy_payback import USUAL_LIFE
from linnetwind.gateway_events import MapPlanned
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.rank_types import HoldPass, PrepareMap
from standins.gateway_fixtures import make_upstream
from standins.planner_harness import ENGINE, PlannerHarness


@pytest.fixture(name='harness')
def _harness():
    return PlannerHarness()


def test_a_rank_restarted_at_another_address_is_polled_there(harness):
    # A worker crashes and restarts under its name at another address. The
    # planner kept polling the old address: it saw one rank less than the group
    # has, and planned no more maps.
    harness.poll()
    harness.ranks.pop(82)
    harness.start(1, 92, born_ms=2, epoch=2)
    harness.ranks[81].report = replace(harness.ranks[81].report, epoch=2)
    group = harness.poll()
    assert sorted(group.reports) == [0, 1]
    assert [link.closed for _to, link in harness.links] == [False, True, False]


def test_a_map_of_the_previous_incarnation_is_not_reused(harness):
    # The rank restarts, and for a moment its epoch and map version look as
    # before. A plan made from the experts of the previous incarnation names
    # copies that no longer exist.
    harness.poll()
    group = harness.poll()
    assert group.maps == (((0, 1), (2, 3)),)
    harness.start(1, 82, born_ms=2, epoch=1)
    harness.ranks[82].experts = replace(
        harness.ranks[82].experts, experts=((3,),)
    )
    harness.poll()
    group = harness.poll()
    assert group.maps == (((0, 1), (3,)),)


def test_a_target_map_is_dropped_when_a_rank_restarts(harness):
    harness.poll()
    harness.count(81, 5, 0, 0, 0, 0)
    harness.count(81, 6, 9_000, 0, 0, 0)
    harness.count(82, 6, 0, 0, 0, 0)
    group = harness.poll()
    assert group.target is not None
    assert any(
        isinstance(each, PrepareMap) for each in harness.ranks[81].orders
    )
    target_version = group.target.version
    harness.start(1, 82, born_ms=2, step=6)
    group = harness.poll()
    assert group.target is None or group.target.version != target_version


def test_counts_of_a_previous_incarnation_are_not_subtracted(harness):
    # The counts of a restarted rank start again from 0. Their negative
    # difference, added to the counts of the other ranks, cancelled part of what
    # those had counted.
    harness.count(82, 5, 5_000, 0, 0, 0)
    harness.poll()
    harness.start(1, 82, born_ms=2, step=7)
    harness.count(81, 7, 900, 0, 0, 0)
    group = harness.poll()
    assert group.demand.recent[0] == pytest.approx(900)


def test_counts_and_report_of_two_incarnations_are_not_mixed(harness):
    # The agent reads the counts, then the rank restarts, then the agent reads
    # the report.
    harness.poll()
    harness.ranks[82].report = replace(harness.ranks[82].report, born_ms=2)
    harness.count(81, 6, 1_000, 0, 0, 0)
    harness.count(82, 6, 7_000, 0, 0, 0)
    group = harness.poll()
    assert group.demand.recent[0] == pytest.approx(1_000)


def test_peers_learn_which_incarnation_is_slow(harness):
    # The list of upstreams is outdated and names the previous incarnation; the
    # report comes from the next one.
    report = replace(harness.ranks[82].report, pace=3.0, born_ms=2)
    harness.ranks[82].report = report
    harness.poll()
    assert harness.mesh.summaries[0].slow == ('r1#2',)


def test_dropped_entries_of_dead_workers_keep_the_map(harness):
    # After a group had formed again, all its streams were late for two seconds.
    # Its workers had registered again while their old entries remained for
    # three heartbeats, so that each rank replied through both entries. As the
    # old entries were dropped one by one, the planner took this for a restart,
    # discarded the group's map and planned it from the start.
    for rank in range(2):
        harness.start(rank, 81 + rank, born_ms=None)
        harness.register(make_upstream(f'a{rank}', 81 + rank, 'model'))
    harness.read_by_key()
    harness.poll()
    group = harness.poll()
    assert [group.ranks[rank].life for rank in range(2)] == ['a0', 'a1']
    maps = group.maps
    assert maps is not None
    for dropped in ('r0', 'r1'):
        harness.drop(dropped)
        harness.poll()
        assert harness.poll().maps is maps


def test_the_entry_of_the_replying_incarnation_is_used(harness):
    # The worker has restarted under another name, and the entry of its previous
    # incarnation stays for three heartbeats; both entries lead to the same
    # process.
    harness.register(make_upstream('z1', 82, 'model', born_ms=9))
    group = harness.poll()
    assert group.ranks[1].upstream.instance == 'r1'
    harness.ranks[82].report = replace(harness.ranks[82].report, born_ms=9)
    group = harness.poll()
    assert group.ranks[1].upstream.instance == 'z1'


def test_a_reply_of_the_next_incarnation_drops_the_target_map(harness):
    # The rank restarts while it receives an order, and the reply carries the
    # report of its next incarnation. When that report was attributed to the
    # previous incarnation, the target map stayed, although it was planned from
    # a map that the new incarnation does not hold.
    harness.poll()
    harness.count(81, 6, 9_000, 0, 0, 0)
    target_version = harness.poll().target.version
    for rank in harness.ranks.values():
        rank.report = replace(rank.report, prepared=target_version)
        rank.orders.clear()
    harness.ranks[81].restarts_at = HoldPass
    group = harness.poll()
    assert [type(each) for each in harness.ranks[81].orders] == [HoldPass]
    assert (group.target, group.maps) == (None, None)
    assert group.ranks[0].life == 'r0#2'


def test_a_superseded_planner_lets_the_other_finish(harness, monkeypatch):
    # Two gateways cannot reach each other, and both plan. Each found its map
    # superseded by the newer version of the other and immediately planned a
    # still newer one, which superseded the other's in turn: the stages
    # "preparing for another planner" and "idle" and the event "MapPlanned"
    # alternated twice a second for 15 s and more. The group kept its map, with
    # a skew of 1.74, until one of the planners was gone.
    monkeypatch.setattr(random, 'random', lambda: 1.0)
    harness.poll()
    harness.count(81, 6, 9_000, 0, 0, 0)
    harness.count(82, 6, 0, 0, 0, 0)
    target = harness.poll().target
    assert target is not None
    for rank in harness.ranks.values():
        rank.orders.clear()
        rank.report = replace(rank.report, prepared=target.version + 1)
    for step in range(7, 12):
        harness.count(81, step, 9_000 * step, 0, 0, 0)
        harness.poll()
    assert [each.orders for each in harness.ranks.values()] == [[], []]


def test_both_groups_of_a_service_get_maps(harness):
    # The ranks of two groups of one service have the same numbers. If they are
    # treated as one group, half of them never get a map. If reports also arrive
    # in another order, some ranks of each group are armed and others are not,
    # and the next pass of a group mixes two maps.
    for rank in range(2):
        harness.start(rank, 83 + rank, born_ms=1, group='h')
        harness.register(
            make_upstream(f'r{rank}', 81 + rank, 'model', born_ms=1)
        )
        harness.register(
            make_upstream(f's{rank}', 83 + rank, 'model', born_ms=1)
        )
    harness.poll()
    for port in harness.ranks:
        harness.count(port, 5, 0, 0, 0, 0)
    harness.poll()
    for port in (81, 83):
        harness.count(port, 6, 9_000, 0, 0, 0)
    for port in (82, 84):
        harness.count(port, 6, 0, 0, 0, 0)
    harness.poll()
    prepared = {
        port
        for port, rank in harness.ranks.items()
        if any(isinstance(each, PrepareMap) for each in rank.orders)
    }
    assert prepared == {81, 82, 83, 84}


def test_a_planner_that_leads_again_keeps_its_state(harness):
    # All hosts of a group lose power. The leader reaches no rank for a second,
    # hands the lead over, and gets it back after a tenth of a second, since no
    # other daemon reaches a rank either. Each time it opened all links again
    # and counted from 0, and the first map after the power loss came seconds
    # late.
    harness.poll()
    group = harness.poll()
    opened = len(harness.links)
    harness.mesh.leading = False
    harness.planner.run_once()
    harness.mesh.leading = True
    assert harness.poll() is group
    assert len(harness.links) == opened


def test_counts_that_jump_back_are_no_shift_of_demand(harness):
    # A rank restarts in the same epoch and counts from 0. A shift found there
    # would shorten the expected life of all later plans.
    for step in range(6, 12):
        harness.count(81, step, 900 * step, 300 * step, 0, 0)
        harness.count(82, step, 900 * step, 300 * step, 0, 0)
        group = harness.poll()
    lasting = group.lasting
    harness.start(1, 82, born_ms=2, step=0)
    group = harness.poll()
    assert group.lasting is lasting
    assert group.shifts.shifted_at is None


def test_a_planned_map_is_logged_and_counted_with_its_copies(harness):
    # Copies cost more than anything else, and moves alone do not show their
    # size.
    harness.poll()
    harness.count(81, 6, 9_000, 0, 0, 0)
    harness.count(82, 6, 0, 0, 0, 0)
    harness.poll()
    (event,) = (
        each
        for each in harness.planner._log.events
        if isinstance(each, MapPlanned)
    )
    assert event.moves > 0
    assert event.copies_gb == pytest.approx(event.moves * ENGINE.expert_gb)
    assert event.life == USUAL_LIFE
    metrics = GatewayMetrics()
    metrics.observe(event)
    line = f'linnetwind_expert_copies_gigabytes_total {event.copies_gb}\n'
    assert line in metrics.render().decode()
