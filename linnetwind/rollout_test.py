"""Tests of switching the expert map of a group under random faults."""

import random
from dataclasses import replace

import pytest

from linnetwind import rollout
from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    PrepareMap,
    ReleasePass,
)
from linnetwind.rollout import (
    LEAD_PASSES,
    LONG_LEAD_PASSES,
    RankCommand,
    Round,
    TargetMap,
    is_whole,
    next_round,
)
from standins.rank_orders import GroupModel, Walk
from standins.rank_restarts import Restart, RestartScript

SEEDS = range(40)
STEPS = 1500


def _walk(seed, decide=next_round, planners=2, partly=False):
    walk = Walk(seed, 4, planners, decide, partly)
    walk.run(STEPS)
    return walk


@pytest.mark.parametrize('planners', [1, 2, 3])
def test_no_pass_mixes_two_maps(planners):
    # Orders are lost, repeated, or carried out long after they were sent;
    # planners decide from partly outdated reports; ranks restart. With mixed
    # maps a caller would get tokens from experts that are not loaded.
    for seed in SEEDS:
        assert _walk(seed, planners=planners).group.mixed == [], seed


@pytest.mark.parametrize('planners', [1, 2, 3])
def test_no_pass_mixes_two_maps_with_reports_of_different_age(planners):
    # A planner gets new reports from the ranks that it has just sent orders to
    # and keeps older reports of the others, while other planners and late
    # orders change those. No pass may mix two maps, and no pass may stay held
    # for ever.
    for seed in SEEDS:
        walk = _walk(seed, planners=planners, partly=True)
        assert walk.group.mixed == [], seed
        before = walk.group.step
        walk.settle()
        assert walk.group.mixed == [], seed
        assert walk.group.step > before + 50, seed


def test_ranks_of_two_groups_do_not_form_a_whole_group():
    # Two groups have ranks with the same numbers. If rank 0 of one and rank 1
    # of the other are treated as a group, both are armed, the other ranks of
    # the two groups are not, and the next pass of each group mixes two maps.
    reports = dict(_walk(1, planners=1).group.reports())
    assert is_whole(reports)
    reports[1] = replace(reports[1], group='another')
    assert not is_whole(reports)


def test_maps_are_switched_despite_faults():
    switches = [_walk(seed).group.switches for seed in SEEDS]
    assert sum(each > 0 for each in switches) > len(switches) / 2


def test_one_planner_finishes_rollouts_that_others_abandoned():
    # Planners die or freeze between any two orders: a pass is held, some ranks
    # are armed, others have a newer map prepared. Until another planner
    # finishes the rollout, the whole group is blocked.
    for seed in SEEDS:
        walk = _walk(seed, planners=3)
        before = walk.group.step
        walk.settle()
        assert walk.group.mixed == [], seed
        assert walk.group.step > before + 100, seed


def _release_early(reports, target):
    """Release the pass as soon as half of the ranks are armed."""
    decided = next_round(reports, target)
    armed = sum(each.armed is not None for each in reports.values())
    if decided.stage == 'arming' and armed >= 2:
        held = reports[0].held
        order = ReleasePass(held, reports[0].epoch)
        return Round('releasing', (RankCommand(0, order),))
    return decided


def _arm_without_hold(reports, target):
    """Arm the ranks for a pass that is not held."""
    decided = next_round(reports, target)
    if decided.stage != 'holding':
        return decided
    step = max(each.step for each in reports.values()) + 3
    orders = [
        RankCommand(
            rank, ArmMap(target.version, step, each.epoch, each.sequence)
        )
        for rank, each in reports.items()
    ]
    return Round('arming', tuple(orders))


