"""Tests of the list of upstreams: stale copies, outages, reused addresses."""

from datetime import timedelta

import pytest

from linnetwind.upstreams.upstream_list import (
    RETURN_GRACE,
    UpstreamList,
    UpstreamRecord,
)
from standins.gateway_fixtures import make_upstream

NOW = timedelta(seconds=100)


def _known(*records):
    return UpstreamList().fold_records(records, len(records))


def _names(known, now=NOW):
    return sorted(each.instance for each in known.usable('plain', now))


def test_a_draining_upstream_is_not_usable():
    drained = make_upstream('a', draining=True)
    known = _known(
        UpstreamRecord('a', 0, make_upstream('a')),
        UpstreamRecord('a', 1, drained),
    )
    assert _names(known) == []
    assert [each.instance for each in known.registered('plain')] == ['a']


def test_registered_upstreams_are_ordered_by_offset():
    known = _known(
        UpstreamRecord('a', 3, make_upstream('a')),
        UpstreamRecord('old-b', 1, make_upstream('old-b', 81)),
        UpstreamRecord('b', 2, make_upstream('b', 81)),
    )
    registered = known.registered('plain')
    assert [each.instance for each in registered] == ['old-b', 'b', 'a']


def test_a_stale_record_does_not_make_a_draining_upstream_usable():
    # The store serves a copy of its records that is seconds old, while the
    # list already holds the newer record in which the upstream drains.
    # Requests sent there would arrive later than its drain allows.
    drained = make_upstream('a', draining=True)
    known = _known(
        UpstreamRecord('a', 0, make_upstream('a')),
        UpstreamRecord('a', 1, drained),
    )
    again = known.fold_records([UpstreamRecord('a', 0, make_upstream('a'))], 1)
    assert _names(again) == []


def test_a_stale_complete_list_changes_nothing():
    known = _known(
        UpstreamRecord('a', 0, make_upstream('a')),
        UpstreamRecord('b', 1, make_upstream('b', 81)),
    )
    old = [UpstreamRecord('a', 0, make_upstream('a'))]
    again = known.replace_all(old, 1, outage=False, now=NOW)
    assert _names(again) == ['a', 'b']


def test_a_deleted_key_is_removed_at_once():
    known = _known(
        UpstreamRecord('a', 0, make_upstream('a')), UpstreamRecord('a', 1, None)
    )
    assert _names(known) == []


def test_an_entry_that_lapsed_in_an_outage_stays_for_the_grace_period():
    # The store was unavailable for seconds, and entries expired. Upstreams
    # that are alive register again within about two seconds of its return;
    # until then the gateway must not be left without upstreams.
    known = _known(
        UpstreamRecord('a', 0, make_upstream('a')),
        UpstreamRecord('b', 1, make_upstream('b', 81)),
    )
    back = known.replace_all([], 9, outage=True, now=NOW)
    assert _names(back, NOW + RETURN_GRACE / 2) == ['a', 'b']
    assert _names(back, NOW + RETURN_GRACE) == []
    returned = back.fold_records(
        [UpstreamRecord('a', 9, make_upstream('a'))], 10
    )
    assert _names(returned, NOW + RETURN_GRACE) == ['a']


def test_a_draining_upstream_has_no_grace_period_after_an_outage():
    known = _known(UpstreamRecord('a', 0, make_upstream('a', draining=True)))
    back = known.replace_all([], 9, outage=True, now=NOW)
    assert _names(back, NOW) == []


def test_only_the_newest_entry_of_an_address_counts():
    # After a power loss all hosts restart. The entries of the dead instances
    # stay for three heartbeats beside those of their successors; requests
    # for the dead ones would all be refused with 421.
    known = _known(
        UpstreamRecord('dead', 0, make_upstream('dead')),
        UpstreamRecord('alive', 1, make_upstream('alive')),
    )
    assert _names(known) == ['alive']


def test_an_instance_is_not_usable_after_another_responds_at_its_address():
    known = _known(UpstreamRecord('dead', 0, make_upstream('dead')))
    known = known.bar_replaced_instance(make_upstream('dead'))
    assert _names(known) == []
    known = known.fold_records(
        [UpstreamRecord('alive', 5, make_upstream('alive'))], 6
    )
    assert _names(known) == ['alive']


def _entry(born_ms, offset, **changes):
    entry = make_upstream('a', born_ms=born_ms, **changes)
    return UpstreamRecord('a', offset, entry)


def _usable_starts(known):
    return [each.born_ms for each in known.usable('plain', NOW)]


@pytest.mark.parametrize('born_ms', [None, 5])
def test_an_upstream_that_restarts_under_its_name_is_usable(born_ms):
    # Another upstream responded at the address, so this instance was barred.
    # It then restarts under its name, without a start time or within the same
    # millisecond. If it stayed barred, a service with one upstream would
    # refuse every call for ever.
    before = make_upstream('a', born_ms=born_ms)
    known = _known(UpstreamRecord('a', 0, before)).bar_replaced_instance(before)
    assert _usable_starts(known) == []
    assert _usable_starts(known.fold_records([_entry(born_ms, 1)], 2)) == [
        born_ms
    ]


def test_a_late_misdirected_call_does_not_bar_the_next_incarnation():
    # A call was sent to an upstream that then restarted. A response of another
    # instance at the old address says nothing about the new incarnation.
    before = make_upstream('a', born_ms=5)
    known = _known(_entry(5, 0), _entry(9, 1))
    assert _usable_starts(known.bar_replaced_instance(before)) == [9]


def test_a_stale_copy_of_the_previous_incarnation_changes_nothing():
    known = _known(_entry(5, 0), _entry(9, 1))
    assert _usable_starts(known.fold_records([_entry(5, 0)], 2)) == [9]
    stale = known.replace_all([_entry(5, 0)], 1, outage=True, now=NOW)
    assert _usable_starts(stale) == [9]


def test_a_late_write_of_the_previous_incarnation_is_ignored():
    # An upstream crashes while its last write is in flight, and restarts. The
    # store applies that write after the first one of the new incarnation, so
    # it has the higher offset, also in a complete read of the list.
    known = _known(_entry(5, 0), _entry(9, 1))
    late = known.fold_records([_entry(5, 2)], 3)
    assert _usable_starts(late) == [9]
    again = late.replace_all([_entry(5, 2)], 3, outage=False, now=NOW)
    assert _usable_starts(again) == [9]
    assert _usable_starts(again.fold_records([_entry(9, 3)], 4)) == [9]


def test_an_earlier_start_time_with_a_higher_offset_counts():
    # The clock of the upstream's host jumped back between two incarnations.
    known = _known(_entry(9, 0), _entry(5, 1))
    assert _usable_starts(known) == [5]


def test_a_second_write_makes_an_ignored_incarnation_usable():
    # A record with an earlier start time may be a late write, or the host's
    # clock went back. The incarnation that is alive keeps writing, and must
    # not be ignored for ever.
    known = _known(_entry(5, 0), _entry(9, 1), _entry(5, 2))
    assert _usable_starts(known) == [9]
    assert _usable_starts(known.fold_records([_entry(5, 3)], 4)) == [5]
    assert _usable_starts(
        known.fold_records([_entry(5, 3), _entry(9, 4)], 5)
    ) == [9]


def test_a_draining_record_is_never_ignored():
    # Requests must not be sent to an upstream that announced its drain, even
    # if the record looks like a late write of the previous incarnation.
    known = _known(_entry(5, 0), _entry(9, 1), _entry(5, 2, draining=True))
    assert _usable_starts(known) == []
