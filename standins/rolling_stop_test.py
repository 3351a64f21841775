"""Tests of gateway processes that are told to stop one after another."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

import pytest

from standins.platform_cluster import PlatformCluster, configuration, entry_of
from standins.scripted_upstream import ScriptedUpstream

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4')
EVENTS = 25
GAP_S = 0.1
CALLERS = 24
SHORT_EVENTS = 5
LONG_EVENTS = 60


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


def _answer_of_any_length(connection, request):
    """Answer with as many events as the path says."""
    events = int(request.target.rpartition('/')[2])
    connection.head(request, Transfer_Encoding='chunked')
    for number in range(events):
        connection.chunk(f'id: {number + 1}\ndata: x\n\n')
        time.sleep(GAP_S)
    connection.send('0\r\n\r\n')


class _KeptConnection:
    """A caller that sends its streams on one connection."""

    def __init__(self, process):
        self._http = HTTPConnection(process.ip, process.front, timeout=12)
        self.outcomes = []

    def ask(self, events):
        """Ask for a stream of so many events; its end is in `outcomes`."""
        headers = {
            'Host': 'a.example',
            'Attempt-Id': f'{id(self)}-{len(self.outcomes)}',
            'Token-Count': f'100,{LONG_EVENTS}',
            'Deadline-Ms': '8000',
        }
        self._http.request('GET', f'/x/{events}', headers=headers)
        response = self._http.getresponse()
        try:
            body = response.read()
        except (OSError, HTTPException):
            self.outcomes.append('cut')
            return
        if response.status == 200:
            self.outcomes.append(body.count(b'\n\n'))
        else:
            self.outcomes.append(response.status)


def test_a_host_that_waits_to_drain_cuts_no_stream_that_came_late(cluster):
    # Two hosts were stopped 1 s apart. The second one went on taking streams
    # by an estimate that short answers had made too low. Streams of 6 s that it
    # took 3.3 s after its SIGTERM were cut when its process ended.
    upstream = ScriptedUpstream(_answer_of_any_length)
    published = configuration(1, 'plain', kind='streaming', timeoutMs=8000)
    cluster.store.put('keyed.op', 'config', published)
    cluster.store.put('keyed.servers', 'i-1', entry_of(upstream))
    first, second = [cluster.start(ip, seeds=HOSTS[:2]) for ip in HOSTS[:2]]
    for process in (first, second):
        process.wait_ready()
    before_stop = _KeptConnection(first)
    callers = [_KeptConnection(second) for _number in range(3)]
    for caller in (before_stop, *callers):
        caller.ask(SHORT_EVENTS)
    with ThreadPoolExecutor() as pool:
        pool.submit(before_stop.ask, LONG_EVENTS)
        time.sleep(0.5)
        first.terminate()
        time.sleep(1)
        second.terminate()
        time.sleep(3.3)
        for caller in callers:
            pool.submit(caller.ask, LONG_EVENTS)
    assert before_stop.outcomes == [SHORT_EVENTS, LONG_EVENTS]
    for caller in callers:
        assert caller.outcomes == [SHORT_EVENTS, 503]


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
