"""Tests of which registry entries a planner queries."""

from linnetwind.group_observations import newest_by_address
from standins.gateway_fixtures import make_upstream


def test_only_the_newest_entry_of_an_address_is_queried():
    # All hosts lost power. Each rank is registered twice until the entry of its
    # previous incarnation expires.
    old = [make_upstream(f'old{n}', 80 + n, 'model') for n in range(3)]
    new = [make_upstream(f'new{n}', 80 + n, 'model') for n in range(2)]
    assert newest_by_address([*old, *new]) == [*new, old[2]]


def test_all_entries_that_state_their_start_time_are_queried():
    # The newest entry may be a late write of an incarnation that has ended.
    entries = [make_upstream('a', 80, 'model', born_ms=n) for n in (1, 2)]
    assert newest_by_address(entries) == entries
