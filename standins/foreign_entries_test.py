"""Tests of real gateway processes among entries of other writers."""

import time

import pytest
from typer.testing import CliRunner

from linnetwind.cli import app
from standins.bad_messages import bad_entries
from standins.platform_cluster import (
    PlatformCluster,
    configuration,
    entry_of,
)
from standins.scripted_upstream import ScriptedUpstream


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    yield cluster
    cluster.close()


def _answer(connection, request):
    connection.answer(request)


def _publish(cluster, upstream, version=1):
    cluster.store.put('keyed.servers', 'i-1', entry_of(upstream))
    cluster.store.put('keyed.op', 'config', configuration(version, 'plain'))


def _until(condition):
    for _try in range(400):
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError


def _spoil(cluster, upstream):
    """Write each bad entry; the list's other entries are good."""
    for number, content in enumerate(bad_entries(entry_of(upstream))):
        cluster.store.put_bytes('keyed.servers', f'x-{number:03}', content)


def test_good_entries_hold_among_bad_ones(cluster):
    # Another writer puts bad entries before, between and after the good ones.
    # A daemon that reads on and one that starts later must both serve by the
    # good ones, also by one that comes after all of them.
    upstream = ScriptedUpstream(_answer)
    _publish(cluster, upstream)
    reading_on = cluster.start('127.0.0.2')
    reading_on.wait_ready()
    _spoil(cluster, upstream)
    late = ScriptedUpstream(_answer)
    cluster.store.put('keyed.servers', 'i-9', entry_of(late))
    starting = cluster.start('127.0.0.3')
    starting.wait_ready()
    for process in (reading_on, starting):
        _until(lambda: _added(process) == {'i-1', 'i-9'})  # noqa: B023
        for number in range(20):
            assert process.ask(f'/x/{number}')[0] == 200
        assert process.events('RoundFailed') == []
        assert process.events('AttemptFailed') == []
    assert upstream.requests
    assert late.requests


def _added(process):
    names = set()
    for event in process.events('UpstreamsChanged'):
        names.update(event['added'])
        names.difference_update(event['removed'])
    # An entry of a service that no configuration names is kept for later.
    return {name for name in names if name.startswith('i-')}


def test_a_bad_entry_takes_the_place_of_a_good_one_until_a_good_one_comes(
    cluster,
):
    # Somebody overwrites the entry of the only upstream. Daemons that had the
    # good one and daemons that start later must say the same: there is none.
    upstream = ScriptedUpstream(_answer)
    _publish(cluster, upstream)
    process = cluster.start('127.0.0.2')
    process.wait_ready()
    assert process.ask()[0] == 200
    cluster.store.put_bytes('keyed.servers', 'i-1', b'\xff')
    _until(lambda: process.ask()[0] == 503)
    later = cluster.start('127.0.0.3')
    later.wait_ready()
    assert later.ask()[0] == 503
    cluster.store.put('keyed.servers', 'i-1', entry_of(upstream))
    for each in (process, later):
        _until(lambda: each.ask()[0] == 200)  # noqa: B023


def test_bad_entries_are_told_to_operators_once(cluster):
    upstream = ScriptedUpstream(_answer)
    _publish(cluster, upstream)
    process = cluster.start()
    process.wait_ready()
    fields = {**entry_of(upstream), 'slots': 0}
    cluster.store.put('keyed.servers', 'x-1', fields)
    line = process.wait_event('BadRecord')
    assert (line['key'], line['offset'], line['field']) == ('x-1', 1, 'slots')
    assert line['reason'] == 'Expected `int` >= 1'
    cluster.store.forget('keyed.servers')
    cluster.store.put('keyed.servers', 'i-2', entry_of(upstream))
    _until(lambda: 'i-2' in _added(process))
    assert len(process.events('BadRecord')) == 1
    counted = 'linnetwind_bad_records_total{topic="upstreams"} 1.0'
    assert counted in process.metrics()
    address = f'{process.ip}:{process.metrics_port}'
    shown = CliRunner().invoke(app, ['status', '--metrics', address])
    assert shown.exit_code == 0
    assert f'{address}: {counted}' in shown.output.splitlines()
