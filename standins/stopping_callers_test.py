"""Callers that go on with a gateway process that was told to stop."""

import itertools
import random
import threading
import time
from contextlib import suppress
from http.client import HTTPConnection, HTTPException

import pytest

from standins.platform_cluster import PlatformCluster, configuration, entry_of
from standins.scripted_upstream import ScriptedUpstream


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    yield cluster
    cluster.close()


def test_streams_on_new_connections_end_before_the_process(cluster):
    # Callers open a connection for each stream, also to a process that is
    # stopping, as when the platform has no other. Streams were begun there up
    # to its end: eight of eight that came 5.1 to 6.4 s after SIGTERM broke
    # off, "Stopped ... open_requests: 8, waited: 6.4461".
    def stream(connection, request):
        connection.head(request, Transfer_Encoding='chunked')
        for number in range(1, 31):
            connection.chunk(f'id: {number}\ndata: x\n\n')
            time.sleep(0.05)
        connection.send('0\r\n\r\n')

    cluster.store.put(
        'keyed.servers', 'i-1', entry_of(ScriptedUpstream(stream))
    )
    cluster.store.put(
        'keyed.op', 'config', configuration(1, 'plain', kind='streaming')
    )
    process = cluster.start()
    process.wait_ready()
    cut, stop = [], threading.Event()

    def call(caller):
        while not stop.is_set():
            connection = HTTPConnection(process.ip, process.front, timeout=10)
            headers = {'Host': 'a.example', 'Attempt-Id': f'c{caller}'}
            try:
                connection.request('GET', '/x/1', headers=headers)
                response = connection.getresponse()
            except (OSError, HTTPException):
                # Not taken: nothing is lost.
                time.sleep(0.05)
                continue
            try:
                response.read()
            except (OSError, HTTPException) as error:
                cut.append(error)
            connection.close()

    callers = [threading.Thread(target=call, args=(n,)) for n in range(8)]
    for each in callers:
        each.start()
        time.sleep(0.2)
    process.terminate()
    assert process.process.wait(20) == 0
    stop.set()
    for each in callers:
        each.join()
    assert cut == []
    assert process.events('Stopped')[0]['open_requests'] == 0


def test_calls_taken_while_the_process_ends_are_not_begun(cluster):
    # Callers come now and then while a process stops. At a moment at which it
    # had no connection it wrote its last lines and ended; calls that came in
    # these 50 ms were passed on, since their time limit was short enough,
    # and broke off after they had reached their upstream.
    def brief(connection, request):
        time.sleep(0.03)
        connection.answer(request)

    upstream = ScriptedUpstream(brief)
    cluster.store.put('keyed.servers', 'i-1', entry_of(upstream))
    cluster.store.put(
        'keyed.op', 'config', configuration(1, 'plain', timeoutMs=400)
    )
    process = cluster.start()
    process.wait_ready()
    answered, stop = set(), threading.Event()

    def call(caller):
        chance = random.Random(caller)
        for number in itertools.count():
            if stop.wait(chance.uniform(0.05, 0.25)):
                return
            name = f'c{caller}-{number}'
            with suppress(OSError, HTTPException):
                if process.ask(**{'Attempt-Id': name})[0] == 200:
                    answered.add(name)

    callers = [threading.Thread(target=call, args=(n,)) for n in range(10)]
    for each in callers:
        each.start()
    process.terminate()
    assert process.process.wait(20) == 0
    stop.set()
    for each in callers:
        each.join()
    ran = {each.headers['attempt-id'] for each in upstream.requests}
    assert ran - answered == set()
