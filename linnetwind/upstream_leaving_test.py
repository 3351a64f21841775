"""Tests of the list of upstreams of which some say that they leave."""

from datetime import timedelta

from linnetwind.upstream_list import MOST_LEAVING, Registered, UpstreamList
from standins.gateway_fixtures import make_upstream

NOW = timedelta()
LEAVES = make_upstream('leaves')
STAYS = make_upstream('stays', 81)
ENTRIES = [Registered('leaves', 0, LEAVES), Registered('stays', 1, STAYS)]
KNOWN = UpstreamList().take(ENTRIES, 2).note_leaving(LEAVES)


def test_an_upstream_that_leaves_is_not_usable():
    assert KNOWN.usable('plain', NOW) == [STAYS]
    assert not KNOWN.is_usable(LEAVES, NOW)
    assert KNOWN.is_usable(STAYS, NOW)


def test_an_older_copy_of_the_store_brings_no_leaving_upstream_back():
    """Guards against work for an upstream by an entry from before its word."""
    older = KNOWN.take_whole(ENTRIES, 2, outage=True, now=NOW, era=1)
    assert older.usable('plain', NOW) == [STAYS]


def test_an_entry_that_lapsed_with_the_store_stays_leaving():
    """Guards against work for an upstream while its entry is away."""
    lapsed = KNOWN.take_whole([], 3, outage=True, now=NOW)
    assert lapsed.usable('plain', NOW) == [STAYS]
    back = lapsed.take([Registered('leaves', 4, LEAVES)], 5)
    assert not back.is_usable(LEAVES, NOW)


def test_what_is_remembered_of_leaving_upstreams_is_bounded():
    """Guards against memory that grows with each upstream that leaves."""
    known = KNOWN
    for number in range(MOST_LEAVING):
        known = known.note_leaving(make_upstream(f'i-{number}'))
    assert len(known.leaving) == MOST_LEAVING
    assert LEAVES.life not in known.leaving
