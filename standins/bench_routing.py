"""Routing against simple baselines, with old reports and many deciders."""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.config import Routing
from linnetwind.routing import Candidate, NoCandidate, RouteRequest, choose

WORKERS, SLOTS = 16, 8
SERVICE_MS = 200.0
UTILISATION = 0.8
REQUESTS = 3000
BLOCKS, BLOCK_MS = 20, 4.0
PREFIXES = 200
CACHED_PREFIXES = 40
DEAD_AFTER_MS = 1000.0
MOST_TRIES = 3


@dataclass
class Worker:
    """A worker that serves up to `SLOTS` requests at once."""

    name: str
    slow: float = 1.0
    dead: bool = False
    running: int = 0
    queue: list[tuple[float, int]] = field(default_factory=list)
    cache: dict[int, None] = field(default_factory=dict)
    service_ms: float = SERVICE_MS
    served: int = 0


@dataclass
class View:
    """What one entry daemon knows of one worker."""

    running: int = 0
    waiting: int = 0
    service_ms: float = SERVICE_MS
    unreported: int = 0
    own: int = 0
    heard: float = 0
    prefixes: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class Setting:
    """One case of the table."""

    lag_ms: float = 1000
    entries: int = 4
    slow: bool = False
    dead: bool = False


Pick = Callable[[list[View], int, float, random.Random], int]


def ours(weights: Routing) -> Pick:
    """Return this project's decision."""

    def pick(
        views: list[View], prefix: int, now: float, rng: random.Random
    ) -> int:
        candidates = [
            Candidate(
                str(index),
                's',
                'r',
                SLOTS,
                view.running,
                view.waiting,
                view.unreported,
                view.own,
                view.service_ms,
                0,
                timedelta(milliseconds=now - view.heard if view.own else 0),
                BLOCKS if prefix in view.prefixes else 0,
            )
            for index, view in enumerate(views)
        ]
        request = RouteRequest('s', 'r', BLOCKS, BLOCK_MS)
        choice = choose(candidates, request, weights, rng)
        assert not isinstance(choice, NoCandidate)
        return int(choice.upstream)

    return pick


def least_reported(
    views: list[View], _prefix: int, _now: float, _rng: random.Random
) -> int:
    """The least load by the old reports."""
    return min(
        range(len(views)), key=lambda at: views[at].running + views[at].waiting
    )


def two_random(
    views: list[View], _prefix: int, _now: float, rng: random.Random
) -> int:
    """The better of two by the old reports."""
    pair = rng.sample(range(len(views)), 2)
    return min(pair, key=lambda at: views[at].running + views[at].waiting)


def round_robin() -> Pick:
    """Each in turn, from a random start."""
    turns: dict[int, Iterator[int]] = {}

    def pick(
        views: list[View], _prefix: int, _now: float, rng: random.Random
    ) -> int:
        turn = turns.setdefault(
            id(views), itertools.count(rng.randrange(len(views)))
        )
        return next(turn) % len(views)

    return pick


