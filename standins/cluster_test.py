"""The promises with real processes: kills, cuts, freezes and outages."""

import contextlib
import http.client
import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from standins.cluster import (
    CUSTOMER_KEY,
    IP,
    ask,
    reduced,
    running_cluster,
    wait_until,
)
from standins.engine import expected_tokens
from standins.session import in_force

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'queretaro'
AUTH = {'Authorization': f'Bearer {CUSTOMER_KEY}'}
MESSAGES = [{'role': 'user', 'content': 'read this label'}]


@pytest.fixture
def cluster(tmp_path):
    with running_cluster(tmp_path, reduced(EXAMPLE, 2, 2), 2) as running:
        yield running


def chat(entry, tokens=5, stream=True, messages=MESSAGES):
    body = {
        'model': 'asistente',
        'messages': messages,
        'max_tokens': tokens,
        'stream': stream,
    }
    return ask(
        entry.port,
        'POST',
        '/v1/chat/completions',
        json.dumps(body).encode(),
        AUTH,
    )


def streamed_text(body):
    text = []
    for line in body.decode().splitlines():
        if line.startswith('data: {'):
            event = json.loads(line.removeprefix('data: '))
            text.append(event['choices'][0]['delta']['content'])
    return text


def pair(entry, body=b'tv-7', key=None, timeout=30):
    headers = {**AUTH, **({'Idempotency-Key': key} if key else {})}
    return ask(entry.port, 'POST', '/codigos/pairings', body, headers, timeout)


def ran(cluster, path='/pairings'):
    """The calls that the plain services' own records show."""
    found = []
    for name in ('codigos-01', 'codigos-02'):
        if name not in cluster.nodes:
            continue
        port = cluster.nodes[name].port
        record = json.loads(ask(port, 'GET', '/record')[2])
        found += [call for call in record if call['path'] == path]
    return found


def error(answer):
    return json.loads(answer[2])['error']


def in_background(work, *arguments):
    pool = ThreadPoolExecutor(1)
    return pool.submit(work, *arguments)


def faults(cluster, **switches):
    for name in ('codigos-01', 'codigos-02'):
        cluster.nodes[name].fault(**switches)


def test_callers_get_the_answers_to_their_own_requests(cluster):
    # Forty callers at once over both entry daemons, each with a prompt of
    # its own; the stand-in's answer to a prompt is known beforehand.
    entries = [cluster.nodes['entry-0'], cluster.nodes['entry-1']]

    def one(number):
        messages = [{'role': 'user', 'content': f'label {number}'}]
        status, _headers, body = chat(
            entries[number % 2], 12, messages=messages
        )
        return status, streamed_text(body) == expected_tokens(messages, 12)

    with ThreadPoolExecutor(20) as pool:
        answers = list(pool.map(one, range(40)))
    assert answers == [(200, True)] * 40


def test_cut_stream_is_resumed_where_it_broke(cluster):
    # Each engine cuts its first stream after four events. The side asks
    # the same engine for the rest, and the caller notices nothing.
    for name in ('asistente-01', 'asistente-02'):
        cluster.nodes[name].fault(cut_after=4, cuts=1)
    status, _headers, body = chat(cluster.nodes['entry-0'], 12)
    assert status == 200
    assert streamed_text(body) == expected_tokens(MESSAGES, 12)


def test_stream_that_ends_without_its_mark_is_not_whole(cluster):
    # The engine closes the body properly, but halfway: only the missing end
    # mark shows it. The side fetches the rest.
    for name in ('asistente-01', 'asistente-02'):
        cluster.nodes[name].fault(cut_after=4, cuts=1, end_cleanly=True)
    status, _headers, body = chat(cluster.nodes['entry-0'], 12)
    assert status == 200
    assert streamed_text(body) == expected_tokens(MESSAGES, 12)


def test_stream_of_a_killed_engine_is_broken_at_the_caller(cluster):
    # The engine dies after the first tokens went out. The caller must see
    # a broken stream, never a short success.
    entry = cluster.nodes['entry-0']
    for name in ('asistente-01', 'asistente-02'):
        cluster.nodes[name].fault(step_seconds=0.1)
    running = in_background(chat, entry, 100)
    time.sleep(1)
    for name in ('asistente-01', 'asistente-02'):
        cluster.nodes[name].kill()
    with pytest.raises(http.client.IncompleteRead) as broken:
        running.result()
    assert b'event: error' in broken.value.partial
    assert b'[DONE]' not in broken.value.partial


def test_killed_side_leaves_a_broken_stream_too(cluster):
    entry = cluster.nodes['entry-0']
    for name in ('asistente-01', 'asistente-02'):
        cluster.nodes[name].fault(step_seconds=0.1)
    running = in_background(chat, entry, 100)
    time.sleep(1)
    for name in ('side-asistente-01', 'side-asistente-02'):
        cluster.nodes[name].kill()
    with pytest.raises(http.client.IncompleteRead):
        running.result()


