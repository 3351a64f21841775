"""A replay of daemons that send requests to cold upstreams."""

import heapq
import itertools
import random
from collections import defaultdict, deque
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.routes import RoutedService
from linnetwind.upstreams.cold_allowance import ColdBound, ColdTolerance
from linnetwind.upstreams.cold_quotas import ColdQuotas, ColdSettings
from linnetwind.upstreams.cold_upstreams import ColdUpstreams
from linnetwind.upstreams.fleet_tracker import FleetSettings, FleetTracker
from linnetwind.upstreams.upstream_limits import UpstreamLimits
from linnetwind.upstreams.upstream_list import UpstreamList, UpstreamRecord
from standins.gateway_fixtures import make_upstream

SECOND = timedelta(seconds=1)
TOLERANCE = ColdTolerance(1.5, 5)
# The deployments' daemons differ in their numbers of callers by this much (the
# standard deviation of the logarithm).
_SPREAD = 0.7
_MAX_STATE_AGE_S = 0.3
_LOST = 0.05
# Most connections take milliseconds, a few nearly as long as the timeout.
_CONNECT_S = 0.005
_SLOW_CONNECT_S = 0.24
_SLOW_CONNECTS = 0.02
_MIN_SEND_INTERVAL_S = 0.15
_RECEIVED_PER_S = 100
_RETRY_WAIT = 0.4 * SECOND


@dataclass(frozen=True)
class ColdReturn:
    """Upstreams that return cold at once, and the traffic that they meet.

    `demand_per_s` are the requests a second of all daemons together; they grow
    to `burst` times that when the upstreams return, at `returns_s`. Two halves
    of the daemons hear each other only before `split_s`. `restart_s` is when a
    tenth of the daemons starts anew, without knowing the others. With
    `old_states` each daemon hears one state, which lists all, and no other.
    """

    daemons: int
    per_s: float
    demand_per_s: float
    upstreams: int = 21
    burst: float = 3
    returns_s: float = 6
    cold_s: float = 8
    split_s: float = 1e9
    restart_s: float = 1e9
    old_states: bool = False
    seed: int = 1

    @property
    def bound(self) -> float:
        """Return the most requests to one upstream within any second."""
        return self.per_s * TOLERANCE.overage + TOLERANCE.slack


class _Daemon:
    def __init__(self, clock, address, interval_s):
        timeout = 3 * interval_s * SECOND
        self.fleet = FleetTracker(FleetSettings(address), clock)
        settings = ColdSettings(
            ColdBound(TOLERANCE, has_peers=True), lambda: timeout
        )
        self.cold = ColdUpstreams(ColdQuotas(settings, self.fleet), clock)
        self.limits = UpstreamLimits(clock, str(address), dict, self.cold)
        self.address = address
        self.known = set()


