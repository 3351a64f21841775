"""Tests that all daemons together keep to the limit of an upstream."""

import heapq
import random
from collections import deque
from datetime import timedelta

import pytest

from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.limit_share import (
    NO_RATE_SHARE,
    SendSchedule,
    rate_share_of,
)

LIFE = UpstreamIncarnation('i-1#5')
SECOND = timedelta(seconds=1)
WINDOW_S = 4
# An upstream tolerates this multiple of its limit in the window, plus EXTRA.
FACTOR = 1.5
EXTRA = 5
# The fraction of the limit that the daemons together have to use if they have
# enough requests.
MIN_USE = 0.8
DURATION_S = 20
RANKS = 16
# The fraction of requests before which a daemon learns the new demands of the
# others.
UPDATE_RATE = 0.02
# Numbers of daemons and limits. High rates take long to simulate.
SIZES = [
    (count, per_s)
    for count in (1, 2, 5, 13, 35, 100, 400)
    for per_s in (0, 0.3, 2, 20, 100)
    if count * per_s <= 2_000
]
# The spread of the daemons' demands: some have many more callers than others.
SPREAD = 1.0


class _Fleet:
    """Daemons with random callers, and what each knows of the others."""

    def __init__(self, count, per_s, demand_per_s, lost, seed):
        self.rng = random.Random(seed)
        self.per_s = per_s
        weights = [
            self.rng.lognormvariate(0, SPREAD) for _daemon in range(count)
        ]
        total = sum(weights)
        self.rates = {
            f'10.0.{number // 250}.{number % 250}:7340': (
                demand_per_s * weight / total
            )
            for number, weight in enumerate(weights)
        }
        self.schedules = dict.fromkeys(self.rates, SendSchedule())
        # The fraction of the other daemons of which a daemon knows nothing at
        # any time, because their states were lost.
        self.lost = lost
        self.shares = {name: self._share(name) for name in self.rates}

    def _share(self, own):
        view = {
            name: rate
            for name, rate in self.rates.items()
            if name == own or self.rng.random() >= self.lost
        }
        return rate_share_of(LIFE, self.per_s, own, view)

    def send_times(self, duration_s=DURATION_S, update_rate=UPDATE_RATE):
        """Return the times in seconds at which requests are sent."""
        events = [
            (self.rng.expovariate(rate), name)
            for name, rate in self.rates.items()
        ]
        heapq.heapify(events)
        sent = []
        while events[0][0] < duration_s:
            at, name = heapq.heappop(events)
            if self.rng.random() < update_rate:
                self.shares[name] = self._share(name)
            if self._may_send(name, at * SECOND):
                sent.append(at)
            next_at = at + self.rng.expovariate(self.rates[name])
            heapq.heappush(events, (next_at, name))
        return sent

    def _may_send(self, name, now):
        share = self.shares[name]
        schedule = self.schedules[name]
        if schedule.wait(share, now) != timedelta():
            return False
        self.schedules[name] = schedule.send(share, now)
        return True


def _max_in_window(sent):
    most = 0
    window = deque()
    for at in sent:
        window.append(at)
        while window[0] < at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


def _lost(count):
    # A daemon whose states are lost is missing for three intervals at most,
    # after which it counts as gone. With hundreds of daemons some always are.
    return 0.05 if count > 2 else 0


@pytest.mark.parametrize(('count', 'per_s'), SIZES)
def test_all_daemons_together_keep_to_the_limit(count, per_s):
    # Each daemon has far fewer requests than the limit; together they have
    # five times the limit. Without shares the upstream would get all of them.
    fleet = _Fleet(count, per_s, 5 * max(per_s, 1), _lost(count), seed=count)
    highest = _max_in_window(fleet.send_times())
    assert highest <= FACTOR * per_s * WINDOW_S + EXTRA


@pytest.mark.parametrize(
    ('count', 'per_s'), [size for size in SIZES if size[1]]
)
def test_the_limit_is_used_if_demand_is_high(count, per_s):
    # One rank of a group states a limit, and streams above it go to the other
    # ranks. Demand is therefore that of all ranks, far above the limit of one.
    demand = 5 * per_s * RANKS
    fleet = _Fleet(count, per_s, demand, _lost(count), seed=count)
    used = len(fleet.send_times()) / DURATION_S
    assert used >= MIN_USE * per_s


@pytest.mark.parametrize(
    ('count', 'per_s'), [size for size in SIZES if size[1]]
)
def test_the_limit_is_used_if_demand_is_spread_thinly(count, per_s):
    # Demand is five times the limit of the one upstream. Spread over many
    # daemons, that is less than one request a second for each of them.
    fleet = _Fleet(count, per_s, 5 * per_s, _lost(count), seed=count)
    used = len(fleet.send_times()) / DURATION_S
    assert used >= MIN_USE * per_s


@pytest.mark.parametrize('count', [2, 35, 400])
def test_idle_daemons_accumulate_no_burst(count):
    # No daemon has sent for long; then each gets ten requests within a second.
    # The bursts of all daemons add up.
    fleet = _Fleet(count, 2, 10 * count, 0, seed=1)
    assert _max_in_window(fleet.send_times()) <= FACTOR * 2 * WINDOW_S + EXTRA


@pytest.mark.parametrize(
    ('count', 'per_s'), [size for size in SIZES if 0 < size[1] <= 2]
)
def test_a_rise_of_demand_that_peers_do_not_know_yet(count, per_s):
    # Many daemons may send because each has few requests. Then all of them get
    # ten times as many, half a second before the others learn of it.
    fleet = _Fleet(count, per_s, 5 * per_s, _lost(count), seed=count)
    fleet.rates = {name: 10 * rate for name, rate in fleet.rates.items()}
    sent = fleet.send_times(duration_s=0.5, update_rate=0)
    assert len(sent) <= FACTOR * per_s * WINDOW_S + EXTRA


def test_only_some_daemons_send_if_the_limit_is_small():
    demands = {f'{number}': 1.0 for number in range(100)}
    shares = [rate_share_of(LIFE, 0.3, name, demands) for name in demands]
    senders = [share for share in shares if share != NO_RATE_SHARE]
    assert len(senders) == 3
    assert sum(share.per_s for share in senders) == pytest.approx(0.3)
    assert SendSchedule().wait(NO_RATE_SHARE, SECOND) is None


def test_the_senders_are_the_daemons_with_requests():
    demands = {f'{number}': 0.0 for number in range(100)} | {'busy': 3.0}
    assert rate_share_of(LIFE, 0.3, 'busy', demands).per_s > 0.25


def test_waiting_requests_are_spaced_at_the_steady_rate():
    share = rate_share_of(LIFE, 2, 'a', {'a': 1.0})
    schedule = SendSchedule()
    waits = []
    for _request in range(8):
        waits.append(schedule.wait(share, SECOND))
        schedule = schedule.send(share, SECOND)
    nonzero = [wait for wait in waits if wait]
    assert nonzero == [SECOND / 2, SECOND, 1.5 * SECOND]


def test_a_share_that_grows_applies_at_once():
    # At the small share, the next request would have to wait many seconds.
    small = rate_share_of(LIFE, 0, 'a', {'a': 1.0, 'b': 50.0})
    schedule = SendSchedule().send(small, SECOND)
    grown = rate_share_of(LIFE, 10, 'a', {'a': 1.0})
    assert schedule.wait(grown, 2 * SECOND) <= SECOND
