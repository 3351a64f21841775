"""Tests of real gateway processes while workers start again under their id."""

import threading
from http.client import HTTPException

import pytest

from standins.platform_cluster import (
    PlatformCluster,
    configuration,
    entry_of,
    until,
)
from standins.scripted_upstream import ScriptedUpstream

SLOTS = 6


@pytest.fixture(name='cluster')
def _cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    yield cluster
    cluster.close()


class Worker:
    """A worker that keeps its id over its lives, each at a port of its own."""

    def __init__(self, cluster, script):
        """Start the first life."""
        self._cluster = cluster
        self._script = script
        self.start(1_000)

    def start(self, born):
        """Start a life and register."""
        self.crashed = threading.Event()
        self.upstream = ScriptedUpstream(self._script)
        self.entry = entry_of(self.upstream, born=born)
        self.write(self.entry)

    def crash(self):
        """End the life; what it runs is reset by its script."""
        self.upstream.close()
        self.crashed.set()

    def write(self, entry):
        """Write an entry, also one of a life that is over."""
        self._cluster.store.put('keyed.servers', 'i-1', entry)


def _added(process):
    return [
        life
        for each in process.events('UpstreamsChanged')
        for life in each['added']
    ]


def _answer(connection, request):
    connection.answer(request)


def _misdirect(connection, request):
    connection.answer(request, '', 421, Instance_Id='i-other')


@pytest.mark.parametrize('born', [None, 1_000, 2_000, 500])
def test_a_worker_that_starts_again_under_its_id_is_used(cluster, born):
    # A worker crashes, and another one takes its address and refuses what is
    # sent for the former. Then the worker starts again under its id, later,
    # in the same millisecond, or by a clock that went back; a second gateway
    # learns that from the first only. Both left the id out for ever.
    worker = Worker(cluster, _misdirect)
    cluster.store.put('keyed.op', 'config', configuration(1, 'plain'))
    served = cluster.start('127.0.0.2')
    served.wait_ready()
    refused = cluster.start('127.0.0.3', store=9, seeds=['127.0.0.2'])
    refused.wait_ready()
    assert [each.ask()[0] for each in (served, refused)] == [503, 503]
    worker.crash()
    worker._script = _answer
    worker.start(born)
    for each in (served, refused):
        until(lambda each=each: each.ask()[0] == 200)


def test_calls_at_the_life_before_take_no_place_of_the_next(cluster):
    # All slots of a worker are taken by calls when it crashes. It starts again
    # under its id at once; callers of the life before learn that their calls
    # broke off, and the next life takes as many calls as ever.
    def hang(connection, request):
        if not request.target.endswith('slow'):
            connection.answer(request)
            return
        started.release()
        worker.crashed.wait(20)
        connection.reset()

    started = threading.Semaphore(0)
    worker = Worker(cluster, hang)
    cluster.store.put(
        'keyed.op', 'config', configuration(1, 'plain', kind='non_idempotent')
    )
    process = cluster.start()
    process.wait_ready()
    ended = []

    def call():
        try:
            ended.append(process.ask('/x/slow')[0])
        except (OSError, HTTPException) as error:
            ended.append(type(error))

    callers = [threading.Thread(target=call) for _call in range(SLOTS)]
    for caller in callers:
        caller.start()
    for _call in range(SLOTS):
        assert started.acquire(timeout=10)
    before = worker.entry
    worker.crash()
    worker.start(2_000)
    until(lambda: process.ask()[0] == 200)
    # The life before writes once more, late: nobody listens there any more.
    worker.write(before)
    other = entry_of(ScriptedUpstream(_answer), 'other')
    cluster.store.put('keyed.servers', 'i-2', other)
    until(lambda: 'i-2' in _added(process))
    for caller in callers:
        caller.join()
    assert {process.ask()[0] for _call in range(20)} == {200}
    # It may have run, so that it was not repeated at the next life.
    assert set(ended) == {502}
    slow = [
        each
        for each in worker.upstream.requests
        if each.target.endswith('slow')
    ]
    assert slow == []


def test_a_restart_at_the_same_address_is_noticed(cluster):
    # The worker starts again at once at its address, as after a crash of the
    # process alone. The list names the new life, though address and id stay.
    worker = Worker(cluster, _answer)
    cluster.store.put('keyed.op', 'config', configuration(1, 'plain'))
    process = cluster.start()
    process.wait_ready()
    assert process.ask()[0] == 200
    worker.write({**worker.entry, 'born': 2_000})
    until(lambda: 'i-1#2000' in _added(process))
    assert process.ask()[0] == 200
