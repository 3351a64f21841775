"""Tests of real gateway processes: stop, kill, outage, configuration."""

import signal
import threading
import time
from contextlib import suppress
from http.client import HTTPConnection, HTTPException, RemoteDisconnected

import pytest

from standins.platform_cluster import (
    GRACE_S,
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


@pytest.fixture(name='release')
def _release():
    event = threading.Event()
    yield event
    event.set()


def _answer(connection, request):
    connection.answer(request)


def _publish(cluster, upstream, version=1, **changes):
    cluster.store.put('keyed.servers', 'i-1', entry_of(upstream))
    cluster.store.put(
        'keyed.op', 'config', configuration(version, 'plain', **changes)
    )


def test_a_process_is_ready_only_with_a_configuration(cluster):
    process = cluster.start()
    process.wait_event('Started')
    assert not process.is_ready()
    _publish(cluster, ScriptedUpstream(_answer))
    process.wait_ready()
    assert process.ask()[0] == 200


def test_sigterm_cuts_no_request(cluster, release):
    # A request is at an upstream when the platform stops the process. The
    # process says at once that it is not ready, still serves callers that
    # the platform sends meanwhile, and ends when the request is answered.
    started = threading.Event()

    def slow(connection, request):
        if request.target.endswith('slow'):
            started.set()
            release.wait(20)
        connection.answer(request)

    _publish(cluster, ScriptedUpstream(slow))
    process = cluster.start()
    process.wait_ready()
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(process.ask('/x/slow'))
    )
    caller.start()
    assert started.wait(10)
    process.terminate()
    process.wait_event('Stopping')
    assert not process.is_ready()
    status, headers, _body = process.ask('/x/quick')
    assert (status, headers['Connection']) == (200, 'close')
    release.set()
    caller.join(10)
    assert answers[0][0] == 200
    assert process.process.wait(20) == 0
    assert process.events('Stopped')[0]['open_requests'] == 0


@pytest.mark.parametrize('reloads', [0, 3])
def test_sigterm_is_heard_by_a_process_that_was_frozen(cluster, reloads):
    # The platform stops a process while its host is frozen, perhaps just after
    # SIGHUP. When it wakes, any of its threads may get the signal. Unheard,
    # the process goes on until it is killed, and cuts what it serves then.
    _publish(cluster, ScriptedUpstream(_answer))
    process = cluster.start()
    process.wait_ready()
    process.ask()
    process.process.send_signal(signal.SIGSTOP)
    for _time in range(reloads):
        process.process.send_signal(signal.SIGHUP)
    process.terminate()
    process.process.send_signal(signal.SIGCONT)
    assert process.process.wait(20) == 0
    assert process.events('Stopped')


def test_a_killed_process_serves_again_when_it_is_started(cluster):
    _publish(cluster, ScriptedUpstream(_answer))
    process = cluster.start()
    process.wait_ready()
    process.kill()
    again = cluster.start()
    again.wait_ready()
    assert again.ask()[0] == 200


def test_a_host_that_the_store_refuses_learns_from_its_peer(cluster):
    # The store serves one host and turns the other away. That one must still
    # know the configuration and the upstreams, and hear of newer ones.
    _publish(cluster, ScriptedUpstream(_answer))
    served = cluster.start('127.0.0.2')
    served.wait_ready()
    refused = cluster.start('127.0.0.3', store=9, seeds=['127.0.0.2'])
    refused.wait_ready()
    assert refused.ask()[0] == 200
    assert refused.events('ConfigurationApplied')[0]['source'] == 'peer'
    cluster.store.put(
        'keyed.op', 'config', configuration(2, 'plain', prefixes=['/y/'])
    )
    _until(lambda: refused.ask('/y/1')[0] == 200)
    assert refused.ask('/x/1')[0] == 404


def test_a_configuration_takes_hold_and_never_goes_back(cluster):
    # A newer version replaces a route; then an older one is seen again, as
    # from a reader that is behind. Its route must not come back.
    _publish(cluster, ScriptedUpstream(_answer), version=5)
    process = cluster.start()
    process.wait_ready()
    cluster.store.put(
        'keyed.op', 'config', configuration(9, 'plain', prefixes=['/y/'])
    )
    _until(lambda: process.ask('/y/1')[0] == 200)
    cluster.store.put('keyed.op', 'config', configuration(5, 'plain'))
    cluster.store.put('keyed.servers', 'i-2', None)
    cluster.store.put(
        'keyed.op', 'config', configuration(10, 'plain', prefixes=['/z/'])
    )
    _until(lambda: process.ask('/z/1')[0] == 200)
    applied = process.events('ConfigurationApplied')
    assert [each['version'] for each in applied] == [5, 9, 10]


@pytest.mark.parametrize('outage', ['busy', 'cut', 'silent'])
def test_an_outage_of_the_store_stops_nothing(cluster, outage):
    # The store goes away while callers are served, and its history is gone
    # when it returns with a newer configuration.
    _publish(cluster, ScriptedUpstream(_answer))
    process = cluster.start()
    process.wait_ready()
    cluster.store.outage = outage
    process.wait_event('DependencyLost')
    assert process.ask()[0] == 200
    cluster.store.put(
        'keyed.op', 'config', configuration(2, 'plain', prefixes=['/y/'])
    )
    cluster.store.forget('keyed.op')
    cluster.store.forget('keyed.servers')
    cluster.store.outage = None
    _until(lambda: process.ask('/y/1')[0] == 200)