def _disarm_unsafely(reports, target):
    """Disarm ranks when arming seems stuck, and release the held pass."""
    if not reports:
        return Round('idle')
    held = reports[0].held
    armed = [rank for rank, each in reports.items() if each.armed is not None]
    if held is not None and 0 < len(armed) < len(reports):
        orders = [
            RankCommand(
                rank, DisarmMap(reports[rank].armed, reports[rank].epoch)
            )
            for rank in armed
        ]
        release = RankCommand(0, ReleasePass(held, reports[0].epoch))
        return Round('disarming', (*orders, release))
    return next_round(reports, target)


@pytest.mark.parametrize(
    'decide', [_release_early, _arm_without_hold, _disarm_unsafely]
)
def test_random_walk_finds_mixed_maps_without_each_safeguard(decide):
    assert any(_walk(seed, decide).group.mixed for seed in SEEDS)


def test_stray_hold_after_a_finished_rollout_is_released():
    # A hold is carried out seconds late, when the map that it was for is
    # already in use. Nothing depends on it any more, and the group would stay
    # blocked for ever.
    group = GroupModel(4)
    for each in group.ranks:
        each.maps = each.prepared = (1000, ('a',))
        each.had = 1000
    assert group.obey(RankCommand(0, HoldPass(2, 1, 0)))
    needed = next_round(group.reports(), None)
    assert needed.stage == 'a new map is needed'
    target = TargetMap(2000, ('b',))
    stages = []
    for _round in range(20):
        decided = next_round(group.reports(), target)
        stages.append(decided.stage)
        for command in decided.commands:
            group.obey(command)
        for rank in range(4):
            group.copy_done(rank)
        group.try_pass()
    assert 'releasing' in stages
    assert group.mixed == []
    assert group.step > 5


@pytest.mark.parametrize('seed', [1126, 1148, 1172])
def test_outdated_target_does_not_leave_a_group_blocked(seed):
    # A planner still targets a version older than those that the ranks have
    # seen, while a late hold blocks the next pass. Every rank refuses the old
    # version for ever, and callers wait for a blocked group.
    walk = Walk(seed, 3 + seed % 4, 1 + seed % 3, next_round)
    walk.run(2000)
    before = walk.group.step
    walk.settle()
    assert walk.group.step > before + 50


def test_no_orders_while_a_rank_is_missing():
    reports = GroupModel(4).reports()
    del reports[2]
    assert next_round(reports, TargetMap(1000, ())).commands == ()


def test_no_orders_across_epochs():
    reports = GroupModel(4).reports()
    reports[2] = replace(reports[2], epoch=2)
    assert next_round(reports, TargetMap(1000, ())).commands == ()
    assert not rollout.is_whole(reports)


def _blocked_passes(seed, lead, lost=0.1):
    """Switch one map in 72 ranks; return how many passes were blocked."""
    source = random.Random(seed)
    group = GroupModel(72)
    target = TargetMap(1000, ('a',))
    blocked = 0
    for _round in range(60):
        decided = next_round(group.reports(), target, lead)
        for command in decided.commands:
            if source.random() > lost:
                group.obey(command)
        for rank in range(72):
            group.copy_done(rank)
        # One pass takes about as long as one round of orders.
        blocked += not group.try_pass()
        if decided.stage == 'in use':
            return blocked
    raise AssertionError('the group never switched to the map')


def test_lost_orders_block_no_pass_with_a_long_lead():
    # One order in ten goes unanswered. With the usual lead the group waits at
    # the held pass until the last rank is armed, and every stream pauses.
    seeds = range(20)
    assert sum(_blocked_passes(seed, LEAD_PASSES) for seed in seeds) >= 20
    assert sum(_blocked_passes(seed, LONG_LEAD_PASSES) for seed in seeds) == 0


@pytest.mark.parametrize('planners', [1, 2, 3])
def test_no_pass_mixes_two_maps_while_ranks_restart(planners):
    # Single ranks restart under their names at any time: a restarted rank holds
    # no map, counts its orders from 0, and reports the old epoch until the
    # group has formed again. Orders for its previous incarnation arrive late.
    for seed in SEEDS:
        walk = Walk(seed, 4, planners, next_round, partly=True, alone=True)
        walk.run(STEPS)
        assert walk.group.mixed == [], seed
        before = walk.group.step
        walk.settle()
        assert walk.group.mixed == [], seed
        assert walk.group.step > before + 50, seed


