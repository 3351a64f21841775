"""Daemons and upstreams that stop, leave or come back, as real processes."""

import http.client
import itertools
import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from standins.cluster import IP, ask, reduced, running_cluster, wait_until
from standins.cluster_calls import (
    AUTH,
    EXAMPLE,
    MESSAGES,
    chat,
    executions,
    faults,
    in_background,
    ran,
    streamed_text,
)
from standins.engine import expected_tokens


def test_leaving_side_gets_no_new_work_though_nobody_sees_the_list(cluster):
    # The host list cannot be read from anywhere. The side is told to end;
    # it finishes its stream, and the entry daemons hear of it at once.
    entry = cluster.nodes['entry-0']
    cluster.nodes['hosts'].fault(down=True)
    cluster.nodes['asistente-01'].fault(step_seconds=0.05)
    cluster.nodes['asistente-02'].fault(step_seconds=0.05)
    streams = [in_background(chat, entry, 30) for _stream in range(6)]
    time.sleep(0.5)
    cluster.nodes['side-asistente-01'].signal(signal.SIGTERM)
    time.sleep(0.3)
    before = executions(cluster, 'asistente-01')
    assert all(chat(entry, 2)[0] == 200 for _call in range(10))
    assert executions(cluster, 'asistente-01') == before
    for stream in streams:
        status, _headers, body = stream.result()
        assert status == 200
        assert streamed_text(body) == expected_tokens(MESSAGES, 30)
    assert cluster.nodes['side-asistente-01'].process.wait(10) == 0


def test_drain_by_configuration_takes_hold_in_seconds(cluster):
    cluster.deployment['drained'] = ['codigos-01']
    assert cluster.publish().returncode == 0
    entry = cluster.nodes['entry-0']
    time.sleep(1)
    before = len(ran(cluster, '/cards/2'))
    for _call in range(10):
        assert ask(entry.port, 'GET', '/codigos/cards/2', None, AUTH)[0] == 200
    record = json.loads(
        ask(cluster.nodes['codigos-01'].port, 'GET', '/record')[2]
    )
    assert record == []
    assert len(ran(cluster, '/cards/2')) == before + 10


def test_entry_that_is_told_to_end_cuts_nothing(cluster):
    # Slow streams, an idle keep-alive caller and one that sends again on
    # its connection while the daemon drains.
    entry = cluster.nodes['entry-0']
    for name in ('asistente-01', 'asistente-02'):
        cluster.nodes[name].fault(step_seconds=0.05)
    streams = [in_background(chat, entry, 40) for _stream in range(4)]
    idle = http.client.HTTPConnection(IP, entry.port, timeout=10)
    idle.request('GET', '/codigos/cards/1', headers=AUTH)
    idle.getresponse().read()
    time.sleep(0.5)
    entry.signal(signal.SIGTERM)
    time.sleep(0.1)
    assert ask(entry.port, 'GET', '/readyz')[0] == 503
    idle.request('GET', '/codigos/cards/1', headers=AUTH)
    late = idle.getresponse()
    assert late.read()
    assert late.status == 200
    for stream in streams:
        status, _headers, body = stream.result()
        assert status == 200
        assert streamed_text(body) == expected_tokens(MESSAGES, 40)
    assert entry.process.wait(10) == 0


def test_callers_that_never_pause_do_not_keep_an_entry_that_stops(cluster):
    # Callers send one call after the other over their connections to an
    # entry daemon that is told to end. No answer told them to go elsewhere
    # and their connections were never idle, so that the daemon served on:
    # 12 s after SIGTERM it had answered 2,066 more calls and still ran. It
    # was to be killed with whatever ran then.
    entry = cluster.nodes['entry-0']
    faults(cluster, work_seconds=0.05)
    lost, last = set(), []

    def call(caller):
        connection = http.client.HTTPConnection(IP, entry.port, timeout=10)
        for number in itertools.count():
            path = f'/cards/{caller}-{number}'
            try:
                connection.request('GET', f'/codigos{path}', headers=AUTH)
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException):
                lost.add(path)
                return
            if response.will_close:
                last.append(response.status)
                return

    with ThreadPoolExecutor(8) as pool:
        callers = [pool.submit(call, number) for number in range(8)]
        time.sleep(0.5)
        entry.signal(signal.SIGTERM)
        try:
            assert entry.process.wait(12) == 0
        finally:
            entry.kill()
        for each in callers:
            each.result()
    assert [path for path in lost if ran(cluster, path)] == []
    assert set(last) <= {200, 503}


def test_nothing_is_lost_while_sides_come_and_go(cluster):
    # Callers go on while one side after the other is killed and restarted;
    # every request ends with an answer or a typed error. The second side is
    # killed only when the first one is back: with both away nobody could
    # serve, and how long a restart takes depends on the machine.
    entry = cluster.nodes['entry-0']

    def times_connected(side):
        return [
            line['side']
            for line in entry.lines()
            if line['event'] == 'connected'
        ].count(side)

    stop = threading.Event()
    statuses = []

    def caller():
        while not stop.is_set():
            statuses.append(
                ask(entry.port, 'GET', '/codigos/cards/1', None, AUTH)[0]
            )

    with ThreadPoolExecutor(4) as pool:
        callers = [pool.submit(caller) for _caller in range(4)]
        for name in ('side-codigos-01', 'side-codigos-02'):
            time.sleep(0.5)
            before = times_connected(name)
            cluster.nodes[name].kill()
            cluster.restart(name)
            wait_until(lambda: times_connected(name) > before)
            time.sleep(0.5)
        stop.set()
        for each in callers:
            each.result()
    assert len(statuses) > 100
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) > 0.9 * len(statuses)


def test_group_keeps_one_map_through_kills_and_a_log_outage(tmp_path):
    # Four ranks switch maps while the coordinator's side is killed, a rank
    # restarts and the log goes out. The group's own record shows the map
    # of every rank in every step.
    deployment = reduced(EXAMPLE, 4, 1, groups=True)
    group = deployment['groups'][0]
    group.update(layers=2, experts=8, slots_per_rank=4)
    group['placement']['interval_seconds'] = 0.5
    with running_cluster(tmp_path, deployment) as cluster:
        ranks = cluster.nodes[group['name']]

        def record():
            return json.loads(ask(ranks.port, 'GET', '/record')[2])

        def load(hot):
            counts = [1.0] * 8
            counts[hot] = 50.0
            ranks.fault(counts=[counts, counts])

        wait_until(lambda: record()['steps'] > 10)
        load(1)
        wait_until(lambda: len(record()['used']) >= 2)
        load(5)
        time.sleep(0.6)
        cluster.nodes['side-asistente-01'].kill()
        cluster.nodes['side-asistente-02'].kill()
        cluster.log.fault(down=True)
        cluster.restart('side-asistente-01')
        cluster.restart('side-asistente-02')
        ask(ranks.port, 'POST', '/ranks/2/restart', b'')
        at = record()['steps']
        wait_until(lambda: record()['steps'] > at + 50)
        cluster.log.fault(down=False)
        maps = len(record()['used'])
        load(3)
        wait_until(lambda: len(record()['used']) > maps, 30)
        assert record()['bad'] == []
