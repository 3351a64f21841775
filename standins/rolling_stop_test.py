"""Tests of gateway processes that are told to stop one after another."""

import threading
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

import pytest

from standins.platform_cluster import PlatformCluster, configuration, entry_of
from standins.scripted_upstream import ScriptedUpstream

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4')
EVENTS = 25
GAP_S = 0.1
CALLERS = 24


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    started = PlatformCluster(tmp_path)
    yield started
    started.close()


@dataclass
class _Seen:
    """What the callers saw; each list holds the ids of their tries."""

    whole: list = field(default_factory=list)
    cut: list = field(default_factory=list)
    refused: list = field(default_factory=list)
    without_retry: list = field(default_factory=list)
    unanswered: list = field(default_factory=list)


def _stream(connection, request):
    connection.head(request, Transfer_Encoding='chunked')
    for number in range(1, EVENTS):
        connection.chunk(f'id: {number}\ndata: x\n\n')
        time.sleep(GAP_S)
    connection.send('0\r\n\r\n')


def _ask(process, name, seen):
    """Ask for a stream on a new connection."""
    connection = HTTPConnection(process.ip, process.front, timeout=10)
    headers = {
        'Host': 'a.example',
        'Attempt-Id': name,
        'Token-Count': '100,60',
        'Deadline-Ms': '20000',
    }
    try:
        connection.connect()
    except OSError:
        return
    try:
        connection.request('GET', '/x/1', headers=headers)
        response = connection.getresponse()
    except (OSError, HTTPException):
        seen.unanswered.append((name, _ends(process)))
        return
    try:
        response.read()
    except (OSError, HTTPException):
        seen.cut.append(name)
        return
    if response.status == 200:
        seen.whole.append(name)
        return
    seen.refused.append((response.status, name))
    if response.getheader('Retry-After') is None:
        seen.without_retry.append(name)


@pytest.mark.parametrize('gap_s', [0.8, 0.1])
def test_callers_of_hosts_that_stop_in_turn_are_answered(cluster, gap_s):
    # All hosts are told to stop within seconds, and callers come until each
    # process is gone. From 2.6 s on a gateway closed their connections
    # unread: nobody was told that the request had not run, nor when to come
    # back, and for seconds all hosts did so at once.
    upstream = ScriptedUpstream(_stream)
    cluster.store.put(
        'keyed.op', 'config', configuration(1, 'plain', kind='streaming')
    )
    cluster.store.put('keyed.servers', 'i-1', entry_of(upstream))
    processes = {ip: cluster.start(ip, seeds=HOSTS) for ip in HOSTS}
    lives = list(processes.values())
    for process in lives:
        process.wait_ready()
    seen, over = _Seen(), threading.Event()

    def call(caller):
        tries = 0
        while not over.is_set():
            tries += 1
            host = HOSTS[(caller + tries) % len(HOSTS)]
            _ask(processes[host], f'c{caller}-{tries}', seen)
            time.sleep(0.05)

    callers = [
        threading.Thread(target=call, args=(number,))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    # Long enough for streams of which the lengths of the next are known.
    _until(lambda: len(seen.whole) >= CALLERS)
    for process in lives:
        process.terminate()
        time.sleep(gap_s)
    for process in lives:
        assert process.process.wait(20) == 0
        processes[process.ip] = cluster.start(process.ip, seeds=HOSTS)
    over.set()
    for caller in callers:
        caller.join()
    ran = {each.headers['attempt-id'] for each in upstream.requests}
    assert seen.cut == []
    assert {status for status, _name in seen.refused} <= {503}
    assert ran.isdisjoint(name for _status, name in seen.refused)
    assert seen.without_retry == []
    # Only the end of a process leaves a connection without an answer.
    assert ran.isdisjoint(name for name, _ended in seen.unanswered)
    assert all(ended for _name, ended in seen.unanswered)
    ends = [each.events('Stopped')[0]['open_requests'] for each in lives]
    assert ends == [0] * len(HOSTS)


def _ends(process):
    """Return whether a process is at its end."""
    for _look in range(20):
        if process.process.poll() is not None:
            return True
        time.sleep(0.05)
    return False


def _until(condition):
    for _look in range(600):
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError
