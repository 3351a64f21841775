"""Tests of the order in which stopping gateways drain."""

from dataclasses import replace
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.drain_order import (
    MAX_PLANNING_TIME,
    RESTART_DELAY,
    Fleet,
    FleetDaemon,
    StopTime,
    covering_daemons,
    drains_before,
    is_awaited,
    may_drain,
    plans_while_stopping,
    reachable_fleet,
)
from linnetwind.peers.peer_table import PeerTable
from standins.gateway_fixtures import make_peer

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
SOON = timedelta(milliseconds=100)
OWN = Address('10.0.0.1', 7)


def _state(name, **changes):
    return make_peer(name, **{'site': 's', **changes})


def _peer_table(*states, at=NOW):
    peer_table = PeerTable(OWN)
    for state in states:
        # Received before, so that callers are routed to it already.
        first = replace(state, counter=0, leaving=False)
        peer_table = peer_table.merge_advertised(
            first, at - RESTART_DELAY
        ).merge_advertised(state, at)
    return peer_table


def _stopped(name, ago):
    return FleetDaemon(name, 's', StopTime(name, NOW - ago))


def _stays(name):
    return FleetDaemon(name, 's', None)


def test_a_peer_advertises_how_long_ago_it_was_stopped():
    peer_table = _peer_table(_state('b', leaving=True, stopping_ms=400))
    expected = FleetDaemon(
        'b', 's', StopTime('b', NOW - timedelta(milliseconds=400))
    )
    assert reachable_fleet(peer_table, NOW) == Fleet((expected,), 2)


def test_a_daemon_that_has_just_started_does_not_count_as_serving_yet():
    # The platform sends a readiness probe each second and routes no callers to
    # a daemon before. When the last two daemons drained as soon as they
    # received its first state, they rejected 67 callers that no other daemon
    # served.
    peer_table = PeerTable(OWN).merge_advertised(
        _state('b', leaving=True), NOW - 9 * RESTART_DELAY
    )
    peer_table = peer_table.merge_advertised(_state('b', start_id='next'), NOW)
    assert reachable_fleet(peer_table, NOW) == Fleet((), 2)
    later = replace(_state('b', start_id='next'), counter=2)
    peer_table = peer_table.merge_advertised(later, NOW + RESTART_DELAY)
    assert reachable_fleet(peer_table, NOW + RESTART_DELAY) == Fleet(
        (_stays('b'),), 2
    )


def test_a_daemon_without_a_configuration_does_not_count_as_serving():
    assert (
        reachable_fleet(_peer_table(_state('b', config_version=0)), NOW).serving
        == ()
    )


def test_a_daemon_that_timed_out_does_not_count_as_serving():
    peer_table = _peer_table(_state('b'))
    assert (
        reachable_fleet(peer_table, NOW + peer_table.peer_timeout).serving == ()
    )


def test_the_daemons_stopped_first_drain_while_half_serve():
    own = _stopped('b', SECOND)
    later = (_stopped('c', timedelta()), _stopped('d', timedelta()))
    assert may_drain(own, Fleet((*later, _stopped('a', 2 * SECOND)), 4))
    assert not may_drain(later[0], Fleet((own, later[1]), 4))
    assert may_drain(later[0], Fleet((_stays('a'), _stays('b')), 4))


def test_a_daemon_without_peers_may_drain():
    assert may_drain(_stopped('a', SECOND), Fleet((), 1))


def test_daemons_that_are_stopped_together_see_the_same_order():
    # Each learns of the other's stop signal a moment after its own. By the
    # times alone, each took the other to be the later one, and both drained.
    one, other = StopTime('a', NOW), StopTime('b', NOW + SOON)
    assert drains_before(one, other)
    assert not drains_before(other, one)
    one, other = StopTime('a', NOW + SOON), StopTime('b', NOW)
    assert drains_before(one, other)
    assert not drains_before(other, one)


def test_a_daemon_is_awaited_only_by_those_that_may_not_drain_yet():
    own = _stopped('a', SECOND)
    assert not is_awaited(own, Fleet((_stays('b'), _stays('c')), 3))
    later = _stopped('b', timedelta())
    stays = tuple(_stays(name) for name in 'cdef')
    assert not is_awaited(own, Fleet((later, *stays), 6))
    assert is_awaited(own, Fleet((later,), 2))
    assert covering_daemons(own, Fleet((later,), 2)) == [later]


def test_the_daemon_that_drains_last_plans_until_another_has_started():
    # All daemons are stopped within half a second. When none planned until one
    # had restarted, the skew of the ranks rose from 1.3 to 3, and streams had
    # pauses of 0.14 s for seconds.
    own = StopTime('c', NOW)
    earlier = _state('a', leaving=True, stopping_ms=500)
    together = _state('b', leaving=True, stopping_ms=100)
    assert plans_while_stopping(_peer_table(earlier, together), own, NOW)
    last = _state('d', leaving=True, stopping_ms=0)
    assert not plans_while_stopping(_peer_table(earlier, last), own, NOW)
    assert not plans_while_stopping(_peer_table(earlier, _state('e')), own, NOW)
    unready = _state('e', config_version=0)
    assert plans_while_stopping(_peer_table(earlier, unready), own, NOW)


def test_a_daemon_near_its_end_plans_no_more():
    own = StopTime('a', NOW - MAX_PLANNING_TIME - SOON)
    assert not plans_while_stopping(PeerTable(OWN), own, NOW)
