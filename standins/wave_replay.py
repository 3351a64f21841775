"""Replays a wave of streams against methods that limit a rank group.

`python -m standins.wave_replay` prints a row a method and load. Daemons decide
with states of each other that are up to 300 ms old, some of which are lost.
"""

import math
import random
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from statistics import median
from typing import Any

from linnetwind.admission.admission_policy import (
    AdmitStream,
    CapacityView,
    PendingStream,
    RejectStream,
    decide_admission,
    reserve_for_newcomers,
)
from linnetwind.admission.arrival_wave import ArrivalWave
from linnetwind.admission.group_capacity import (
    GroupCapacity,
    apply_summary,
    estimate_part,
    group_stream_limit,
    record_pause,
    update_correction,
)
from linnetwind.admission.pass_time_estimator import (
    PassTimeEstimator,
    stream_limit,
)
from linnetwind.admission.permit_shares import (
    Demand,
    compute_allowance,
    own_share,
)
from linnetwind.admission.retry_times import spread_over_trough
from linnetwind.peers.peer_table import GroupSummary, PassTimePerStream
from standins.gateway_fixtures import MS
from standins.wave_group import Stream, Wave, WaveGroup

TICK = 10
SEND_MS = 240
_SUMMARY_AGE_MS = 250
_MAX_STATE_AGE_MS = 300
_LOST = 0.05
LATE_WORTH = 0.4


class Forecast:
    """The forecast of passes, corrected by pauses."""

    def __init__(self, wave: Wave) -> None:
        self.wave, self.group = wave, GroupCapacity()

    def learn_skew(self, at: float) -> None:
        skew = self.wave.skew(at - _SUMMARY_AGE_MS)
        lives = tuple(map(str, range(self.wave.ranks)))
        summary = GroupSummary('model', 'g', 1, True, skew, 0, lives)
        apply_summary(self.group, summary, at * MS)

    def record(self, at: float, pause: float, running: int) -> None:
        record_pause(self.group, pause * MS, running, at * MS)

    def advertise(self, at: float) -> Any:
        part = estimate_part(self.group, at * MS, self.wave.engine)
        found = update_correction(self.group, at * MS, self.wave.engine)
        more = (found.reading_ms, found.factor) if found else ()
        return PassTimePerStream('g', *part, *more)

    def limit(self, at: float, others: Sequence[Any]) -> int:
        wave = self.wave
        gap = wave.gap_ms * MS
        return group_stream_limit(
            self.group, at * MS, wave.engine, gap, wave.ranks, others, 900
        )


class _PlainEstimator(PassTimeEstimator):
    def raise_skew(self, skew: float, since: timedelta) -> None:
        """Keep the skews as they were reported."""


class PauseQuantile(Forecast):
    """The pauses of the last 2.5 s alone."""

    def __init__(self, wave: Wave) -> None:
        super().__init__(wave)
        self.group.estimator = _PlainEstimator()

    def limit(self, at: float, others: Sequence[Any]) -> int:
        parts = [(each.part_ms, each.pauses) for each in others]
        parts.append(estimate_part(self.group, at * MS, self.wave.engine))
        wave, skew = self.wave, self.wave.skew(at - _SUMMARY_AGE_MS)
        gap = wave.gap_ms * MS
        return stream_limit(wave.engine, wave.ranks, gap, parts, skew)


class Aimd(Forecast):
    """Additive increase, multiplicative decrease by the 95th percentile."""

    def __init__(self, wave: Wave) -> None:
        super().__init__(wave)
        self.own, self.at, self.seen = float(wave.ranks), 0, deque(maxlen=60)

    def record(self, at: float, pause: float, running: int) -> None:
        self.seen.append((at, pause, running))

    def advertise(self, at: float) -> Any:
        recent = [each for each in self.seen if at - each[0] < 500]
        if at - self.at >= 150 and recent:
            self.at = at
            long = sorted(each[1] for each in recent)[int(len(recent) * 0.95)]
            if long > 0.88 * self.wave.gap_ms:
                self.own *= 0.9
            elif recent[-1][2] > 0.8 * self.own:
                self.own += 8
        return self.own

    def limit(self, at: float, others: Sequence[Any]) -> int:
        self.own = median([self.own, *others])
        slots = self.wave.ranks * self.wave.engine.slots
        return max(1, min(int(self.own), slots))


