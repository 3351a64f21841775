"""Tests of the order in which gateways drain that are told to stop."""

from dataclasses import replace
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.peer_book import PeerBook
from linnetwind.stop_turns import (
    BACK,
    LED_FOR,
    Fleet,
    Host,
    Told,
    fleet_of,
    goes_before,
    is_awaited,
    leads_to_the_end,
    may_drain,
    stand_ins,
)
from standins.gateway_fixtures import make_peer

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
SOON = timedelta(milliseconds=100)
OWN = Address('10.0.0.1', 7)


def _state(name, **changes):
    return make_peer(name, **{'site': 's', **changes})


def _book(*states, at=NOW):
    book = PeerBook(OWN)
    for state in states:
        # Heard before, so that it is back for long enough.
        first = replace(state, counter=0, leaving=False)
        book = book.hear(first, at - BACK).hear(state, at)
    return book


def _told(name, ago):
    return Host(name, 's', Told(name, NOW - ago))


def _stays(name):
    return Host(name, 's', None)


def test_a_peer_says_how_long_ago_it_was_told_to_stop():
    book = _book(_state('b', leaving=True, stopping_ms=400))
    expected = Host('b', 's', Told('b', NOW - timedelta(milliseconds=400)))
    assert fleet_of(book, NOW) == Fleet((expected,), 2)


def test_a_daemon_that_has_just_started_does_not_stand_in_yet():
    # The platform asks once a second whether it is ready, and sends it no
    # callers before. Drained for as soon as it spoke, the last two daemons
    # refused 67 callers who had nowhere else to go.
    book = PeerBook(OWN).hear(_state('b', leaving=True), NOW - 9 * BACK)
    book = book.hear(_state('b', start_id='next'), NOW)
    assert fleet_of(book, NOW) == Fleet((), 2)
    later = replace(_state('b', start_id='next'), counter=2)
    book = book.hear(later, NOW + BACK)
    assert fleet_of(book, NOW + BACK) == Fleet((_stays('b'),), 2)


def test_a_daemon_without_a_configuration_does_not_stand_in():
    assert fleet_of(_book(_state('b', config_version=0)), NOW).serving == ()


def test_a_silent_daemon_does_not_stand_in():
    book = _book(_state('b'))
    assert fleet_of(book, NOW + book.silence).serving == ()


def test_those_that_were_told_first_drain_while_half_serve():
    own = _told('b', SECOND)
    later = (_told('c', timedelta()), _told('d', timedelta()))
    assert may_drain(own, Fleet((*later, _told('a', 2 * SECOND)), 4))
    assert not may_drain(later[0], Fleet((own, later[1]), 4))
    assert may_drain(later[0], Fleet((_stays('a'), _stays('b')), 4))


def test_one_that_knows_of_no_other_drains():
    assert may_drain(_told('a', SECOND), Fleet((), 1))


def test_daemons_that_are_told_together_see_the_same_order():
    # Each hears from the other a moment later than itself. By the times
    # alone, each took the other to be the later one, and both drained.
    one, other = Told('a', NOW), Told('b', NOW + SOON)
    assert goes_before(one, other)
    assert not goes_before(other, one)
    one, other = Told('a', NOW + SOON), Told('b', NOW)
    assert goes_before(one, other)
    assert not goes_before(other, one)


def test_a_daemon_is_awaited_only_by_those_without_a_turn():
    own = _told('a', SECOND)
    assert not is_awaited(own, Fleet((_stays('b'), _stays('c')), 3))
    with_turn = _told('b', timedelta())
    stays = tuple(_stays(name) for name in 'cdef')
    assert not is_awaited(own, Fleet((with_turn, *stays), 6))
    assert is_awaited(own, Fleet((with_turn,), 2))
    assert stand_ins(own, Fleet((with_turn,), 2)) == [with_turn]


def test_the_daemon_that_goes_last_plans_until_one_stays():
    # All daemons are told to stop within half a second. Nobody planned until
    # one was back; the skew of the ranks rose from 1.3 to 3, and streams had
    # pauses of 0.14 s for seconds.
    own = Told('c', NOW)
    earlier = _state('a', leaving=True, stopping_ms=500)
    together = _state('b', leaving=True, stopping_ms=100)
    assert leads_to_the_end(_book(earlier, together), own, NOW)
    last = _state('d', leaving=True, stopping_ms=0)
    assert not leads_to_the_end(_book(earlier, last), own, NOW)
    assert not leads_to_the_end(_book(earlier, _state('e')), own, NOW)
    unready = _state('e', config_version=0)
    assert leads_to_the_end(_book(earlier, unready), own, NOW)


def test_a_daemon_near_its_end_leaves_no_switch_half_done():
    own = Told('a', NOW - LED_FOR - SOON)
    assert not leads_to_the_end(PeerBook(OWN), own, NOW)