FAILURES = [
    # fault, method, path, status, what the caller is told, runs
    ('cut_before_work', 'POST', '/pairings', 502, 'unknown', 0),
    ('cut_after_work', 'POST', '/pairings', 502, 'unknown', 1),
    ('cut_mid_body', 'POST', '/pairings', 502, 'unknown', 1),
    ('cut_before_work', 'GET', '/cards/1', 200, None, 1),
    ('cut_after_work', 'GET', '/cards/1', 200, None, 2),
    ('cut_mid_body', 'GET', '/cards/1', 200, None, 2),
]


def test_each_failure_tells_the_truth(tmp_path):
    # A call that may be repeated is answered in spite of one cut; one that
    # may not is never sent twice, and its caller hears "unknown".
    with running_cluster(tmp_path, reduced(EXAMPLE, 1, 1)) as cluster:
        entry = cluster.nodes['entry-0']
        upstream = cluster.nodes['codigos-01']
        for fault, method, path, status, told, runs in FAILURES:
            before = len(ran(cluster, path))
            upstream.fault(**{fault: 1})
            answer = ask(entry.port, method, f'/codigos{path}', b'', AUTH)
            assert answer[0] == status, (fault, method, answer)
            if told:
                assert error(answer)['ran'] == told
            assert len(ran(cluster, path)) - before == runs, (fault, method)


def test_refusal_is_not_run_and_says_when_to_come_back(cluster):
    # The upstreams refuse connections: no byte left, so "not run" is true.
    entry = cluster.nodes['entry-0']
    for name in ('codigos-01', 'codigos-02'):
        cluster.nodes[name].kill()
    status, headers, body = pair(entry)
    assert status == 503
    assert json.loads(body)['error']['ran'] == 'no'
    assert int(headers['retry-after']) >= 1


def test_keyed_call_runs_once_whatever_happens_to_its_side(cluster):
    # The call runs for a second. Its side is killed meanwhile, and the
    # caller repeats it through the other entry daemon: another side takes
    # the slot over, finds the claim and says that it may have run.
    faults(cluster, work_seconds=1)
    one, two = cluster.nodes['entry-0'], cluster.nodes['entry-1']
    running = in_background(pair, one, b'tv', 'key-1')
    wait_until(lambda: len(ran(cluster)) == 1)
    owner = next(
        name
        for name in ('codigos-01', 'codigos-02')
        if json.loads(ask(cluster.nodes[name].port, 'GET', '/record')[2])
    )
    cluster.nodes[f'side-{owner}'].kill()
    assert running.result()[0] in {409, 502}
    assert error(running.result())['ran'] == 'unknown'
    again = pair(two, b'tv', 'key-1')
    assert again[0] in {409, 502}
    assert error(again)['ran'] == 'unknown'
    assert len(ran(cluster)) == 1


def test_keyed_call_repeated_through_the_other_entry_gets_its_answer(cluster):
    one, two = cluster.nodes['entry-0'], cluster.nodes['entry-1']
    first = pair(one, b'tv', 'key-2')
    again = pair(two, b'tv', 'key-2')
    assert first[0] == again[0] == 200
    assert first[2] == again[2]
    other = pair(two, b'radio', 'key-2')
    assert (other[0], error(other)['type']) == (422, 'key_reused')
    assert len(ran(cluster)) == 1


def test_frozen_owner_that_wakes_does_not_run_it_again(cluster):
    # The side that owns the slot is stopped; the call goes to the other
    # side, which takes the slot over. When the first one wakes, it has the
    # old call still in its buffers.
    one, two = cluster.nodes['entry-0'], cluster.nodes['entry-1']
    pair(one, b'tv', 'key-3')
    owner = next(
        name
        for name in ('codigos-01', 'codigos-02')
        if json.loads(ask(cluster.nodes[name].port, 'GET', '/record')[2])
    )
    side = cluster.nodes[f'side-{owner}']
    side.signal(signal.SIGSTOP)
    try:
        running = in_background(pair, one, b'tv', 'key-4')
        time.sleep(0.5)
    finally:
        side.signal(signal.SIGCONT)
    pair(two, b'tv', 'key-4')
    running.result()
    same = [call for call in ran(cluster) if call['body'] == 'tv']
    assert len(same) <= 2  # key-3 and key-4, once each


def test_log_outage_refuses_keyed_calls_and_serves_the_rest(cluster):
    entry = cluster.nodes['entry-0']
    cluster.log.fault(down=True)
    answer = pair(entry, b'tv', 'key-5')
    assert answer[0] == 503
    assert error(answer)['type'] == 'log_unavailable'
    assert error(answer)['ran'] == 'no'
    assert ran(cluster) == []
    assert pair(entry)[0] == 200
    assert chat(entry)[0] == 200
    cluster.log.fault(down=False)
    time.sleep(1)
    assert pair(entry, b'tv', 'key-5')[0] == 200


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