def test_a_drained_upstream_gets_nothing_more(cluster):
    upstream, other = ScriptedUpstream(_answer), ScriptedUpstream(_answer)
    _publish(cluster, upstream)
    cluster.store.put('keyed.servers', 'i-2', entry_of(other))
    process = cluster.start()
    process.wait_ready()
    cluster.store.put(
        'keyed.servers', 'i-1', entry_of(upstream, state='draining')
    )
    _until(
        lambda: any(
            'i-1' in each['removed']
            for each in process.events('UpstreamsChanged')
        )
    )
    before = len(upstream.requests)
    assert {process.ask()[0] for _call in range(10)} == {200}
    assert len(upstream.requests) == before


def _until(condition):
    for _try in range(400):
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError


def test_metrics_count_what_was_served(cluster):
    _publish(cluster, ScriptedUpstream(_answer))
    process = cluster.start()
    process.wait_ready()
    assert process.ask()[0] == 200
    process.wait_event('RequestEnded')
    text = process.metrics()
    assert 'linnetwind_requests_total{outcome="answered"} 1.0' in text
    assert 'linnetwind_config_version 1.0' in text


def test_callers_that_come_until_the_end_lose_no_answer(cluster):
    # Callers open new connections to a process that is stopping, up to the
    # moment at which it ends, as when the platform has too few others. A call
    # that was taken in the last milliseconds reached its upstream, and its
    # connection was closed without an answer.
    def brief(connection, request):
        time.sleep(0.02)
        connection.answer(request)

    upstream = ScriptedUpstream(brief)
    _publish(cluster, upstream)
    process = cluster.start()
    process.wait_ready()
    answered, stop = set(), threading.Event()

    def call(caller):
        number = 0
        while not stop.is_set():
            number += 1
            name = f'c{caller}-{number}'
            with suppress(OSError, HTTPException):
                if process.ask(**{'Attempt-Id': name})[0] == 200:
                    answered.add(name)

    callers = [threading.Thread(target=call, args=(n,)) for n in range(12)]
    for caller in callers:
        caller.start()
    process.terminate()
    assert process.process.wait(20) == 0
    stop.set()
    for caller in callers:
        caller.join()
    ran = {each.headers['attempt-id'] for each in upstream.requests}
    assert ran - answered == set()


def test_streams_on_a_kept_connection_end_before_the_process(cluster):
    # A caller takes one stream after the other over one connection. The
    # process was told to stop, but said so only with whole answers: streams
    # went on there until its time was over, and the last one was cut.
    def stream(connection, request):
        connection.head(request, Transfer_Encoding='chunked')
        for number in range(1, 9):
            connection.chunk(f'id: {number}\ndata: x\n\n')
            time.sleep(0.05)
        connection.send('0\r\n\r\n')

    _publish(cluster, ScriptedUpstream(stream), kind='streaming')
    process = cluster.start()
    process.wait_ready()
    started, cut = threading.Event(), []

    def call():
        connection = HTTPConnection(process.ip, process.front, timeout=10)
        for number in range(100):
            headers = {'Host': 'a.example', 'Attempt-Id': f'c{number}'}
            try:
                connection.request('GET', '/x/1', headers=headers)
                response = connection.getresponse()
            except (OSError, HTTPException):
                # Closed before it was read: nothing is lost.
                return
            started.set()
            try:
                response.read()
            except (OSError, HTTPException) as error:
                cut.append(error)
            if response.will_close:
                return

    callers = [threading.Thread(target=call) for _caller in range(4)]
    for caller in callers:
        caller.start()
    assert started.wait(10)
    process.terminate()
    assert process.process.wait(20) == 0
    for caller in callers:
        caller.join()
    assert cut == []
    assert process.events('Stopped')[0]['open_requests'] == 0


def test_streams_asked_for_after_the_notice_are_not_begun_and_cut(cluster):
    # Callers keep idle connections to a gateway that is told to stop. Once it
    # turns new connections away, they send on these. The gateway looked for
    # idle connections to close only every half second, read the requests
    # until then and passed them on, though what was left of its time could
    # not be enough for their streams: ten of ten were begun and broke off,
    # "Stopped ... open_requests: 10".
    def stream(connection, request):
        connection.head(request, Transfer_Encoding='chunked')
        if request.target.endswith('long'):
            for number in range(1, 10 * GRACE_S):
                connection.chunk(f'id: {number}\ndata: x\n\n')
                time.sleep(0.1)
        connection.send('0\r\n\r\n')

    upstream = ScriptedUpstream(stream)
    _publish(cluster, upstream, kind='streaming')
    process = cluster.start()
    process.wait_ready()
    kept = [HTTPConnection(process.ip, process.front) for _each in range(10)]
    for connection in kept:
        assert _ask_on(connection, '/x/short') == 200
    process.terminate()
    _until(lambda: _is_turned_away(process))
    ended = [None] * len(kept)

    def call(number):
        try:
            ended[number] = _ask_on(kept[number], '/x/long')
        except (HTTPException, ConnectionError) as error:
            ended[number] = type(error)

    callers = [
        threading.Thread(target=call, args=(number,))
        for number in range(len(kept))
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert process.process.wait(20) == 0
    begun = [each for each in upstream.requests if each.target.endswith('long')]
    assert (len(begun), process.events('Stopped')[0]['open_requests']) == (0, 0)
    # Refused, or closed before the request was read.
    unread = {RemoteDisconnected, ConnectionResetError, BrokenPipeError}
    assert set(ended) <= {503} | unread


def _ask_on(connection, path):
    headers = {'Host': 'a.example', 'Attempt-Id': 'c'}
    connection.request('GET', path, headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status


def _is_turned_away(process):
    try:
        return process.ask('/x/short')[0] == 503
    except (OSError, HTTPException):
        return True
