"""Replays gateways that retry requests whose first attempts fail.

Gateways start, are killed, leave, and lose their peers; callers move from one
to another. The arrivals at the service are checked against the shared budget.
"""

import random
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import ManualClock
from linnetwind.gateway_state import GatewayState
from standins.gateway_fixtures import make_peer
from standins.retry_arrivals import most_excess

SERVICE = 'model'
SECOND = timedelta(seconds=1)
_TICK = timedelta(milliseconds=50)
# How often each gateway sends a state to its peers.
_TICKS_PER_STATE = 6
# The longest time from the decision on a retry to its arrival.
_MAX_DELAY_S = 0.4
_RESTART = timedelta(milliseconds=500)
_LEAVING_TIME = timedelta(seconds=2)
_SEEDS = 3
# New processes have their whole budget by then.
TRAFFIC_START = 16 * SECOND


@dataclass(frozen=True, slots=True)
class Kill:
    """Gateways are killed and start again, without what they knew."""

    at: timedelta
    gateways: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """Gateways say that they leave, and stop for good two seconds later."""

    at: timedelta
    gateways: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Cut:
    """Some gateways and the others do not hear each other for a time."""

    at: timedelta
    until: timedelta
    gateways: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Move:
    """All callers move to these gateways."""

    at: timedelta
    gateways: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RetryScene:
    """The gateways, their load in requests a second, and the disruptions.

    The first requests come at `TRAFFIC_START`. `failing` are the times from and
    until which first attempts fail; if there are none, all fail.
    """

    gateways: int
    per_s: float
    length: timedelta
    seed: int
    disruptions: tuple[Kill | Leave | Cut | Move, ...] = ()
    failing: tuple[tuple[timedelta, timedelta], ...] = ()
    terms: RetryBudgetTerms = RetryBudgetTerms(10 * SECOND, 0.2, 118)


@dataclass
class RetryReplay:
    """The requests that callers sent and the retries that arrived."""

    scene: RetryScene
    requests: list[timedelta] = field(default_factory=list)
    retries: list[timedelta] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start all gateways."""
        self._random = random.Random(self.scene.seed)
        self._clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        numbers = range(self.scene.gateways)
        self._up_from = dict.fromkeys(numbers, timedelta())
        self._leaving: dict[int, timedelta] = {}
        self._starts = dict.fromkeys(numbers, 0)
        self._states = {number: self._start(number) for number in numbers}
        self._callers = tuple(numbers)
        self._due = sorted(self.scene.disruptions, key=lambda each: each.at)

    def run(self) -> None:
        """Run until the end of the scene."""
        ticks = 0
        while self._clock.elapsed() < self.scene.length:
            self._apply_due()
            if ticks % _TICKS_PER_STATE == 0:
                self._exchange(ticks)
            if self._clock.elapsed() >= TRAFFIC_START:
                self._send_requests()
            self._clock.advance(_TICK)
            ticks += 1
        self.retries.sort()

    def excess(self) -> float:
        """Return by how many retries the worst window exceeds the budget."""
        sent = [each.total_seconds() for each in self.requests]
        retries = [each.total_seconds() for each in self.retries]
        return most_excess(sent, retries, self.scene.terms)

    def _start(self, number: int) -> GatewayState:
        self._starts[number] += 1
        seeds = range(min(_SEEDS, self.scene.gateways))
        return GatewayState(
            self._clock,
            _address(number),
            self.scene.terms,
            seeds=[_address(seed) for seed in seeds],
        )

    def _apply_due(self) -> None:
        now = self._clock.elapsed()
        while self._due and self._due[0].at <= now:
            match self._due.pop(0):
                case Kill(_, gateways):
                    for number in gateways:
                        self._states[number] = self._start(number)
                        self._up_from[number] = now + _RESTART
                case Leave(_, gateways):
                    self._leaving.update(
                        dict.fromkeys(gateways, now + _LEAVING_TIME)
                    )
                case Move(_, gateways):
                    self._callers = gateways

    def _is_up(self, number: int) -> bool:
        now = self._clock.elapsed()
        ends = self._leaving.get(number)
        return self._up_from[number] <= now and (ends is None or now < ends)

    def _exchange(self, counter: int) -> None:
        for sender in filter(self._is_up, self._states):
            state = make_peer(
                f'gateway-{sender}',
                start_id=f'{self._starts[sender]}',
                counter=counter + 1,
                address=_address(sender),
                leaving=sender in self._leaving,
                members=tuple(self._states[sender].peer_table.known_addresses),
                unheard=self._states[sender].request_history.fleet.unheard(),
            )
            for receiver in filter(self._is_up, self._states):
                if receiver != sender and self._hears(sender, receiver):
                    self._states[receiver].merge_advertised(state)

    def _hears(self, sender: int, receiver: int) -> bool:
        now = self._clock.elapsed()
        return not any(
            isinstance(each, Cut)
            and each.at <= now < each.until
            and (sender in each.gateways) != (receiver in each.gateways)
            for each in self.scene.disruptions
        )

    def _fails(self, now: timedelta) -> bool:
        failing = self.scene.failing
        return not failing or any(start <= now < end for start, end in failing)

    def _send_requests(self) -> None:
        now = self._clock.elapsed()
        takers = [
            each
            for each in self._callers
            if self._is_up(each) and each not in self._leaving
        ]
        takers = takers or [each for each in self._states if self._is_up(each)]
        mean = self.scene.per_s * _TICK.total_seconds()
        sent = int(mean) + (self._random.random() < mean % 1)
        for _request in range(sent if takers else 0):
            self.requests.append(now)
            budgets = self._states[
                self._random.choice(takers)
            ].request_history.retry_budgets
            budgets.count_request(SERVICE)
            if self._fails(now) and budgets.spend(SERVICE):
                delay = self._random.uniform(0, _MAX_DELAY_S)
                self.retries.append(now + timedelta(seconds=delay))


def replay_retries(scene: RetryScene) -> RetryReplay:
    """Run a scene.

    Args:
      scene: The scene.

    Returns:
      The replay, at its end.
    """
    replay = RetryReplay(scene)
    replay.run()
    return replay


def _address(number: int) -> Address:
    return Address(f'10.0.0.{number + 1}', 7)
