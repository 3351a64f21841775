"""Tests of the evacuations that are folded from records of the store."""

from datetime import timedelta

from linnetwind.record_store import Position
from linnetwind.upstreams.evacuation import (
    MAX_ADVERTISED,
    MAX_CANCELLED,
    Evacuation,
    Evacuations,
)
from linnetwind.upstreams.upstream_list import UpstreamList, UpstreamRecord
from standins.gateway_fixtures import make_upstream

NOW = timedelta(seconds=100)
ACTIVE = Evacuation('a', active=True, offset=5, era=1)
CANCELLED = Evacuation('a', active=False, offset=8, era=1)


def _known(*records):
    return Evacuations().fold_records(records)


def test_an_older_record_does_not_bring_back_an_evacuation():
    """Guards against a stale read after the operator cancelled."""
    assert not _known(ACTIVE, CANCELLED).fold_records([ACTIVE]).sites
    assert not _known(CANCELLED).fold_records([ACTIVE]).sites


def test_a_complete_read_without_the_key_cancels_an_evacuation():
    assert not _known(ACTIVE).replace_all([], Position(1, 9)).sites


def test_an_older_complete_read_cancels_nothing():
    """Guards against a lagging store that has no record of it yet."""
    assert _known(ACTIVE).replace_all([], Position(1, 5)).sites == {'a'}


def test_a_record_older_than_a_complete_read_without_it_does_not_count():
    """Guards against peers that have not read of the cancellation."""
    known = Evacuations().replace_all([], Position(1, 9))
    assert not known.fold_records([ACTIVE]).sites
    again = Evacuation('a', active=True, offset=9, era=1)
    assert known.fold_records([again]).sites == {'a'}


def test_a_store_restored_from_an_older_copy_decides_anew():
    known = _known(ACTIVE)
    assert known.fold_records([Evacuation('b', True, 1, 2)]).sites == {'a', 'b'}
    listed = Evacuation('a', active=True, offset=2, era=2)
    assert known.replace_all([listed], Position(2, 3)).sites == {'a'}
    assert not known.replace_all([], Position(2, 0)).sites


def test_the_same_decisions_leave_the_same_object():
    """Guards against discarding what is cached with each peer's state."""
    known = _known(ACTIVE)
    assert known.fold_records([ACTIVE]) is known
    read = known.replace_all([ACTIVE], Position(1, 9))
    assert read.replace_all([ACTIVE], Position(1, 9)) is read


def test_many_names_take_little_memory():
    """Guards against a writer that creates and deletes arbitrary keys."""
    names = [Evacuation(str(each), False, each) for each in range(500)]
    known = _known(*names, ACTIVE)
    assert len(known.decided) == MAX_CANCELLED + 1
    assert len(known.to_advertise) == MAX_ADVERTISED
    assert ACTIVE in known.to_advertise


def _listed(*evacuations):
    upstreams = [
        make_upstream(site, port, site=site)
        for port, site in enumerate('ab', 1)
    ]
    return (
        UpstreamList()
        .fold_records(
            [UpstreamRecord(each.instance, 0, each) for each in upstreams],
            1,
        )
        .replace_evacuations(_known(*evacuations))
    )


def test_upstreams_of_an_evacuated_data_centre_are_not_usable():
    listed = _listed(ACTIVE)
    usable = listed.usable('plain', NOW)
    assert [each.site for each in usable] == ['b']
    assert listed.usable('plain', NOW) is usable
    # Maps, reports and orders of the ranks there continue, and the crash of one
    # under a running stream still counts.
    assert len(listed.registered('plain')) == 2
    assert len(listed.active('plain', NOW)) == 2


def test_an_upstream_that_lapsed_in_an_outage_stays_evacuated():
    """Guards against requests there while the store is unavailable."""
    listed = _listed(ACTIVE).replace_all([], 2, outage=True, now=NOW)
    assert [each.site for each in listed.usable('plain', NOW)] == ['b']


def test_a_service_is_evacuated_once_all_its_data_centres_are():
    assert not _listed(ACTIVE).is_evacuated('plain', NOW)
    everywhere = _listed(ACTIVE, Evacuation('b', True, 6, 1))
    assert everywhere.is_evacuated('plain', NOW)
    assert not everywhere.is_evacuated('other', NOW)