def executions(cluster, engine):
    port = cluster.nodes[engine].port
    return len(json.loads(ask(port, 'GET', '/executions')[2]))


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


def test_new_host_gets_the_configuration_during_a_log_outage(cluster):
    # The log is out and an entry daemon is replaced: no disk, no log. It
    # takes what is in force from a neighbour.
    cluster.log.fault(down=True)
    cluster.nodes['entry-0'].kill()
    entry = cluster.restart('entry-0')
    cluster.wait_ready(entry, 'codigos')
    assert ask(entry.port, 'GET', '/codigos/cards/1', None, AUTH)[0] == 200


def test_paused_daemon_that_wakes_does_not_bring_an_old_state_back(cluster):
    # An entry daemon is stopped while a drain is published. It wakes with
    # the old configuration and must not send work by it.
    entry = cluster.nodes['entry-0']
    entry.signal(signal.SIGSTOP)
    cluster.deployment['drained'] = ['codigos-01']
    assert cluster.publish().returncode == 0
    wait_until(lambda: in_force(cluster.nodes['side-codigos-01']) == 2)
    entry.signal(signal.SIGCONT)
    for _call in range(10):
        assert ask(entry.port, 'GET', '/codigos/cards/3', None, AUTH)[0] == 200
    port = cluster.nodes['codigos-01'].port
    assert json.loads(ask(port, 'GET', '/record')[2]) == []
    wait_until(lambda: in_force(entry) == 2)


def test_lost_reply_of_a_publish_is_resolved(cluster):
    # The append is stored and its reply lost. The command looks for its
    # record before it would append again, and tells the verdict.
    cluster.deployment['drained'] = ['codigos-02']
    cluster.log.fault(lose_append_replies=1)
    published = cluster.publish()
    assert published.returncode == 0
    assert 'accepted as revision 2' in published.stdout
    again = cluster.publish()
    assert 'revision 2: nothing to change' in again.stdout


def test_operators_race_and_the_loser_is_told(cluster):
    folder = cluster.write_deployment()
    log = f'{IP}:{cluster.log.port}'
    cluster.deployment['drained'] = ['codigos-01']
    assert cluster.publish().returncode == 0
    cluster.deployment['drained'] = ['codigos-02']
    cluster.write_deployment()
    stale = cluster.command(
        'publish', str(folder), '--log', log, '--based-on', '1'
    )
    assert stale.returncode == 3
    assert 'revision 2 is in force' in stale.stderr


BAD_INPUT = [
    ('POST', '/v1/chat/completions', b'{', {}, 400, 'bad_request'),
    ('POST', '/v1/chat/completions', b'[]', {}, 400, 'bad_request'),
    ('POST', '/v1/nothing', b'{}', {}, 400, 'bad_request'),
    (
        'POST',
        '/v1/chat/completions',
        b'{"model": "none", "messages": []}',
        {},
        404,
        'unknown_service',
    ),
    ('GET', '/none/x', b'', {}, 404, 'unknown_service'),
    ('GET', '/codigos', b'', {}, 404, 'unknown_service'),
    (
        'GET',
        '/codigos/x',
        b'',
        {'Authorization': 'no'},
        401,
        'unknown_customer',
    ),
    ('POST', '/codigos/x', b'x' * 1_100_000, {}, 413, 'too_large'),
    (
        'POST',
        '/codigos/pairings',
        b'',
        {'Idempotency-Key': 'x' * 300},
        400,
        'bad_request',
    ),
]


def test_bad_input_gets_a_typed_answer(cluster):
    entry = cluster.nodes['entry-0']
    for method, path, body, headers, status, kind in BAD_INPUT:
        answer = ask(entry.port, method, path, body, {**AUTH, **headers})
        assert answer[0] == status, (path, answer)
        assert error(answer)['type'] == kind
        assert error(answer)['ran'] == 'no'
    with contextlib.closing(http.client.HTTPConnection(IP, entry.port)) as half:
        half.connect()
        half.sock.sendall(b'POST /codigos/pairings HTTP/1.1\r\nContent-Le')
    assert ask(entry.port, 'GET', '/healthz')[0] == 200
    assert ran(cluster) == []


def test_stranger_without_the_fleet_key_is_turned_away(cluster):
    # Not all upstreams check who gives them an order, so the side must.
    from linnetwind.address import Address
    from linnetwind.link import open_link
    from linnetwind.peer import Identity

    side = cluster.nodes['side-codigos-01']
    stranger = Identity('entry', 'stranger', 'x')
    opened = open_link(
        Address(IP, side.port), stranger, b'wrong', lambda _link, _message: None
    )
    assert opened.is_err()


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
