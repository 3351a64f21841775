"""Keyed calls run once, with real processes."""

import json
import signal
import time

from standins.cluster import ask, wait_until
from standins.cluster_calls import chat, error, faults, in_background, pair, ran


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
