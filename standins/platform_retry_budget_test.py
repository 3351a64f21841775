"""Tests of the retry budget of several gateway processes."""

import random
import threading
import time
from contextlib import suppress
from http.client import HTTPException
from itertools import count

from standins.platform_cluster import (
    RETRY_TERMS,
    PlatformCluster,
    configuration,
    entry_of,
    until,
)
from standins.retry_arrivals import most_excess
from standins.scripted_upstream import ScriptedUpstream

HOSTS = tuple(f'127.0.0.{number}' for number in range(1, 7))
SEEDS = HOSTS[:3]
UPSTREAMS = 6
PER_S = 60
LENGTH_S = 20
KILLS_AT_S = (9, 12, 15)


class _Load:
    """Callers, and upstreams that refuse four requests in five."""

    def __init__(self):
        self.sent_at = []
        self.retries_at = []
        self._seen = set()
        self._numbers = count()
        self._random = random.Random(1)
        self.upstreams = [
            ScriptedUpstream(self._respond) for _number in range(UPSTREAMS)
        ]

    def _respond(self, connection, request):
        attempt = request.headers['attempt-id']
        if attempt in self._seen:
            self.retries_at.append(time.monotonic())
        self._seen.add(attempt)
        if self._random.random() < 0.8:
            connection.answer(request, 'no', 503, Not_Executed='1')
        else:
            connection.answer(request)

    def send(self, gateway):
        """Send one request, without waiting for its answer."""
        threading.Thread(target=self._ask, args=(gateway,), daemon=True).start()

    def _ask(self, gateway):
        self.sent_at.append(time.monotonic())
        with suppress(HTTPException, OSError):
            gateway.ask(**{'Attempt-Id': f'a{next(self._numbers)}'})

    def excess(self):
        """Return by how many retries the worst window exceeds the budget."""
        return most_excess(
            sorted(self.sent_at), sorted(self.retries_at), RETRY_TERMS
        )


def _start_all(cluster):
    return [cluster.start(ip, seeds=SEEDS) for ip in HOSTS]


def test_gateways_killed_together_stay_within_the_retry_budget(tmp_path):
    """Guards against processes that spend what their predecessors spent."""
    cluster = PlatformCluster(tmp_path)
    load = _Load()
    for number, upstream in enumerate(load.upstreams):
        cluster.store.put('keyed.servers', f'i-{number}', entry_of(upstream))
    cluster.store.put('keyed.op', 'config', configuration(1, 'plain'))
    gateways = _start_all(cluster)
    until(lambda: all(each.is_ready() for each in gateways))
    kills_due = list(KILLS_AT_S)
    start = time.monotonic()
    for number in range(LENGTH_S * PER_S):
        if kills_due and time.monotonic() - start >= kills_due[0]:
            kills_due.pop(0)
            for each in gateways:
                each.kill()
            gateways = _start_all(cluster)
        load.send(gateways[number % len(gateways)])
        time.sleep(max(0, start + number / PER_S - time.monotonic()))
    cluster.close()
    assert len(load.retries_at) > 20
    assert load.excess() <= 0
