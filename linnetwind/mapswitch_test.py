"""State-space exploration of the expert-map switch.

It checks that all ranks use the same map in every step and that the group
never blocks. The explorer (standins/explorer.py) keeps every note and order
ever sent and delivers each of them at any time, repeatedly, or never. Side
daemons and ranks restart. After each random walk the faults end, and the
group has to recover by itself.
"""

import random

import pytest

from linnetwind.mapswitch import handle_note, handle_status
from linnetwind.mapswitch_side import MAX_REMEMBERED_ATTEMPTS, make_participant
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

RECOVERY_ROUNDS = 30

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
def test_random_walks_use_one_map_per_step_and_end_unblocked(name):
    # Faults and late messages come in random order and then end. In no step
    # may two ranks use different maps, and the group must advance afterwards.
    scenario = SCENARIOS[name]
    for seed in range(20):
        rng = random.Random(seed)
        explorer = Explorer(scenario)
        world = explorer.walk(rng, rng.choice((100, 200, 400)))
        assert world.violation == '', seed
        world = explorer.settle(world, RECOVERY_ROUNDS)
        assert world.violation == '', seed
        steps = [rank.step for rank in world.ranks]
        assert min(steps) >= scenario.last_step + 2, (seed, steps)


def test_all_message_orders_of_two_ranks_without_restarts():
    # All histories of one attempt, with any message late, lost or repeated.
    # The search ends because it has visited every reachable state.
    visited, violation, complete = Explorer(
        Scenario(2, (attempt(1, 0, 1),), 0, 0, 2)
    ).explore(50_000)
    assert violation == ''
    assert complete
    assert visited > 1000


def test_all_ranks_switch_when_there_are_no_faults():
    # Without faults the switch must take place. A protocol that never
    # switches would pass all the tests above.
    scenario = Scenario(4, (), 0, 0, 4)
    explorer = Explorer(scenario)
    world = explorer.settle(explorer.start(), RECOVERY_ROUNDS)
    assert {rank.map_id for rank in world.ranks} == {'last'}


ATTEMPT = Attempt(1, 1, 0)
ARMING = Arming(ATTEMPT, 5, 'new')
ARMED = RankStatus(1, step=5, map_id='old', armed=ARMING)
UNARMED = RankStatus(1, step=3, map_id='old')


def side_at(status):
    return handle_status(make_participant(0, 2, 7), status)[0]


def vote(verdict, generation=1, query_incarnation=7):
    return Vote(ATTEMPT, 1, generation, verdict, query_incarnation)


def test_verdict_of_an_older_generation_is_ignored():
    # Rank 1 voted, restarted, and queried this rank in order to join. Its old
    # vote is still in transit. If it were counted, it would confirm a switch
    # that the new generation does not know of.
    side, _actions = handle_note(side_at(ARMED), JoinQuery(1, 2))
    _side, actions = handle_note(side, vote(Verdict.ARMED, generation=1))
    assert actions == ()
    _side, actions = handle_note(side, vote(Verdict.REFUSED, generation=1))
    assert actions == ()
    _side, actions = handle_note(side, vote(Verdict.ARMED, generation=2))
    assert OrderConfirm(ATTEMPT) in actions


def test_verdict_for_a_former_incarnation_is_ignored():
    _side, actions = handle_note(
        side_at(ARMED), vote(Verdict.ARMED, query_incarnation=6)
    )
    assert actions == ()


def test_refusal_is_final_even_if_a_late_order_arms_the_rank():
    # This side daemon has refused the attempt; then an order that was still
    # in transit arms its engine. The side daemon must neither vote for the
    # attempt nor confirm it.
    side, actions = handle_note(side_at(UNARMED), Query(ATTEMPT, 1, 9))
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
    # A group is rebalanced for months, so a side daemon must not remember
    # every attempt.
    side = side_at(UNARMED)
    for number in range(1000):
        query = Query(Attempt(1, number, 0), 1, 9)
        side, _actions = handle_note(side, query)
    assert len(side.refused) == MAX_REMEMBERED_ATTEMPTS
    assert Attempt(1, 999, 0) in side.refused


def test_prepare_of_a_replaced_coordinator_is_ignored():
    side, _actions = handle_note(
        side_at(UNARMED), Prepare(Attempt(3, 1, 1), 'new')
    )
    _side, actions = handle_note(side, Prepare(Attempt(2, 9, 0), 'older'))
    assert actions == ()
