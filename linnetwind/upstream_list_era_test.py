"""Tests of the list of upstreams when the store comes back from a copy.

What was written since the copy is gone, its offsets are given out again, and
upstreams that live write their entries again with their next heartbeat.
"""

from datetime import timedelta

from linnetwind.upstream_list import RETURN_GRACE, Registered, UpstreamList
from standins.gateway_fixtures import make_upstream

NOW = timedelta(seconds=100)
A = make_upstream('a', 81)
B = make_upstream('b', 82)
DRAINS = make_upstream('a', 81, draining=True)


def _known(*records):
    return UpstreamList(era=1).take(records, 40)


def _names(known, now=NOW):
    return sorted(each.instance for each in known.usable('plain', now))


def _come_back(known, *records, end=10):
    return known.take_whole(records, end, outage=False, now=NOW, era=2)


def test_new_entries_count_though_their_offsets_were_given_out_before():
    known = _come_back(_known(Registered('a', 30, A)), Registered('b', 5, B))
    known = known.take([Registered('a', 10, A)], 11)
    assert _names(known, NOW + RETURN_GRACE) == ['a', 'b']


def test_an_upstream_that_the_copy_lacks_stays_for_its_return():
    # It registered after the copy was made, and lives.
    known = _come_back(_known(Registered('b', 30, B)), Registered('a', 5, A))
    assert _names(known) == ['a', 'b']
    assert _names(known, NOW + RETURN_GRACE) == ['a']


def test_an_upstream_that_drains_is_not_ready_by_the_copy():
    # Work sent there would be later than its drain allows.
    known = _come_back(
        _known(Registered('a', 30, DRAINS)), Registered('a', 5, A)
    )
    assert _names(known) == []
    # Its next heartbeat says what it is.
    assert _names(known.take([Registered('a', 10, DRAINS)], 11)) == []
    assert _names(known.take([Registered('a', 10, A)], 11)) == ['a']


def test_an_upstream_that_has_left_is_not_back_by_the_copy():
    known = _known(Registered('a', 20, A), Registered('a', 30, None))
    assert _names(_come_back(known, Registered('a', 5, A))) == []


def test_the_life_before_is_not_back_by_the_copy():
    # The upstream crashed and started again since the copy was made.
    lives = [make_upstream('a', 81, born_ms=born) for born in (5, 9)]
    known = _known(Registered('a', 20, lives[0]), Registered('a', 30, lives[1]))
    back = _come_back(known, Registered('a', 5, lives[0]))
    assert [each.life for each in back.usable('plain', NOW)] == [lives[1].life]


def test_an_address_belongs_to_its_newest_entry():
    # The address of an upstream that the copy lacks was given to another.
    other = make_upstream('c', 82)
    known = _come_back(
        _known(Registered('b', 30, B)), Registered('c', 5, other)
    )
    assert _names(known) == ['c']


def test_an_older_era_changes_nothing():
    # A peer that was frozen meanwhile hands on what it has.
    known = _come_back(_known(Registered('a', 30, A)), Registered('b', 5, B))
    known = known.take([Registered('a', 10, DRAINS)], 11)
    again = known.take_whole(
        [Registered('a', 39, A)], 40, outage=False, now=NOW, era=1
    )
    assert again == known


def test_an_era_may_rise_by_two():
    # The daemon was frozen while the store came back twice.
    known = _known(Registered('a', 30, A))
    known = known.take_whole(
        [Registered('b', 2, B)], 3, outage=False, now=NOW, era=3
    )
    assert _names(known, NOW + RETURN_GRACE) == ['b']
    assert (known.era, known.end) == (3, 3)