RANKS = 3
FIRST, SECOND, THIRD = (
    TargetMap(version, (name,))
    for version, name in ((1000, 'a'), (2000, 'b'), (2500, 'c'))
)
REPLAYED = (None, PrepareMap, ArmMap, DisarmMap, HoldPass, ReleasePass)
# At least as many orders, copies and passes as it takes until the second map is
# in use.
RESTART_POINTS = range(90)
RESTARTS = [
    Restart(point, rank, late)
    for point in RESTART_POINTS
    for rank in range(RANKS)
    for late in REPLAYED
]


def _run_with_restart(restart, targets, **binds):
    group = GroupModel(RANKS, **binds)
    script = RestartScript(group, restart, next_round)
    script.run(targets, 60)
    return script


def _has_failed(script, last):
    """Return whether a pass mixed maps, or the last map was never used."""
    return bool(script.group.mixed) or last.version not in script.used


@pytest.mark.parametrize('late', REPLAYED)
def test_rank_restart_at_any_point_breaks_no_rollout(late):
    # At each order, copy completion and pass of two rollouts one rank restarts,
    # and all earlier orders are delivered again. No pass mixes maps, the group
    # continues, and it switches to the map that is targeted then.
    cases = [each for each in RESTARTS if each.late == late]
    for restart in cases:
        script = _run_with_restart(restart, [FIRST, SECOND, THIRD])
        assert script.happened > RESTART_POINTS[-1]
        assert not _has_failed(script, THIRD), restart


@pytest.mark.parametrize(
    'seed, planners, unbound',
    [
        (48, 1, {'binds_epoch': False}),
        (125, 2, {'binds_sequence': False}),
        (8, 3, {'binds_sequence': False}),
        (140, 2, {'binds_epoch': False, 'binds_sequence': False}),
    ],
)
def test_orders_for_a_previous_incarnation_mix_maps_unless_bound(
    seed, planners, unbound
):
    # The engine here accepts orders of another epoch, or for another number of
    # started orders. An order for a rank's previous incarnation is then carried
    # out by the next one, and a pass mixes two maps.
    for binds, is_mixed in (({}, False), (unbound, True)):
        walk = Walk(
            seed,
            4,
            planners,
            next_round,
            partly=True,
            group=GroupModel(4, **binds),
            alone=True,
        )
        walk.run(STEPS)
        assert bool(walk.group.mixed) == is_mixed


def test_late_hold_for_a_previous_incarnation_blocks_unless_bound():
    # The rank with the held pass restarts and its hold is delivered again. The
    # orders that it has started are counted from 0 again, so only the epoch
    # tells the incarnations apart; without both checks the group is held again
    # and again.
    holds = [each for each in RESTARTS if each.late is HoldPass]
    unbound = {'binds_epoch': False, 'binds_sequence': False}
    targets = [FIRST, SECOND, THIRD]
    failed = [
        each
        for each in holds
        if _has_failed(_run_with_restart(each, targets, **unbound), THIRD)
    ]
    assert failed


def test_version_reused_for_another_map_mixes_maps_unless_bound():
    # After a restart the ranks report no version any more, so a planner may
    # draw one that it has drawn before. Orders for the old contents are then
    # accepted as orders for the new ones; only the epoch refuses them.
    reused = replace(FIRST, maps=('z',))
    targets = [FIRST, reused, THIRD]
    cases = [each for each in RESTARTS if each.late is None]
    bound = [_run_with_restart(each, targets) for each in cases]
    unbound = [
        _run_with_restart(each, targets, binds_epoch=False) for each in cases
    ]
    assert not any(_has_failed(each, THIRD) for each in bound)
    assert any(each.group.mixed for each in unbound)
