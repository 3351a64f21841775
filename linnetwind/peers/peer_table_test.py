"""Tests of the table of peers and the choice of a leader."""

from datetime import timedelta

from linnetwind.address import Address
from linnetwind.peers.peer_table import (
    PEER_EXPIRY,
    PeerTable,
    PlannerCandidate,
    leader,
)
from standins.gateway_fixtures import make_peer

SECOND = timedelta(seconds=1)
OWN = Address('10.0.0.1', 7)


def _state(name, counter=1, **changes):
    fields = {'running': {'u': 3}, 'members': (OWN, Address('10.0.0.3', 7))}
    return make_peer(name, counter=counter, **{**fields, **changes})


def _running(peer_table, now):
    """Return the counts of each live peer."""
    return {each.name: each.running for each in peer_table.live(now)}


def test_counts_of_peers_are_kept_until_the_peers_time_out():
    peer_table = (
        PeerTable(OWN)
        .merge_advertised(_state('b'), SECOND)
        .merge_advertised(_state('c'), SECOND)
    )
    assert _running(peer_table, SECOND) == {'b': {'u': 3}, 'c': {'u': 3}}
    assert _running(peer_table, SECOND + peer_table.peer_timeout) == {}


def test_a_superseded_state_changes_nothing():
    peer_table = PeerTable(OWN).merge_advertised(
        _state('b', 2, running={}), SECOND
    )
    peer_table = peer_table.merge_advertised(_state('b', 1), SECOND)
    assert _running(peer_table, SECOND) == {'b': {}}


def test_a_restarted_peer_starts_its_counter_anew():
    peer_table = PeerTable(OWN).merge_advertised(
        _state('b', 900, running={}), SECOND
    )
    peer_table = peer_table.merge_advertised(
        _state('b', 1, start_id='next'), SECOND
    )
    assert _running(peer_table, SECOND) == {'b': {'u': 3}}


def test_received_states_per_second_do_not_grow_with_the_fleet():
    peer_table = PeerTable(OWN)
    received_per_s = []
    for number in range(100):
        peer_table = peer_table.merge_advertised(_state(f'p{number}'), SECOND)
        received_per_s.append(
            len(peer_table.received) * (SECOND / peer_table.min_send_interval)
        )
        assert peer_table.peer_timeout >= 3 * peer_table.min_send_interval
    assert max(received_per_s) <= 100.01


def test_addresses_are_learnt_from_states_except_the_own_one():
    peer_table = PeerTable(OWN).merge_advertised(_state('b'), SECOND)
    assert peer_table.known_addresses == {
        Address('10.0.0.2', 7),
        Address('10.0.0.3', 7),
    }


def test_the_address_of_a_replaced_host_expires():
    peer_table = PeerTable(OWN).merge_advertised(
        _state('b', members=()), SECOND
    )
    peer_table = peer_table.expire_peers(SECOND + PEER_EXPIRY)
    assert peer_table.known_addresses == frozenset()


def test_the_first_name_that_reaches_all_ranks_leads():
    peer_table = PeerTable(OWN)
    peer_table = peer_table.merge_advertised(_state('a', leaving=True), SECOND)
    peer_table = peer_table.merge_advertised(
        _state('b', can_plan=False), SECOND
    )
    peer_table = peer_table.merge_advertised(_state('c'), SECOND)
    assert leader(peer_table, PlannerCandidate('d', 0, True), SECOND) == 'c'
    assert (
        leader(
            peer_table,
            PlannerCandidate('d', 0, True),
            SECOND + peer_table.peer_timeout,
        )
        == 'd'
    )


def test_a_daemon_leads_even_if_none_reaches_all_ranks():
    peer_table = PeerTable(OWN).merge_advertised(
        _state('b', can_plan=False), SECOND
    )
    assert leader(peer_table, PlannerCandidate('c', 0, False), SECOND) == 'b'


def test_the_most_powerful_host_plans():
    # When the smallest host planned for 192 ranks, its streams paused for
    # longer than those of all other hosts.
    peer_table = PeerTable(OWN)
    peer_table = peer_table.merge_advertised(_state('a', power=15), SECOND)
    peer_table = peer_table.merge_advertised(_state('b', power=215), SECOND)
    peer_table = peer_table.merge_advertised(_state('c', power=215), SECOND)
    assert leader(peer_table, PlannerCandidate('d', 15, True), SECOND) == 'b'
    peer_table = peer_table.merge_advertised(
        _state('b', 2, power=215, leaving=True), SECOND
    )
    assert leader(peer_table, PlannerCandidate('d', 15, True), SECOND) == 'c'
    peer_table = peer_table.merge_advertised(
        _state('c', 2, power=215, can_plan=False), SECOND
    )
    assert leader(peer_table, PlannerCandidate('d', 15, True), SECOND) == 'a'
