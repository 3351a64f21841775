"""Gateway processes whose store comes back from a copy some seconds old."""

import pytest

from standins.platform_cluster import (
    PlatformCluster,
    configuration,
    entry_of,
    until,
)
from standins.scripted_upstream import ScriptedUpstream

HOSTS = ('127.0.0.1', '127.0.0.2')
# Heartbeats that the store has and its copy has not.
BEATS = 30


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    yield cluster
    cluster.close()


def _answer(connection, request):
    connection.answer(request)


def _register(cluster, name, upstream, **changes):
    entry = {**entry_of(upstream), **changes}
    cluster.store.put('keyed.servers', name, entry)


def _beat(cluster, name, upstream):
    for number in range(BEATS):
        _register(cluster, name, upstream, sequence=number)


def _has_read(cluster, topic, end):
    asked = f'topic={topic}&part=0&from={end}&'
    return any(asked in call for call in cluster.store.calls)


def _start(cluster, host=HOSTS[0]):
    gateway = cluster.start(host, seeds=HOSTS)
    gateway.wait_ready()
    return gateway


def test_entries_written_after_the_return_count(cluster):
    # The store loses thirty heartbeats of one upstream. Another one takes its
    # place, with an entry at an offset that was given out before. The gateway
    # held the list for an old copy and sent callers to the first one for as
    # long as the store had fewer records than before.
    first, second = ScriptedUpstream(_answer), ScriptedUpstream(_answer)
    cluster.store.put('keyed.op', 'config', configuration(1, 'plain'))
    _register(cluster, 'i-1', first)
    copy = cluster.store.copy()
    gateway = _start(cluster)
    _beat(cluster, 'i-1', first)
    until(lambda: _has_read(cluster, 'keyed.servers', 1 + BEATS))
    cluster.store.outage = 'busy'
    gateway.wait_event('DependencyLost')
    cluster.store.come_back_from(copy)
    _register(cluster, 'i-1', first, state='draining')
    _register(cluster, 'i-2', second)
    cluster.store.outage = None
    until(lambda: gateway.ask()[0] == 200 and second.requests)
    before = len(first.requests)
    assert [gateway.ask()[0] for _call in range(10)] == [200] * 10
    assert len(first.requests) == before


def test_a_configuration_that_the_store_lost_stays_in_force(cluster):
    # Version 2 adds a route. The store loses it, and the operator writes it
    # again some time later. Callers of the route are served all the while,
    # also by a gateway that starts in between and reads version 1.
    upstream = ScriptedUpstream(_answer)
    _register(cluster, 'i-1', upstream)
    cluster.store.put('keyed.op', 'config', configuration(1, 'plain'))
    copy = cluster.store.copy()
    wider = configuration(2, 'plain', prefixes=('/x/', '/new/'))
    cluster.store.put('keyed.op', 'config', wider)
    gateway = _start(cluster)
    assert gateway.ask('/new/1')[0] == 200
    cluster.store.outage = 'busy'
    gateway.wait_event('DependencyLost')
    cluster.store.come_back_from(copy)
    cluster.store.outage = None
    late = _start(cluster, HOSTS[1])
    until(lambda: late.ask('/new/1')[0] == 200)
    assert gateway.ask('/new/1')[0] == 200
    cluster.store.put('keyed.op', 'config', wider)
    after = configuration(3, 'plain', prefixes=('/x/', '/last/'))
    cluster.store.put('keyed.op', 'config', after)
    for each in (gateway, late):
        until(lambda each=each: each.ask('/last/1')[0] == 200)
        assert each.ask('/new/1')[0] == 404
