"""Tests of gateway processes that start, and of their settings."""

import signal
import time

import pytest

from standins.platform_cluster import (
    PlatformCluster,
    configuration,
    entry_of,
)
from standins.scripted_upstream import ScriptedUpstream

# How often a gateway reads its settings file.
POLL_S = 2


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    upstream = ScriptedUpstream(_answer)
    cluster.store.put('keyed.servers', 'i-1', entry_of(upstream))
    cluster.store.put('keyed.op', 'config', configuration(1, 'plain'))
    yield cluster
    cluster.close()


def _answer(connection, request):
    connection.answer(request)


def test_a_reload_during_the_start_does_not_end_the_process(cluster):
    # Guards against SIGHUP before its handler: callers already wait in the
    # queue of the port, and were reset.
    process = cluster.start()
    process.wait_listening()
    process.process.send_signal(signal.SIGHUP)
    assert process.ask()[0] == 200
    assert process.wait_event('SettingsReloaded')


def test_a_stop_during_the_start_is_graceful(cluster):
    # Guards against SIGTERM before its handler: callers that wait in the queue
    # of the port were reset.
    process = cluster.start()
    process.wait_listening()
    process.terminate()
    assert process.ask()[0] in {200, 503}
    assert process.process.wait(20) == 0


@pytest.mark.parametrize('reloads', [0, 1])
def test_a_host_with_outdated_seeds_meets_its_peers_later(cluster, reloads):
    # Guards against seeds that are read only at the start: the host never met
    # its peers, and without the store it had no configuration, or kept an old
    # one. The settings may change without a signal.
    cluster.start('127.0.0.2').wait_ready()
    isolated = cluster.start('127.0.0.3', store=9, seeds=['127.0.0.4'])
    isolated.wait_event('Started')
    assert not isolated.is_ready()
    isolated.change_seeds(['127.0.0.2'])
    for _time in range(reloads):
        isolated.process.send_signal(signal.SIGHUP)
    isolated.wait_ready()
    assert isolated.ask()[0] == 200


def test_settings_that_cannot_be_read_are_logged_and_not_applied(cluster):
    # Guards against a log that is flooded, and against seeds that are lost,
    # while the platform writes the file.
    process = cluster.start()
    process.wait_ready()
    settings = process.log.with_suffix('.json')
    content = settings.read_text()
    began = time.monotonic()
    settings.write_text(content[:50])
    process.wait_event('RoundFailed')
    time.sleep(1)
    polls = 1 + (time.monotonic() - began) / POLL_S
    assert len(process.events('RoundFailed')) <= polls
    settings.write_text(content)
    assert process.ask()[0] == 200
