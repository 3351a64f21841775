"""Tests of the leader election of daemons that have just started."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.gateway_state import GatewayState
from linnetwind.peer_mesh import LEADERSHIP_DELAY, MeshSettings, PeerMesh
from linnetwind.shared_retry_budget import RetryBudgetTerms
from standins.gateway_fixtures import make_peer

ANY_PORT = Address('127.0.0.1', 0)
SECOND = timedelta(seconds=1)


@pytest.fixture(name='clock')
def _clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC))


def _start(clock, name):
    """Return a daemon's state and mesh; nothing is sent."""
    terms = RetryBudgetTerms(10 * SECOND, 0.2, 88)
    state = GatewayState(clock, ANY_PORT, terms)
    settings = MeshSettings(name, 'site', 'one', ANY_PORT, ())
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
