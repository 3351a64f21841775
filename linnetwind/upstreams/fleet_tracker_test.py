"""Tests of the daemons among which shared bounds are divided."""

from datetime import UTC, datetime

from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.upstreams.fleet_tracker import FleetSettings, FleetTracker

OWN, FIRST, SECOND, THIRD = (
    Address(f'10.0.0.{number}', 1) for number in range(1, 5)
)


def _tracker(*seeds):
    clock = ManualClock(datetime.now(UTC))
    return FleetTracker(FleetSettings(OWN, frozenset(seeds)), clock)


def test_replaced_seeds_have_to_be_heard():
    # Guards against a daemon with outdated seeds that takes part of the shared
    # allowance as if it knew the fleet.
    tracker = _tracker(FIRST)
    tracker.hear_peer(FIRST, (), leaving=False)
    assert tracker.knows_fleet
    tracker.replace_seeds([FIRST, SECOND, THIRD])
    assert not tracker.knows_fleet
    tracker.hear_peer(SECOND, (), leaving=False)
    assert tracker.knows_fleet


def test_seeds_that_stay_need_not_be_heard_again():
    tracker = _tracker(OWN, FIRST)
    tracker.hear_peer(FIRST, (), leaving=False)
    tracker.replace_seeds([FIRST, OWN])
    assert tracker.knows_fleet
