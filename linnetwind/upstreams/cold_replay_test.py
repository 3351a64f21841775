"""Replays of upstreams that return cold at once into a burst of requests."""

import pytest

from standins.cold_fleet import ColdFleet, ColdReturn, most_in_a_second

# The part of the rate of a cold upstream that has to be used.
MIN_USE = 0.8
PER_S = 10
# Three times what all of them handle while cold, in the burst.
DEMAND_PER_S = 21 * PER_S


def _most_and_use(scene):
    arrivals = ColdFleet(scene).play()
    assert len(arrivals) == scene.upstreams
    last_s = scene.returns_s + scene.cold_s
    cold = [[at for at in each if at < last_s] for each in arrivals.values()]
    most = max(map(most_in_a_second, cold))
    use = min(map(len, cold)) / scene.cold_s / scene.per_s
    return most, use


@pytest.mark.parametrize('daemons', [15, 46])
@pytest.mark.parametrize('per_s', [4, 10, 30])
def test_the_bound_of_cold_upstreams_holds_and_is_used(daemons, per_s):
    # Without an allowance each of 21 upstreams got a part of the whole burst.
    scene = ColdReturn(daemons, per_s, demand_per_s=21 * per_s)
    most, use = _most_and_use(scene)
    assert most <= scene.bound
    assert use >= MIN_USE


@pytest.mark.parametrize('daemons', [15, 46])
@pytest.mark.parametrize(
    'failure',
    [
        # Two halves that do not hear each other; each knows the other's old
        # demand only.
        {'split_s': 5.0},
        # They break apart while the upstreams are cold.
        {'split_s': 8.0},
        # A tenth of the daemons starts anew and knows no others.
        {'restart_s': 7.0},
        # The same in two halves.
        {'restart_s': 7.0, 'split_s': 5.0},
        # All start together just before, and know none of the others.
        {'returns_s': 1.0},
    ],
)
def test_the_bound_holds_whatever_daemons_hear_of_each_other(daemons, failure):
    scene = ColdReturn(daemons, PER_S, DEMAND_PER_S, cold_s=4, **failure)
    most, _use = _most_and_use(scene)
    assert most <= scene.bound


def _hundreds(per_s):
    """Return 400 daemons that have run for longer than their start takes."""
    return ColdReturn(
        400,
        per_s,
        demand_per_s=21 * per_s,
        returns_s=18,
        cold_s=4,
        old_states=True,
    )


@pytest.mark.parametrize('per_s', [10, 30])
def test_the_bound_holds_with_hundreds_of_daemons_and_old_states(per_s):
    # Most daemons may send nothing to a given upstream.
    scene = _hundreds(per_s)
    most, _use = _most_and_use(scene)
    assert most <= scene.bound


@pytest.mark.parametrize('per_s', [10, 30])
def test_the_allowance_is_used_with_hundreds_of_daemons(per_s):
    # The daemons that may send to an upstream may have few requests.
    _most, use = _most_and_use(_hundreds(per_s))
    assert use >= MIN_USE
