"""Tests of the states that daemons send, and of their leader election."""

import socket
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import ManualClock
from linnetwind.gateway_state import GatewayState
from linnetwind.peer_mesh import LEADERSHIP_DELAY, MeshSettings, PeerMesh
from linnetwind.peers.peer_wire import StateReader
from linnetwind.upstreams.evacuation import Evacuation
from standins.gateway_fixtures import evacuate, make_peer

ANY_PORT = Address('127.0.0.1', 0)
SECOND = timedelta(seconds=1)


@pytest.fixture(name='clock')
def _clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC))


def _start(clock, name, *seeds):
    """Return a daemon's state and mesh; nothing is sent by itself."""
    terms = RetryBudgetTerms(10 * SECOND, 0.2, 88)
    state = GatewayState(clock, ANY_PORT, terms)
    settings = MeshSettings(name, 'site', 'one', ANY_PORT, seeds)
    return state, PeerMesh(settings, state, clock)


def test_no_daemon_leads_before_it_has_received_states_of_its_peers(clock):
    # All daemons start after a power loss, and none knows another yet. Sixteen
    # of them led at once and polled each of 192 ranks; the one that remained
    # the leader completed its first poll 1.1 s after it had started to lead.
    daemons = {name: _start(clock, name) for name in ('a', 'b', 'c')}
    assert not any(mesh.leads() for _state, mesh in daemons.values())
    clock.advance(LEADERSHIP_DELAY / 2)
    for name, (state, _mesh) in daemons.items():
        for other in daemons.keys() - {name}:
            state.merge_advertised(make_peer(other))
    clock.advance(LEADERSHIP_DELAY / 2)
    leaders = [name for name, (_state, mesh) in daemons.items() if mesh.leads()]
    assert leaders == ['a']


def test_a_daemon_without_peers_leads_soon(clock):
    _state, mesh = _start(clock, 'a')
    clock.advance(LEADERSHIP_DELAY)
    assert mesh.leads()


def test_peers_are_told_of_an_evacuation_at_once(clock):
    """Guards against peers that learn of it with the next full state only."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(('127.0.0.1', 0))
        peer.settimeout(10)
        state, mesh = _start(clock, 'a', Address(*peer.getsockname()))
        mesh.advertise_now()
        clock.advance(10 * SECOND)
        mesh.advertise_now()
        changes = []
        state.call_on_change(lambda: changes.append(state.upstreams))
        decision = Evacuation('site', active=True, offset=5)
        evacuate(state, 'site', offset=5)
        assert len(changes) == 1
        mesh.advertise_now()
        told = [
            StateReader().read(peer.recv(9_000), {}).evacuations
            for _state in range(3)
        ]
    assert told == [(), (), (decision,)]
