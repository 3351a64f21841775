"""Tests of the list of upstreams when some announce that they leave."""

from datetime import timedelta

from linnetwind.upstreams.upstream_list import (
    MAX_LEAVING,
    UpstreamList,
    UpstreamRecord,
)
from standins.gateway_fixtures import make_upstream

NOW = timedelta()
LEAVES = make_upstream('leaves')
STAYS = make_upstream('stays', 81)
ENTRIES = [
    UpstreamRecord('leaves', 0, LEAVES),
    UpstreamRecord('stays', 1, STAYS),
]
KNOWN = UpstreamList().fold_records(ENTRIES, 2).record_leaving(LEAVES)


def test_a_leaving_upstream_is_not_usable():
    assert KNOWN.usable('plain', NOW) == [STAYS]
    assert not KNOWN.is_usable(LEAVES, NOW)
    assert KNOWN.is_usable(STAYS, NOW)


def test_an_older_copy_of_the_store_does_not_restore_a_leaving_upstream():
    """Guards against requests due to an entry older than the announcement."""
    older = KNOWN.replace_all(ENTRIES, 2, outage=True, now=NOW, era=1)
    assert older.usable('plain', NOW) == [STAYS]


def test_an_upstream_whose_entry_lapsed_is_still_leaving():
    """Guards against requests while its entry is missing from the store."""
    lapsed = KNOWN.replace_all([], 3, outage=True, now=NOW)
    assert lapsed.usable('plain', NOW) == [STAYS]
    back = lapsed.fold_records([UpstreamRecord('leaves', 4, LEAVES)], 5)
    assert not back.is_usable(LEAVES, NOW)


def test_the_number_of_leaving_upstreams_is_bounded():
    """Guards against memory that grows with each upstream that leaves."""
    known = KNOWN
    for number in range(MAX_LEAVING):
        known = known.record_leaving(make_upstream(f'i-{number}'))
    assert len(known.leaving) == MAX_LEAVING
    assert LEAVES.life not in known.leaving
