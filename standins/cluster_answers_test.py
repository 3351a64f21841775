"""Whole answers and true refusals, with real processes."""

import contextlib
import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.cluster import IP, ask, reduced, running_cluster
from standins.cluster_calls import (
    AUTH,
    EXAMPLE,
    MESSAGES,
    chat,
    error,
    in_background,
    pair,
    ran,
    streamed_text,
)
from standins.engine import expected_tokens


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
