"""Tests of whom a planner asks."""

from linnetwind.group_looks import newest_by_address
from standins.gateway_fixtures import make_upstream


def test_of_two_entries_at_one_address_the_newest_is_asked():
    # All hosts lost power; each rank is registered twice until the entries
    # of its life before lapse.
    before = [make_upstream(f'old{n}', 80 + n, 'model') for n in range(3)]
    after = [make_upstream(f'new{n}', 80 + n, 'model') for n in range(2)]
    assert newest_by_address([*before, *after]) == [*after, before[2]]


def test_entries_that_state_their_start_are_all_asked():
    # The newest entry may be a late write of a life that is over.
    lives = [make_upstream('a', 80, 'model', born_ms=n) for n in (1, 2)]
    assert newest_by_address(lives) == lives
