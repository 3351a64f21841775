"""Replays requests to a plain service of which one upstream refuses most.

The requests arrive at random daemons and are sent on in simulated time, with
the daemons' own code for the choice and the records.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.answer_records import AttemptOutcome, record_outcome
from linnetwind.call_types import ResponseFacts
from linnetwind.clock import ManualClock
from linnetwind.gateway_state import GatewayState
from linnetwind.routes import RoutedService
from linnetwind.upstreams.upstream_list import UpstreamRecord
from standins.gateway_fixtures import MS, SECOND, make_upstream

PLAIN = RoutedService('plain', '/health', 248, None)
REFUSAL = ResponseFacts(
    signed=True,
    call_id=None,
    not_executed=True,
    misdirected=False,
    instance=None,
)
_MAX_ATTEMPTS = 2
_REFUSAL_TIME = 3 * MS
_RUN_TIME = 100 * MS
# States of peers: after a change, and full ones; their ages and their losses.
_SEND_INTERVAL = 300 * MS
_FULL_EVERY = 4
_MAX_AGE_S = 0.3
_LOST = 0.05


@dataclass(frozen=True)
class RefusalScene:
    """The daemons, the load and the shares of requests that are refused."""

    daemons: int
    refused: tuple[float, ...]
    requests: int = 544
    per_s: float = 16.2
    hears_peers: bool = False
    seed: int = 1


@dataclass
class RefusalCounts:
    """The refusals by upstream and by second, and the requests in vain."""

    refusals: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)
    by_second: Counter = field(default_factory=Counter)
    in_vain: int = 0


@dataclass
class _Sent:
    daemon: GatewayState
    upstream: object
    sent_at: timedelta
    refused: bool
    tried: frozenset


class RefusalReplay:
    """One run of a scene."""

    def __init__(self, scene: RefusalScene) -> None:
        """Start the daemons with the list of upstreams."""
        self.scene = scene
        self.counts = RefusalCounts()
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.random = random.Random(scene.seed)
        self.upstreams = [
            make_upstream(str(number), number + 1)
            for number in range(len(scene.refused))
        ]
        self.daemons = [
            self.make_daemon(number) for number in range(scene.daemons)
        ]
        self.newest = None
        self.refused = scene.refused
        # A daemon that the first upstream always refuses.
        self.refused_daemon = None
        self._events = []
        self._order = itertools.count()

    def make_daemon(self, number) -> GatewayState:
        """Return a daemon that knows the upstreams."""
        terms = RetryBudgetTerms(10 * SECOND, 0.2, 88)
        own = Address('127.0.0.1', number + 1)
        state = GatewayState(self.clock, own, terms)
        records = [
            UpstreamRecord(each.instance, 0, each) for each in self.upstreams
        ]
        state.change_upstreams(lambda known: known.fold_records(records, 1))
        return state

    def run(self) -> RefusalCounts:
        """Return the counts after all requests."""
        random.seed(self.scene.seed)
        at = 0
        for _request in range(self.scene.requests):
            at += self.random.expovariate(self.scene.per_s)
            self.schedule(timedelta(seconds=at), self._arrive)
        if self.scene.hears_peers:
            for number, _daemon in enumerate(self.daemons):
                self.schedule(timedelta(), self._advertise, number, 0)
        end = timedelta(seconds=at) + SECOND
        while self._events and self._events[0][0] < end:
            at, _order, act, details = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.elapsed())
            act(*details)
        return self.counts

    def schedule(self, at, act, *details) -> None:
        """Call a function at a time."""
        heapq.heappush(self._events, (at, next(self._order), act, details))

    def change_shares(self, refused) -> None:
        """Let the upstreams refuse other shares of requests from now on."""
        self.refused = refused

    def _advertise(self, number, count) -> None:
        ejections = self.daemons[number].request_history.ejections
        if ejections.take_news() or count % _FULL_EVERY == 0:
            avoided = ejections.to_advertise()
            for other in self.daemons:
                if other is not self.daemons[number]:
                    self._deliver(str(number), avoided, other)
        at = self.clock.elapsed() + _SEND_INTERVAL
        self.schedule(at, self._advertise, number, count + 1)

    def _deliver(self, source, avoided, daemon) -> None:
        if self.random.random() >= _LOST:
            age = timedelta(seconds=self.random.uniform(0, _MAX_AGE_S))
            merge = daemon.request_history.ejections.merge_advertised
            self.schedule(self.clock.elapsed() + age, merge, source, avoided)

    def _arrive(self) -> None:
        self._send(self.random.choice(self.daemons), frozenset())

    def _send(self, daemon, tried) -> None:
        now = self.clock.elapsed()
        upstream = daemon.acquire_upstream(PLAIN, tried)
        self.newest = upstream
        index = int(upstream.instance)
        refused = self.random.random() < self.refused[index]
        refused = refused or (index == 0 and daemon is self.refused_daemon)
        self.counts.sent[index] += 1
        took = _REFUSAL_TIME if refused else _RUN_TIME
        sent = _Sent(daemon, upstream, now, refused, tried)
        self.schedule(now + took, self._answer, sent)

    def _answer(self, sent) -> None:
        sent.daemon.release_upstream(sent.upstream)
        refusal = REFUSAL if sent.refused else None
        outcome = AttemptOutcome(sent.sent_at, failed=False, refusal=refusal)
        record_outcome(sent.daemon, self.clock, PLAIN, sent.upstream, outcome)
        if not sent.refused:
            return
        index = int(sent.upstream.instance)
        self.counts.refusals[index] += 1
        self.counts.by_second[int(self.clock.elapsed() / SECOND)] += 1
        tried = sent.tried | {sent.upstream.instance}
        if len(tried) < _MAX_ATTEMPTS:
            self._send(sent.daemon, tried)
        else:
            self.counts.in_vain += 1