class ColdFleet:
    """Daemons, their callers and the states that they send to each other."""

    def __init__(self, scene: ColdReturn):
        """Start all daemons at once."""
        self._scene = scene
        self._rng = random.Random(scene.seed)
        self._clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self._clock.advance(SECOND)
        self._start = self._clock.elapsed()
        self._interval_s = max(
            _MIN_SEND_INTERVAL_S, scene.daemons / _RECEIVED_PER_S
        )
        self._service = RoutedService(
            'plain', '/', 9, None, scene.cold_s * SECOND, scene.per_s
        )
        self._list = UpstreamList(end=1)
        self._daemons = [self._make(each) for each in range(scene.daemons)]
        weights = [self._rng.lognormvariate(0, _SPREAD) for _ in self._daemons]
        total = sum(weights)
        self._rates = [scene.demand_per_s * each / total for each in weights]
        self._events = []
        self._numbers = itertools.count()
        self.arrivals = defaultdict(list)

    def play(self):
        """Return the times in seconds at which requests reach upstreams."""
        scene = self._scene
        for number in range(scene.daemons):
            self._start_states(number)
            self._after(
                scene.returns_s
                - 1
                + self._rng.expovariate(self._rates[number]),
                self._call,
                number,
            )
        self._after(scene.returns_s, self._return_cold)
        self._after(scene.restart_s, self._restart)
        end_s = scene.returns_s + scene.cold_s
        while self._events[0][0] < end_s:
            at_s, _number, action, arguments = heapq.heappop(self._events)
            self._clock.advance(
                self._start + at_s * SECOND - self._clock.elapsed()
            )
            action(*arguments)
        return self.arrivals

    def _start_states(self, number):
        if self._scene.old_states:
            peer = self._daemons[number - 1].address
            listed = frozenset(each.address for each in self._daemons)
            self._hear(number, peer, listed)
        else:
            delay_s = self._rng.random() * self._interval_s
            self._after(delay_s, self._tell, number)

    def _now_s(self):
        return (self._clock.elapsed() - self._start).total_seconds()

    def _after(self, delay_s, action, *arguments):
        event = (
            self._now_s() + delay_s,
            next(self._numbers),
            action,
            arguments,
        )
        heapq.heappush(self._events, event)

    def _make(self, number):
        address = Address(f'10.0.{number // 250}.{number % 250}', 7340)
        daemon = _Daemon(self._clock, address, self._interval_s)
        daemon.cold.apply_services({'plain': self._service})
        return daemon

    def _restart(self):
        for number in range(0, self._scene.daemons, 10):
            daemon = self._make(number)
            # It reads the list when it starts.
            daemon.cold.observe_list(UpstreamList(), self._list)
            self._daemons[number] = daemon

    def _return_cold(self):
        cold = self._scene.cold_s * SECOND
        records = [
            UpstreamRecord(f'u{number}', number, each)
            for number, each in enumerate(
                make_upstream(f'u{name}', 80 + name, cold=cold)
                for name in range(self._scene.upstreams)
            )
        ]
        before = self._list
        self._list = before.fold_records(records, len(records) + 1)
        for daemon in self._daemons:
            daemon.cold.observe_list(before, self._list)

    def _hear_each_other(self, one, other):
        same_half = one % 2 == other % 2
        return same_half or self._now_s() < self._scene.split_s

    def _tell(self, number):
        """Send the state of a daemon to all others."""
        address = self._daemons[number].address
        listed = frozenset(self._daemons[number].known)
        for other in range(self._scene.daemons):
            is_heard = self._hear_each_other(number, other)
            if other != number and is_heard and self._rng.random() >= _LOST:
                delay_s = self._rng.random() * _MAX_STATE_AGE_S
                self._after(delay_s, self._hear, other, address, listed)
        self._after(self._interval_s, self._tell, number)

    def _hear(self, number, peer, listed):
        daemon = self._daemons[number]
        daemon.known.update(listed, (peer,))
        daemon.known.discard(daemon.address)
        daemon.fleet.hear_peer(peer, listed, leaving=False)

    def _call(self, number):
        cold = self._now_s() >= self._scene.returns_s
        rate = self._rates[number] * (self._scene.burst if cold else 1)
        self._after(self._rng.expovariate(rate), self._call, number)
        self._send(number)

    def _send(self, number):
        """Send a request as `acquire_or_wait` does."""
        daemon = self._daemons[number]
        usable = self._list.usable('plain', self._clock.elapsed())
        within = daemon.limits.within_limit(usable)
        if within:
            chosen = self._rng.choice(within)
            daemon.limits.count_sent(chosen)
            self._arrive(chosen, 0)
            return
        reserved = daemon.limits.reserve(usable, _RETRY_WAIT)
        if reserved is not None:
            self._arrive(reserved.upstream, reserved.wait.total_seconds())

    def _arrive(self, upstream, wait_s):
        slow = self._rng.random() < _SLOW_CONNECTS
        connect_s = self._rng.random() * (
            _SLOW_CONNECT_S if slow else _CONNECT_S
        )
        at_s = self._now_s() + wait_s + connect_s
        self.arrivals[upstream.instance].append(at_s)


def most_in_a_second(times) -> int:
    """Return the most requests within any sliding second."""
    most = 0
    window = deque()
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - 1:
            window.popleft()
        most = max(most, len(window))
    return most
