"""A rank group under a wave of streams, for replays of its limit.

Its passes follow the configured costs: the rank with the most work, the prompts
that are read, copies of experts, and a skew that rises whenever the experts in
demand change.
"""

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from linnetwind.routes import EngineProfile
from standins.gateway_fixtures import make_engine

_SHIFT_MS = 2_700
_NEW_MAP_MS = 500
_COPYING = 1.15
_RELAY_MS = 3
_SLOTS_EXPONENT = 3


def _engine() -> EngineProfile:
    return make_engine(
        slots=5, steps_per_pass=5, context_ms=0.0864, expert_share=0.6
    )


@dataclass(frozen=True)
class Wave:
    """A load that swings around its mean `per_s`, and the group it meets.

    `retry` says whether rejected callers get retry times in the trough.
    """

    per_s: float = 130
    swing: float = 0.55
    period_ms: float = 13_000
    length_ms: int = 26_000
    daemons: int = 24
    ranks: int = 72
    events: int = 19
    gap_ms: float = 150
    target_ms: float = 500
    prompt: float = 900
    retry: bool = True
    engine: EngineProfile = field(default_factory=_engine)

    def rate(self, at: float) -> float:
        """Return the arrivals per second of all daemons at a time in ms."""
        turn = 2 * math.pi * at / self.period_ms
        return self.per_s * (1 - self.swing * math.cos(turn))

    def skew(self, at: float) -> float:
        """Return the skew, which a new map reduces after each change."""
        return 1.4 if at < 0 or at % _SHIFT_MS >= _NEW_MAP_MS else 2.6


@dataclass(eq=False)
class Stream:
    """A stream; times are in milliseconds, `left` counts its events."""

    daemon: int
    arrived: float
    prompt: float
    left: int
    returning: bool = False
    rank: int = 0
    started: float = 0
    first: float = 0
    last: float = 0
    late: bool = False


class WaveGroup:
    """The running streams of the group and its passes."""

    def __init__(
        self,
        wave: Wave,
        chance: random.Random,
        show: Callable[[Stream, float, int], None],
    ) -> None:
        """Start idle; `show` receives each event with the running streams."""
        self.wave, self.chance, self.show = wave, chance, show
        self.running: list[Stream] = []
        self.pass_ends = float(0)

    def start(self, stream: Stream, at: float) -> None:
        """Start a stream at a random rank, preferring free slots."""
        taken = Counter(each.rank for each in self.running)
        ranks = range(self.wave.ranks)
        free = [max(0, self.wave.engine.slots - taken[rank]) for rank in ranks]
        weights = [each**_SLOTS_EXPONENT for each in free]
        stream.started = at
        stream.rank = (
            self.chance.choices(ranks, weights)[0]
            if any(weights)
            else min(ranks, key=taken.__getitem__)
        )
        self.running.append(stream)

    def run_until(self, at: float) -> None:
        """Run the passes that start before a time."""
        while self.pass_ends <= at:
            self._run_pass()

    def _run_pass(self) -> None:
        engine = self.wave.engine
        most = engine.chunk * engine.steps_per_pass
        reading, generating = Counter(), Counter()
        for stream in self.running:
            reading[stream.rank] += max(0, stream.prompt)
            generating[stream.rank] += stream.prompt <= 0
        self.pass_ends += self._pass_ms(reading, generating)
        left = Counter(dict.fromkeys(reading, most))
        total = len(self.running)
        for stream in tuple(self.running):
            read = min(max(0, stream.prompt), left[stream.rank])
            left[stream.rank] -= read
            stream.prompt -= read
            if stream.prompt <= 0:
                delay = self.chance.expovariate(1 / _RELAY_MS)
                self.show(stream, self.pass_ends + delay, total)

    def _pass_ms(self, reading: Counter, generating: Counter) -> float:
        engine = self.wave.engine
        most = engine.chunk * engine.steps_per_pass
        per_stream = engine.steps_per_pass * (
            engine.sequence_ms + engine.context_ms
        )
        local = per_stream * (1 - engine.expert_share)
        slowest = max(
            (
                local * generating[rank]
                + min(most, reading[rank]) / engine.tokens_per_ms
                for rank in reading
            ),
            default=0,
        )
        skew = self.wave.skew(self.pass_ends)
        mean = sum(generating.values()) / self.wave.ranks
        length = engine.steps_per_pass * engine.step_ms + slowest
        length += per_stream * engine.expert_share * mean * skew
        copying = _COPYING if skew > self.wave.skew(-1) else 1
        return length * copying * self.chance.uniform(0.98, 1.04)