class Trace:
    """Arrivals, a fake for the workers, and the views of the deciders."""

    def __init__(self, setting: Setting, pick: Pick, seed: int) -> None:
        """Prepare the workers and the first events."""
        self.setting = setting
        self.pick = pick
        self.rng = random.Random(seed)
        self.workers = [Worker(str(number)) for number in range(WORKERS)]
        self.workers[0].slow = 3.0 if setting.slow else 1.0
        self.workers[1].dead = setting.dead
        self.views = [
            [View() for _worker in self.workers]
            for _entry in range(setting.entries)
        ]
        self.order = itertools.count()
        self.events: list[tuple[float, int, str, tuple[int, ...]]] = []
        self.first: list[float] = []
        self.arrived: dict[int, tuple[float, int, int]] = {}
        self.hits = 0
        self.tries: dict[int, int] = {}
        self.failed = 0

    def run(self) -> 'Trace':
        """Play the trace."""
        rate = UTILISATION * WORKERS * SLOTS / SERVICE_MS
        at = 0.0
        for number in range(REQUESTS):
            at += self.rng.expovariate(rate)
            self.put(at, 'arrive', number)
        for tick in range(int(at / self.setting.lag_ms) + 1):
            self.put(tick * self.setting.lag_ms, 'report')
        while self.events:
            now, _order, kind, facts = heapq.heappop(self.events)
            getattr(self, kind)(now, *facts)
        return self

    def put(self, at: float, kind: str, *facts: int) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at, next(self.order), kind, facts))

    def report(self, now: float) -> None:
        """All workers that live report to all entries."""
        for views in self.views:
            for view, worker in zip(views, self.workers, strict=True):
                if not worker.dead:
                    view.running = worker.running
                    view.waiting = len(worker.queue)
                    view.service_ms = worker.service_ms
                    view.unreported = 0
                    view.heard = now

    def arrive(self, now: float, number: int) -> None:
        """Route a request."""
        entry = self.rng.randrange(self.setting.entries)
        prefix = min(int(self.rng.paretovariate(0.6)), PREFIXES)
        self.arrived[number] = (now, entry, prefix)
        self.route(now, number)

    def route(self, now: float, number: int) -> None:
        """Choose a worker and send the request there."""
        _at, entry, prefix = self.arrived[number]
        chosen = self.pick(self.views[entry], prefix, now, self.rng)
        view = self.views[entry][chosen]
        view.unreported += 1
        view.own += 1
        view.prefixes.add(prefix)
        if len(view.prefixes) > CACHED_PREFIXES:
            view.prefixes.pop()
        worker = self.workers[chosen]
        if worker.dead:
            self.put(now + DEAD_AFTER_MS, 'fail', number, chosen)
        else:
            worker.queue.append((now, number))
            self.serve(now, chosen)

    def fail(self, now: float, number: int, chosen: int) -> None:
        """A request at the dead worker is lost and tried again."""
        _at, entry, _prefix = self.arrived[number]
        self.views[entry][chosen].own -= 1
        self.failed += 1
        self.tries[number] = self.tries.get(number, 0) + 1
        if self.tries[number] < MOST_TRIES:
            self.route(now, number)

    def serve(self, now: float, chosen: int) -> None:
        """Start what has a slot."""
        worker = self.workers[chosen]
        while worker.queue and worker.running < SLOTS:
            _queued, number = worker.queue.pop(0)
            at, _entry, prefix = self.arrived[number]
            hit = prefix in worker.cache
            self.hits += hit
            worker.cache.pop(prefix, None)
            worker.cache[prefix] = None
            if len(worker.cache) > CACHED_PREFIXES:
                worker.cache.pop(next(iter(worker.cache)))
            prefill = 0 if hit else BLOCKS * BLOCK_MS * worker.slow
            self.first.append(now - at + prefill)
            work = self.rng.expovariate(1 / (SERVICE_MS - BLOCKS * BLOCK_MS))
            took = prefill + work * worker.slow
            worker.running += 1
            worker.served += 1
            worker.service_ms += (took - worker.service_ms) * 0.1
            self.put(now + took, 'finish', number, chosen)

    def finish(self, now: float, number: int, chosen: int) -> None:
        """A request has ended."""
        _at, entry, _prefix = self.arrived[number]
        view = self.views[entry][chosen]
        view.unreported -= 1
        view.own -= 1
        view.heard = now
        self.workers[chosen].running -= 1
        self.serve(now, chosen)


def row(setting: Setting, pick: Pick, seed: int) -> str:
    """Return the figures of one run as table cells."""
    trace = Trace(setting, pick, seed).run()
    first = sorted(trace.first)
    p95 = first[int(len(first) * 0.95)]
    served = [worker.served for worker in trace.workers if not worker.dead]
    spread = statistics.pstdev(served) / statistics.mean(served)
    hits = trace.hits / len(first)
    return f'{statistics.mean(first):.0f} | {p95:.0f} | {hits:.0%} | {spread:.2f} | {trace.failed}'


SETTINGS = {
    'reports 0.1 s old, 4 entries': Setting(100),
    'reports 1 s old, 4 entries': Setting(1000),
    'reports 5 s old, 4 entries': Setting(5000),
    'reports 1 s old, 1 entry': Setting(1000, 1),
    'reports 1 s old, 40 entries': Setting(1000, 40),
    'one worker three times slower': Setting(1000, 4, slow=True),
    'one worker dead and not yet known': Setting(1000, 4, dead=True),
}


def tables(seed: int) -> Iterator[str]:
    """Yield the lines of the report."""
    yield '## Routing'
    yield ''
    yield f'{WORKERS} workers of {SLOTS} slots at {UTILISATION:.0%} of their capacity, {REQUESTS} requests, seed {seed}.'
    yield 'First token: from arrival, in ms. Spread: deviation of requests per worker.'
    yield 'Failed: requests that went to the dead worker and were tried again.'
    for name, setting in SETTINGS.items():
        yield ''
        yield f'{name}:'
        yield ''
        yield '| policy | mean first token | p95 first token | cache hits | spread | failed |'
        yield '| --- | --- | --- | --- | --- | --- |'
        policies: dict[str, Pick] = {
            'round robin': round_robin(),
            'least by reports': least_reported,
            'random of two': two_random,
            'linnetwind, sample of 2': ours(Routing()),
            'linnetwind, sample of 4': ours(Routing(sample_size=4)),
            'linnetwind, no cache weight': ours(Routing(cache_weight=0)),
        }
        for policy, pick in policies.items():
            yield f'| {policy} | {row(setting, pick, seed)} |'
