"""Replays the admission of streams by many daemons to one rank group.

It uses the decisions of `linnetwind.admission` as they are, without threads and
sockets, and a group with a fixed limit. States are up to 300 ms old when used.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from linnetwind.admission.admission_policy import (
    AdmitStream,
    QueueStream,
    decide_admission,
)
from linnetwind.admission.group_capacity import GroupCapacity, GroupCount
from linnetwind.admission.peer_totals import PeerTotals
from linnetwind.admission.queue_order import (
    PermitRequest,
    QueuedStream,
    QueueOrder,
)
from linnetwind.admission.service_capacity import capacity_view
from linnetwind.admission.service_demand import (
    ServicePeers,
    permit_share,
    record_arrival,
    renew_allowance,
    stream_load,
)
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.admission.urgency import caller_patience
from standins.admission_scene import (
    IN_TIME,
    LATE,
    REJECTED,
    CallerClass,
    Outcomes,
    Scene,
)
from standins.gateway_fixtures import MS

_STEP = 10 * MS
_SEND = 150 * MS
_GROUP = 'group'


@dataclass
class _Call:
    at: timedelta
    kind: CallerClass
    customer: str
    work: float
    tries: int = 0


class _Queue(QueueOrder):
    length = property(lambda self: len(self.entries))

    def put_behind(self, above_share):
        self.above_share = above_share


@dataclass
class _Daemon:
    number: int
    service: ServiceCapacity = field(
        default_factory=lambda: ServiceCapacity(_Queue())
    )
    running: int = 0
    heard: dict[int, tuple] = field(default_factory=dict)
    totals: PeerTotals = field(default_factory=PeerTotals)
    viewed: tuple = (None, None)

    def receive(self, number, state, _now):
        self.heard[number] = state
        self.totals.merge(str(number), [state[1]])

    def view(self, scene: Scene, now: timedelta):
        if self.viewed[0] == now:
            return self.viewed[1]
        group = self.service.groups.setdefault(_GROUP, GroupCapacity())
        everywhere = self.running + sum(each for each, _ in self.heard.values())
        count = GroupCount(everywhere, self.running, 1)
        if now - group.allowance.at >= _SEND:
            loads = [load for _, load in self.heard.values()]
            share = permit_share(self.service, now, loads, _SEND)
            free = scene.limit - everywhere
            peers = ServicePeers('model', self.totals)
            renew_allowance(self.service, group, count, free, share, peers, now)
        self.viewed = (
            now,
            capacity_view(self.service, {_GROUP: count}, now, 0),
        )
        return self.viewed[1]


class Replay:
    """One replay; `running` is the number of streams after each step."""

    def __init__(self, scene: Scene, seed: int, *, equal: bool):
        """With `equal`, all streams get the same priority."""
        self._scene, self._equal = scene, equal
        self._random = random.Random(seed)
        self._arrivals = random.Random(seed)
        self._daemons = [_Daemon(each) for each in range(scene.daemons)]
        self._due = defaultdict(list)
        self._calls: list[_Call] = []
        self.outcomes = Outcomes()
        self.running: list[int] = []

    def run(self) -> 'Replay':
        """Replay all arrivals, and the time until the last has ended."""
        random.seed(1)
        for step in range((self._scene.seconds + 8) * 100):
            now = (step + 1) * _STEP
            if step < self._scene.seconds * 100:
                self._arrive(now)
            for action in self._due.pop(step, ()):
                action(now)
            for daemon in self._daemons:
                if (step + daemon.number) % 15 == 0:
                    self._send(daemon, now)
                self._poll(daemon, step, now)
            self.running.append(sum(each.running for each in self._daemons))
        return self

    def _later(self, now, delay, action):
        self._due[round((now + delay) / _STEP)].append(action)

    def _arrive(self, now):
        for kind in self._scene.classes:
            per_s = kind.per_s * kind.burst(now.total_seconds())
            next_at = self._arrivals.expovariate(per_s)
            while next_at < _STEP.total_seconds():
                next_at += self._arrivals.expovariate(per_s)
                weights = self._scene.weights
                (name,) = self._arrivals.choices(range(len(weights)), weights)
                work = self._arrivals.choice((0.5, 0.5, 1, 2))
                self._ask(_Call(now, kind, f'c{name}', work), now)

    def _ask(self, call, now):
        kind = call.kind
        daemon = self._random.choice(self._daemons)
        priority = 0 if self._equal else kind.priority
        facts = (call.tries > 0, priority, None, call.customer, call.work)
        request = PermitRequest(now, kind.target, kind.gap, *facts)
        call.tries += 1
        record_arrival(daemon.service, request, now)
        self._calls.append(call)
        entry = QueuedStream(len(self._calls), request, self._random.random())
        daemon.service.queue.add(entry, now)

    def _poll(self, daemon, step, now):
        queue, position = daemon.service.queue, 0
        while position < queue.length:
            entry = queue.entries[position]
            # Streams behind the first poll less often, as in `WaitQueue`.
            every = min(25, 5 * (1 + position) // 2) if position else 1
            decision = None
            if (step + entry.number) % every == 0:
                view = daemon.view(self._scene, now)
                decision = decide_admission(view, entry.pending(position, now))
            if decision is None or isinstance(decision, QueueStream):
                position += 1
                continue
            call = self._calls[entry.number - 1]
            daemon.viewed = (None, None)
            if isinstance(decision, AdmitStream):
                queue.record_served(entry, now)
                self._start(daemon, call, entry.request, now)
            elif call.tries == 1:
                self._later(now, decision.retry_after, partial(self._ask, call))
            else:
                self.outcomes.add(call.kind, call.customer, REJECTED)
            queue.remove(entry, now)

    def _start(self, daemon, call, request, now):
        start = self._random.uniform(120, 220) * MS
        daemon.running += 1
        daemon.service.starts.append(start)
        took = self._scene.duration * (0.5 + call.work / 2)
        self._later(now, start + took, partial(self._end, daemon))
        first, kind = now + start, call.kind
        patience = caller_patience(kind.target, kind.gap, None)
        outcome = IN_TIME if first - call.at <= kind.target else LATE
        left = first - request.arrived_at > patience
        self.outcomes.add(kind, call.customer, REJECTED if left else outcome)

    def _end(self, daemon, now):
        daemon.running -= 1
        daemon.service.groups[_GROUP].ends.append(now)

    def _send(self, daemon, now):
        state = (daemon.running, stream_load('model', daemon.service, now))
        for peer in self._daemons:
            if peer is daemon or self._random.random() < self._scene.lost:
                continue
            receive = partial(peer.receive, daemon.number, state)
            self._later(now, self._random.uniform(0, 150) * MS, receive)
