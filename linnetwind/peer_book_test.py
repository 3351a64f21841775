"""Tests of what daemons know of each other."""

from dataclasses import replace
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.peer_book import (
    PEER_FORGOTTEN,
    PeerBook,
    PeerState,
    leader,
)

SECOND = timedelta(seconds=1)
OWN = Address('10.0.0.1', 7)


def _state(name, counter=1, **changes):
    state = PeerState(
        name=name,
        start_id='life',
        counter=counter,
        address=Address('10.0.0.2', 7),
        config_version=1,
        leaving=False,
        can_plan=True,
        running={'u': 3},
        members=(OWN, Address('10.0.0.3', 7)),
        groups=(),
    )
    return replace(state, **changes)


def test_counts_of_live_peers_are_added_up():
    book = PeerBook(OWN).hear(_state('b'), SECOND).hear(_state('c'), SECOND)
    assert book.running(SECOND) == {'u': 6}
    assert book.running(SECOND + book.silence) == {}


def test_a_message_that_was_overtaken_changes_nothing():
    book = PeerBook(OWN).hear(_state('b', 2, running={}), SECOND)
    book = book.hear(_state('b', 1), SECOND)
    assert book.running(SECOND) == {}


def test_a_restarted_peer_begins_to_count_anew():
    book = PeerBook(OWN).hear(_state('b', 900, running={}), SECOND)
    book = book.hear(_state('b', 1, start_id='next'), SECOND)
    assert book.running(SECOND) == {'u': 3}


def test_what_a_daemon_hears_does_not_grow_with_their_number():
    book = PeerBook(OWN)
    heard_per_s = []
    for number in range(100):
        book = book.hear(_state(f'p{number}'), SECOND)
        heard_per_s.append(len(book.heard) * (SECOND / book.send_interval))
        assert book.silence >= 3 * book.send_interval
    assert max(heard_per_s) <= 100.01


def test_members_are_learnt_but_not_oneself():
    book = PeerBook(OWN).hear(_state('b'), SECOND)
    assert book.known == {Address('10.0.0.2', 7), Address('10.0.0.3', 7)}


def test_a_replaced_host_is_forgotten():
    book = PeerBook(OWN).hear(_state('b', members=()), SECOND)
    book = book.forget(SECOND + PEER_FORGOTTEN)
    assert book.known == frozenset()


def test_the_first_name_that_stays_and_sees_all_ranks_leads():
    book = PeerBook(OWN)
    book = book.hear(_state('a', leaving=True), SECOND)
    book = book.hear(_state('b', can_plan=False), SECOND)
    book = book.hear(_state('c'), SECOND)
    assert leader(book, 'd', SECOND, can_plan=True) == 'c'
    assert leader(book, 'd', SECOND + book.silence, can_plan=True) == 'd'


def test_somebody_leads_even_if_nobody_sees_all_ranks():
    book = PeerBook(OWN).hear(_state('b', can_plan=False), SECOND)
    assert leader(book, 'c', SECOND, can_plan=False) == 'b'
