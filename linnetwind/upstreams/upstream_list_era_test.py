"""Tests of the list of upstreams after the store is restored from a copy.

Records that were written since the copy was made are lost, and their offsets
are used again. Upstreams that are alive write their entries again with their
next heartbeat.
"""

from datetime import timedelta

from linnetwind.upstreams.upstream_list import (
    RETURN_GRACE,
    UpstreamList,
    UpstreamRecord,
)
from standins.gateway_fixtures import make_upstream

NOW = timedelta(seconds=100)
A = make_upstream('a', 81)
B = make_upstream('b', 82)
DRAINING_A = make_upstream('a', 81, draining=True)


def _known(*records):
    return UpstreamList(era=1).fold_records(records, 40)


def _names(known, now=NOW):
    return sorted(each.instance for each in known.usable('plain', now))


def _restore(known, *records, end=10):
    return known.replace_all(records, end, outage=False, now=NOW, era=2)


def test_entries_of_the_new_era_count_although_their_offsets_are_lower():
    known = _restore(
        _known(UpstreamRecord('a', 30, A)), UpstreamRecord('b', 5, B)
    )
    known = known.fold_records([UpstreamRecord('a', 10, A)], 11)
    assert _names(known, NOW + RETURN_GRACE) == ['a', 'b']


def test_an_upstream_missing_from_the_copy_stays_for_the_grace_period():
    # The upstream registered after the copy was made, and is alive.
    known = _restore(
        _known(UpstreamRecord('b', 30, B)), UpstreamRecord('a', 5, A)
    )
    assert _names(known) == ['a', 'b']
    assert _names(known, NOW + RETURN_GRACE) == ['a']


def test_the_copy_does_not_make_a_draining_upstream_ready():
    # Requests sent there would arrive later than its drain allows.
    known = _restore(
        _known(UpstreamRecord('a', 30, DRAINING_A)), UpstreamRecord('a', 5, A)
    )
    assert _names(known) == []
    # The next heartbeat states whether it still drains.
    assert (
        _names(known.fold_records([UpstreamRecord('a', 10, DRAINING_A)], 11))
        == []
    )
    assert _names(known.fold_records([UpstreamRecord('a', 10, A)], 11)) == ['a']


def test_the_copy_does_not_restore_an_upstream_that_has_left():
    known = _known(UpstreamRecord('a', 20, A), UpstreamRecord('a', 30, None))
    assert _names(_restore(known, UpstreamRecord('a', 5, A))) == []


def test_the_copy_does_not_restore_the_previous_incarnation():
    # The upstream crashed and restarted after the copy was made.
    incarnations = [make_upstream('a', 81, born_ms=born) for born in (5, 9)]
    known = _known(
        UpstreamRecord('a', 20, incarnations[0]),
        UpstreamRecord('a', 30, incarnations[1]),
    )
    back = _restore(known, UpstreamRecord('a', 5, incarnations[0]))
    assert [each.life for each in back.usable('plain', NOW)] == [
        incarnations[1].life
    ]


def test_the_newest_entry_of_an_address_counts():
    # Another upstream uses the address of one that is missing from the copy.
    other = make_upstream('c', 82)
    known = _restore(
        _known(UpstreamRecord('b', 30, B)), UpstreamRecord('c', 5, other)
    )
    assert _names(known) == ['c']


def test_an_older_era_changes_nothing():
    # A peer that was frozen during the restore sends its outdated list.
    known = _restore(
        _known(UpstreamRecord('a', 30, A)), UpstreamRecord('b', 5, B)
    )
    known = known.fold_records([UpstreamRecord('a', 10, DRAINING_A)], 11)
    again = known.replace_all(
        [UpstreamRecord('a', 39, A)], 40, outage=False, now=NOW, era=1
    )
    assert again == known


def test_an_era_may_rise_by_two():
    # The daemon was frozen while the store was restored twice.
    known = _known(UpstreamRecord('a', 30, A))
    known = known.replace_all(
        [UpstreamRecord('b', 2, B)], 3, outage=False, now=NOW, era=3
    )
    assert _names(known, NOW + RETURN_GRACE) == ['b']
    assert (known.era, known.end) == (3, 3)
