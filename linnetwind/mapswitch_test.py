"""The expert-map switch, explored: one map in every step, never stuck.

The explorer (standins/explorer.py) keeps everything that was ever sent and
may deliver it at any time, again, or never. Sides and ranks restart. After
each walk the faults end, and the group has to go on by itself.
"""

import random

import pytest

from linnetwind.mapswitch import handle_note, handle_status
from linnetwind.mapswitch_side import REMEMBERED, make_participant
from linnetwind.mapswitch_types import (
    Arming,
    Attempt,
    JoinQuery,
    OrderConfirm,
    OrderDisarm,
    Prepare,
    Query,
    RankStatus,
    Verdict,
    Vote,
)
from standins.explorer import Explorer, Scenario, attempt

LONG_WAIT = 30

SCENARIOS = {
    'rank and side restart': Scenario(2, (attempt(1, 0, 1),), 1, 1),
    'two coordinators': Scenario(
        2, (attempt(1, 0, 1), attempt(1, 1, 2, epoch=2)), 2, 3, 4
    ),
    'three ranks': Scenario(3, (attempt(1, 0, 1),), 1, 3),
    'same step, three maps': Scenario(
        3,
        (
            attempt(1, 0, 1),
            attempt(1, 1, 1, epoch=2),
            attempt(2, 2, 2, epoch=2),
        ),
        2,
        2,
        4,
    ),
    'four ranks': Scenario(
        4, (attempt(1, 0, 1), attempt(1, 1, 2, epoch=2)), 2, 3, 4
    ),
    'start of a whole group': Scenario(
        3, (attempt(1, 0, 0), attempt(1, 1, 0, epoch=2)), 2, 2, 3, None
    ),
}


@pytest.mark.parametrize('name', SCENARIOS)
def test_walks_keep_one_map_in_every_step_and_end_unblocked(name):
    # Faults and late messages in random order; then calm. In no step may
    # two ranks use different maps, and the group must go on afterwards.
    scenario = SCENARIOS[name]
    for seed in range(20):
        rng = random.Random(seed)
        explorer = Explorer(scenario)
        world = explorer.walk(rng, rng.choice((100, 200, 400)))
        assert world.violation == '', seed
        world = explorer.settle(world, LONG_WAIT)
        assert world.violation == '', seed
        steps = [rank.step for rank in world.ranks]
        assert min(steps) >= scenario.last_step + 2, (seed, steps)


def test_every_order_of_events_of_two_ranks_without_faults():
    # All histories of an attempt with every message late, lost or repeated:
    # the search ends because it has seen every reachable world.
    visited, violation, whole = Explorer(
        Scenario(2, (attempt(1, 0, 1),), 0, 0, 2)
    ).explore(50_000)
    assert violation == ''
    assert whole
    assert visited > 1000


def test_calm_group_takes_the_new_map_everywhere():
    # Without faults the switch must happen; a protocol that never switches
    # would pass all the tests above.
    scenario = Scenario(4, (), 0, 0, 4)
    explorer = Explorer(scenario)
    world = explorer.settle(explorer.start(), LONG_WAIT)
    assert {rank.map_id for rank in world.ranks} == {'last'}


ATTEMPT = Attempt(1, 1, 0)
ARMING = Arming(ATTEMPT, 5, 'new')
ARMED = RankStatus(1, step=5, map_id='old', armed=ARMING)
FREE = RankStatus(1, step=3, map_id='old')


def side_at(status):
    return handle_status(make_participant(0, 2, 7), status)[0]


def vote(verdict, generation=1, asked_by=7):
    return Vote(ATTEMPT, 1, generation, verdict, asked_by)


def test_verdict_of_an_older_generation_is_passed_over():
    # Rank 1 voted, restarted, and joined while this rank was asked. Its old
    # vote is still on the way; counted, it would confirm a switch of which
    # the new generation knows nothing.
    side, _actions = handle_note(side_at(ARMED), JoinQuery(1, 2))
    _side, actions = handle_note(side, vote(Verdict.ARMED, generation=1))
    assert actions == ()
    _side, actions = handle_note(side, vote(Verdict.REFUSED, generation=1))
    assert actions == ()
    _side, actions = handle_note(side, vote(Verdict.ARMED, generation=2))
    assert OrderConfirm(ATTEMPT) in actions


def test_verdict_for_a_former_incarnation_is_passed_over():
    _side, actions = handle_note(
        side_at(ARMED), vote(Verdict.ARMED, asked_by=6)
    )
    assert actions == ()


def test_refusal_stands_though_a_late_order_arms_the_rank():
    # This side has said "refused"; its engine is armed by an order that was
    # on the way. It must not vote for the attempt, nor confirm it.
    side, actions = handle_note(side_at(FREE), Query(ATTEMPT, 1, 9))
    assert actions[0].note.verdict is Verdict.REFUSED
    side, actions = handle_status(side, ARMED)
    assert OrderDisarm(ATTEMPT) in actions
    side, actions = handle_note(side, Query(ATTEMPT, 1, 9))
    assert actions[0].note.verdict is Verdict.REFUSED
    _side, actions = handle_note(side, vote(Verdict.ARMED))
    assert actions == ()


def test_restarted_rank_does_not_refuse():
    new = side_at(RankStatus(2))
    _side, actions = handle_note(new, Query(ATTEMPT, 1, 9))
    assert actions == ()


def test_memory_does_not_grow_with_the_attempts():
    # A group is rebalanced for months; a side must not remember it all.
    side = side_at(FREE)
    for number in range(1000):
        query = Query(Attempt(1, number, 0), 1, 9)
        side, _actions = handle_note(side, query)
    assert len(side.refused) == REMEMBERED
    assert Attempt(1, 999, 0) in side.refused


def test_replaced_coordinator_is_not_followed():
    side, _actions = handle_note(
        side_at(FREE), Prepare(Attempt(3, 1, 1), 'new')
    )
    _side, actions = handle_note(side, Prepare(Attempt(2, 9, 0), 'older'))
    assert actions == ()
