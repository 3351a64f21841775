"""Tests of real processes that switch the maps of a group over the wire."""

import pytest

from standins.platform_cluster import PlatformCluster, configuration, until
from standins.platform_ranks import RankGroupStandin, engine_fields

HOSTS = ('127.0.1.1', '127.0.1.2')
NEW_HOST = '127.0.1.3'


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    yield cluster
    cluster.close()


@pytest.fixture(name='group')
def _group(cluster):
    group = RankGroupStandin(list(HOSTS))
    for rank, ip in enumerate(HOSTS):
        cluster.start_agent(ip, group.address(rank))
        _register(cluster, group, rank)
    fields = configuration(1, 'model', kind='streaming')
    fields['services'][0]['engine'] = engine_fields()
    cluster.store.put('keyed.op', 'config', fields)
    yield group
    group.close()


def _register(cluster, group, rank):
    cluster.store.put('keyed.servers', f'r{rank}', group.entry(rank))


def _uses_a_new_map(group):
    return len(group.versions()) == 1 and group.versions() != {0}


@pytest.mark.parametrize(
    ('rank', 'host'), [(0, HOSTS[0]), (0, NEW_HOST), (1, NEW_HOST)]
)
def test_a_rank_that_starts_again_gets_new_maps(cluster, group, rank, host):
    # A rank crashes while maps are switched, and starts again under its id,
    # on its host or on another one. It holds nothing and counts anew. The
    # group forms anew with map 0, and gets a map by what its ranks say now;
    # with a planner that went on asking the life before it never did.
    gateways = [cluster.start('127.0.0.2'), cluster.start('127.0.0.3')]
    for each in gateways:
        each.wait_ready()
    until(lambda: _uses_a_new_map(group))
    group.crash(rank)
    group.start_again(rank, host)
    if host == NEW_HOST:
        cluster.start_agent(host, group.address(rank))
    _register(cluster, group, rank)
    group.form()
    until(lambda: _uses_a_new_map(group))
    assert group.model.mixed == []
