"""Gateway processes while an operator evacuates data centres."""

import time

import pytest

from standins.platform_cluster import (
    PlatformCluster,
    configuration,
    entry_of,
    until,
)
from standins.scripted_upstream import ScriptedUpstream
from standins.soak_proxy import SOUND, Link, SoakProxy

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')
# From the store's acknowledgement, or from what peers know, to the last request.
IN_FORCE_S = 1
CALLS = 20


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    yield cluster
    cluster.close()


@pytest.fixture(name='upstreams')
def _upstreams(cluster):
    """Register an upstream in each of two data centres."""
    cluster.store.put('keyed.op', 'config', configuration(1, 'plain'))
    registered = {}
    for site in ('a', 'b'):
        upstream = ScriptedUpstream(_answer)
        registered[site] = upstream
        entry = {**entry_of(upstream), 'zone': site}
        cluster.store.put('keyed.servers', f'i-{site}', entry)
    return registered


def _answer(connection, request):
    connection.answer(request)


def _evacuate(cluster, site, content):
    cluster.store.put('keyed.op', f'evacuate/{site}', content)
    time.sleep(IN_FORCE_S)


def _calls_to(upstream, gateways):
    """Send calls through all gateways; return how many arrive there."""
    before = len(upstream.requests)
    for gateway in gateways:
        assert [gateway.ask()[0] for _call in range(CALLS)] == [200] * CALLS
    return len(upstream.requests) - before


def test_all_gateways_follow_an_evacuation_within_a_second(cluster, upstreams):
    # One gateway is cut off from the store before the evacuation, and before
    # its cancellation. Another one starts meanwhile and never reaches the store.
    link = SoakProxy(cluster.store.port)
    gateways = [
        cluster.start(HOSTS[0], seeds=HOSTS),
        cluster.start(HOSTS[1], link.port, seeds=HOSTS),
    ]
    for gateway in gateways:
        gateway.wait_ready()
    assert _calls_to(upstreams['a'], gateways)
    link.change(Link(refuse=True, reset=True))
    gateways[1].wait_event('DependencyLost')
    _evacuate(cluster, 'a', {})
    assert _calls_to(upstreams['a'], gateways) == 0
    late = cluster.start(HOSTS[2], link.port, seeds=HOSTS)
    late.wait_ready()
    gateways.append(late)
    assert _calls_to(upstreams['a'], gateways) == 0
    sources = {
        gateway.ip: gateway.wait_event('EvacuationChanged')['source']
        for gateway in gateways
    }
    assert sources[HOSTS[0]] == 'store'
    assert sources[HOSTS[1]] == f'edge-{HOSTS[0]}'
    assert 'linnetwind_evacuated{site="a"} 1.0' in late.metrics()
    _evacuate(cluster, 'a', None)
    for gateway in gateways:
        changes = gateway.events('EvacuationChanged')
        assert [each['evacuated'] for each in changes] == [True, False]
        # The choice may prefer the other upstream for some time.
        until(lambda one=gateway: _calls_to(upstreams['a'], [one]))
    link.change(SOUND)
    gateways[1].wait_event('DependencyBack')
    until(lambda: _calls_to(upstreams['a'], gateways))
    link.close()


def test_an_evacuation_outlives_all_gateways(cluster, upstreams):
    # All hosts lose power. The gateways read of it before they take callers.
    first = cluster.start(HOSTS[0])
    first.wait_ready()
    _evacuate(cluster, 'a', {})
    first.kill()
    again = cluster.start(HOSTS[0])
    again.wait_ready()
    assert _calls_to(upstreams['a'], [again]) == 0


def test_callers_are_told_when_to_return_if_all_are_evacuated(
    cluster, upstreams
):
    gateway = cluster.start(HOSTS[0])
    gateway.wait_ready()
    for site in upstreams:
        _evacuate(cluster, site, {})
    status, headers, _body = gateway.ask()
    assert (status, float(headers['Retry-After'])) == (503, 2.5)
    _evacuate(cluster, 'b', None)
    until(lambda: gateway.ask()[0] == 200)
    assert upstreams['a'].requests == []
