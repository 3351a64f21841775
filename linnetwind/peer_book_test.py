"""Tests of what daemons know of each other."""

from datetime import timedelta

from linnetwind.address import Address
from linnetwind.peer_book import (
    PEER_FORGOTTEN,
    Candidate,
    PeerBook,
    leader,
)
from standins.gateway_fixtures import make_peer

SECOND = timedelta(seconds=1)
OWN = Address('10.0.0.1', 7)


def _state(name, counter=1, **changes):
    fields = {'running': {'u': 3}, 'members': (OWN, Address('10.0.0.3', 7))}
    return make_peer(name, counter=counter, **{**fields, **changes})


def _running(book, now):
    """Return the counts of each live peer."""
    return {each.name: each.running for each in book.live(now)}


def test_counts_of_live_peers_are_known_until_they_are_silent():
    book = PeerBook(OWN).hear(_state('b'), SECOND).hear(_state('c'), SECOND)
    assert _running(book, SECOND) == {'b': {'u': 3}, 'c': {'u': 3}}
    assert _running(book, SECOND + book.silence) == {}


def test_a_message_that_was_overtaken_changes_nothing():
    book = PeerBook(OWN).hear(_state('b', 2, running={}), SECOND)
    book = book.hear(_state('b', 1), SECOND)
    assert _running(book, SECOND) == {'b': {}}


def test_a_restarted_peer_begins_to_count_anew():
    book = PeerBook(OWN).hear(_state('b', 900, running={}), SECOND)
    book = book.hear(_state('b', 1, start_id='next'), SECOND)
    assert _running(book, SECOND) == {'b': {'u': 3}}


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
    assert leader(book, Candidate('d', 0, True), SECOND) == 'c'
    assert leader(book, Candidate('d', 0, True), SECOND + book.silence) == 'd'


def test_somebody_leads_even_if_nobody_sees_all_ranks():
    book = PeerBook(OWN).hear(_state('b', can_plan=False), SECOND)
    assert leader(book, Candidate('c', 0, False), SECOND) == 'b'


def test_the_most_powerful_host_plans():
    # A plan for 192 ranks on the smallest host made its streams pause longer
    # than those of all other hosts.
    book = PeerBook(OWN)
    book = book.hear(_state('a', power=15), SECOND)
    book = book.hear(_state('b', power=215), SECOND)
    book = book.hear(_state('c', power=215), SECOND)
    assert leader(book, Candidate('d', 15, True), SECOND) == 'b'
    book = book.hear(_state('b', 2, power=215, leaving=True), SECOND)
    assert leader(book, Candidate('d', 15, True), SECOND) == 'c'
    book = book.hear(_state('c', 2, power=215, can_plan=False), SECOND)
    assert leader(book, Candidate('d', 15, True), SECOND) == 'a'