METHODS = {'pauses': PauseQuantile, 'forecast': Forecast, 'aimd': Aimd}


@dataclass(frozen=True)
class _Sent:
    running: int
    demand: Demand
    advertised: Any


@dataclass(eq=False)
class _Daemon:
    method: Any
    queue: list[Stream] = field(default_factory=list)
    running: int = 0
    arrivals: deque = field(default_factory=deque)
    newcomers: deque = field(default_factory=deque)
    ends: deque = field(default_factory=deque)
    starts: deque = field(default_factory=lambda: deque([200], maxlen=24))
    allowed: int = 0
    allowed_at: float = -math.inf
    sent: _Sent | None = None
    wave: ArrivalWave = ArrivalWave()


class Replay:
    """One replay of a wave with one method.

    `counts` holds the streams by phase and outcome, `overshoot` the most
    streams that ran after an admission beyond the limits of the last 300 ms.
    """

    def __init__(self, wave: Wave, method: str, seed: int = 1) -> None:
        """Start with an idle group."""
        self.wave, self.chance = wave, random.Random(seed)
        self.group = WaveGroup(wave, self.chance, self._show)
        self.daemons = [
            _Daemon(METHODS[method](wave)) for _each in range(wave.daemons)
        ]
        self.returns: list[Stream] = []
        self.counts: Counter = Counter()
        self.limits: deque = deque()
        self.overshoot = 0

    def run(self) -> 'Replay':
        """Run the whole wave."""
        for at in range(0, self.wave.length_ms, TICK):
            self._arrive(at)
            for number, daemon in enumerate(self.daemons):
                if at % SEND_MS // TICK == number % (SEND_MS // TICK):
                    daemon.method.learn_skew(at)
                    if self.chance.random() >= _LOST:
                        daemon.sent = self._state(daemon, at)
                if daemon.queue:
                    self._admit(daemon, at)
            self.group.run_until(at)
        return self

    @property
    def worth(self) -> float:
        """Return the mean worth of a stream's outcome."""
        of = {'in time': 1, 'late': LATE_WORTH}
        total = sum(
            of.get(outcome, 0) * count
            for (_phase, outcome), count in self.counts.items()
        )
        return total / self.counts.total()

    def _arrive(self, at: float) -> None:
        expected = self.wave.rate(at) * TICK / 1_000
        while (gap := self.chance.expovariate(1)) < expected:
            expected -= gap
            number = self.chance.randrange(self.wave.daemons)
            prompt = self.chance.lognormvariate(math.log(self.wave.prompt), 0.7)
            events = max(2, round(self.chance.gauss(self.wave.events, 5)))
            self.daemons[number].newcomers.append(at)
            self._enqueue(Stream(number, at, prompt, events), at)
        for stream in [each for each in self.returns if each.arrived <= at]:
            self.returns.remove(stream)
            self._enqueue(stream, at)

    def _enqueue(self, stream: Stream, at: float) -> None:
        daemon = self.daemons[stream.daemon]
        daemon.arrivals.append(at)
        daemon.queue.append(stream)
        daemon.queue.sort(key=lambda each: (each.returning, each.arrived))

    def _state(self, daemon: _Daemon, at: float) -> _Sent:
        demand = Demand(len(daemon.queue), _per_s(daemon.arrivals, at))
        return _Sent(daemon.running, demand, daemon.method.advertise(at))

    def _allow(self, daemon: _Daemon, at: float) -> None:
        sent = [each.sent for each in self.daemons if each is not daemon]
        others = [each for each in sent if each]
        own = self._state(daemon, at)
        limit = daemon.method.limit(at, [each.advertised for each in others])
        running = own.running + sum(each.running for each in others)
        demands = [each.demand for each in others]
        share = own_share(own.demand, demands, SEND_MS * MS)
        chance = self.chance.random()
        allowance = compute_allowance(
            at * MS, daemon.running, limit - running, share, chance
        )
        daemon.allowed, daemon.allowed_at = allowance.max_streams, at
        self.limits.append((at, limit))

    def _admit(self, daemon: _Daemon, at: float) -> None:
        if at - daemon.allowed_at >= SEND_MS:
            self._allow(daemon, at)
        starts = sorted(daemon.starts)
        reserved = reserve_for_newcomers(_per_s(daemon.newcomers, at))
        sent = [each.sent for each in self.daemons if each.sent]
        arrivals = sum(each.demand.arrivals_per_s for each in sent)
        daemon.wave = daemon.wave.add(at * MS, arrivals)
        falls_in = daemon.wave.falls_in(at * MS) if self.wave.retry else None
        view = CapacityView(
            0,
            _per_s(daemon.ends, at),
            starts[int(len(starts) * 0.9)] * MS,
            None,
            reserved,
            recovers_in=spread_over_trough(falls_in, self.chance.random()),
        )
        for stream in tuple(daemon.queue):
            free = max(0, daemon.allowed - daemon.running)
            pending = PendingStream(
                daemon.queue.index(stream),
                (at - stream.arrived) * MS,
                self.wave.target_ms * MS,
                stream.returning,
            )
            match decide_admission(replace(view, free=free), pending):
                case AdmitStream():
                    daemon.queue.remove(stream)
                    daemon.running += 1
                    self.group.start(stream, at)
                    self._note_overshoot(at)
                case RejectStream(retry_after):
                    daemon.queue.remove(stream)
                    self._reject(stream, at + retry_after / MS)

    def _note_overshoot(self, at: float) -> None:
        while at - self.limits[0][0] > _MAX_STATE_AGE_MS:
            self.limits.popleft()
        highest = max(limit for _at, limit in self.limits)
        excess = len(self.group.running) - highest
        self.overshoot = max(self.overshoot, excess)

    def _reject(self, stream: Stream, retry_at: float) -> None:
        if stream.returning:
            self._count(stream, 'rejected')
            return
        stream.returning, stream.arrived = True, retry_at
        self.returns.append(stream)

    def _show(self, stream: Stream, at: float, running: int) -> None:
        daemon, wave = self.daemons[stream.daemon], self.wave
        if stream.first:
            pause = at - stream.last
            stream.late = stream.late or pause > wave.gap_ms
            daemon.method.record(at, pause, running)
        else:
            stream.first = at
            stream.late = at - stream.arrived > wave.target_ms
            daemon.starts.append(at - stream.started)
        stream.last = at
        stream.left -= 1
        if not stream.left:
            self.group.running.remove(stream)
            daemon.running -= 1
            daemon.ends.append(at)
            self._count(stream, 'late' if stream.late else 'in time')

    def _count(self, stream: Stream, outcome: str) -> None:
        is_crest = self.wave.rate(stream.arrived) > self.wave.per_s
        self.counts['crest' if is_crest else 'trough', outcome] += 1


def _per_s(times: deque, at: float) -> int:
    while times and at - times[0] > 1_000:
        times.popleft()
    return len(times)


def main() -> None:
    """Print a row for each method and load."""
    for swing, per_s in ((0.55, 130), (0.55, 80), (0, 55), (0, 88), (0, 132)):
        for method in METHODS:
            replay = Replay(Wave(per_s=per_s, swing=swing), method).run()
            found = {
                ' '.join(key): count
                for key, count in sorted(replay.counts.items())
            }
            print(
                f'{method:9} {per_s:4}/s swing {swing:4}: '
                f'{replay.worth:.3f} overshoot {replay.overshoot} {found}',
                flush=True,
            )


if __name__ == '__main__':
    main()
