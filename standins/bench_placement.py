"""Placement against simple baselines on traces of drifting popularity."""

import math
import random
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from linnetwind.expert_load import LoadEstimate, update_load_estimate
from linnetwind.placement import (
    even_map,
    moves_between,
    plan_moves,
    skew,
)
from linnetwind.placement_pack import greedy_map
from linnetwind.placement_types import ExpertMap, GroupLoad, PlacementPrices

RANKS, SLOTS, LAYERS, EXPERTS = 16, 6, 8, 64
INTERVALS = 90
HORIZON = 120.0
SECONDS_PER_MOVE = 0.02
MAX_MOVES = 128
QUERETARO = (4.0, 1.0)
QURUM = (1.0, 4.0)

Tokens = list[list[float]]


def profile(rng: random.Random) -> Tokens:
    """Return the experts that one kind of work pulls on."""
    return [
        [rng.paretovariate(1.6) for _expert in range(EXPERTS)]
        for _layer in range(LAYERS)
    ]


def mixed(
    profiles: list[Tokens], shares: list[float], rng: random.Random
) -> Tokens:
    """Return the counts of one interval for a mix of kinds of work."""
    return [
        [
            sum(s * p[layer][e] for s, p in zip(shares, profiles, strict=True))
            * rng.uniform(0.9, 1.1)
            for e in range(EXPERTS)
        ]
        for layer in range(LAYERS)
    ]


def drift(rng: random.Random) -> Iterator[tuple[Tokens, list[float]]]:
    """The mix of three kinds of work moves slowly round the day."""
    kinds = [profile(rng) for _kind in range(3)]
    for at in range(INTERVALS):
        angle = 2 * math.pi * at / INTERVALS
        shares = [1 + math.cos(angle + 2.1 * kind) for kind in range(3)]
        yield mixed(kinds, shares, rng), [1.0] * RANKS


def deadline(rng: random.Random) -> Iterator[tuple[Tokens, list[float]]]:
    """The mix changes sharply at deadlines, and back."""
    kinds = [profile(rng) for _kind in range(2)]
    for at in range(INTERVALS):
        surge = at % 60 >= 40
        yield (
            mixed(kinds, [0.1, 3.0] if surge else [1.0, 0.1], rng),
            [1.0] * RANKS,
        )


def slow_rank(rng: random.Random) -> Iterator[tuple[Tokens, list[float]]]:
    """One rank runs at two thirds of its speed for a third of the time."""
    kinds = [profile(rng)]
    for at in range(INTERVALS):
        slowness = [1.0] * RANKS
        if INTERVALS // 3 <= at < 2 * INTERVALS // 3:
            slowness[3] = 1.5
        yield mixed(kinds, [1.0], rng), slowness


def noisy(rng: random.Random) -> Iterator[tuple[Tokens, list[float]]]:
    """Popularity is even but for noise; whatever moves is wasted."""
    for _at in range(INTERVALS):
        yield (
            [
                [rng.uniform(0.5, 1.5) for _expert in range(EXPERTS)]
                for _layer in range(LAYERS)
            ],
            [1.0] * RANKS,
        )


TRACES: dict[
    str, Callable[[random.Random], Iterator[tuple[Tokens, list[float]]]]
] = {
    'drift': drift,
    'deadline': deadline,
    'slow rank': slow_rank,
    'noise only': noisy,
}


@dataclass
class Outcome:
    """What a policy did on one trace."""

    skews: list[float]
    moves: int
    seconds: float

    def row(self) -> str:
        """Return the figures as table cells."""
        mean = statistics.mean(self.skews)
        late = sorted(self.skews)[int(len(self.skews) * 0.95)]
        return f'{mean:.3f} | {late:.3f} | {self.moves}'


Policy = Callable[[ExpertMap, LoadEstimate], ExpertMap]


def incremental(weights: tuple[float, float]) -> Policy:
    """Return this project's policy at a user's weights."""
    skew_weight, cost_weight = weights

    def decide(current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
        prices = PlacementPrices(
            HORIZON * estimate.trust,
            skew_weight,
            cost_weight,
            SECONDS_PER_MOVE,
            MAX_MOVES,
        )
        assert estimate.load is not None
        return plan_moves(current, estimate.load, prices).target

    return decide


def recompute(threshold: float) -> Policy:
    """Return a full recomputation whenever skew passes a threshold."""

    def decide(current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
        assert estimate.load is not None
        if skew(current, estimate.load) <= threshold:
            return current
        return greedy_map(current, estimate.load)

    return decide


POLICIES: dict[str, Policy] = {
    'static even map': lambda current, _estimate: current,
    'full each interval': recompute(0),
    'full above skew 1.15': recompute(1.15),
    'linnetwind, skew 4 cost 1 (Querétaro)': incremental(QUERETARO),
    'linnetwind, skew 1 cost 4 (Qurum)': incremental(QURUM),
}


def run(trace: str, policy: Policy, seed: int, missing: float) -> Outcome:
    """Run a policy on a trace; a map takes effect an interval later."""
    rng = random.Random(f'{trace} {seed}')
    loss = random.Random(f'loss {seed}')
    current = even_map(RANKS, SLOTS, LAYERS, EXPERTS)
    estimate = LoadEstimate()
    outcome = Outcome([], 0, 0)
    for tokens, slowness in TRACES[trace](rng):
        load = GroupLoad(tuple(map(tuple, tokens)), tuple(slowness))
        outcome.skews.append(skew(current, load))
        seen = [
            [0.0] * EXPERTS if loss.random() < missing else layer
            for layer in tokens
        ]
        estimate = update_load_estimate(estimate, seen, slowness)
        before = time.process_time()
        target = policy(current, estimate)
        outcome.seconds += time.process_time() - before
        outcome.moves += moves_between(current, target)
        current = target
    return outcome


def hindsight(trace: str, seed: int) -> Policy:
    """Return the map packed for the mean of the whole trace, kept fixed.

    Where popularity does not change but for noise, no policy that cannot
    see ahead does better than this for long.
    """
    counts = [
        tokens
        for tokens, _slowness in TRACES[trace](random.Random(f'{trace} {seed}'))
    ]
    mean = tuple(
        tuple(statistics.mean(column) for column in zip(*layers, strict=True))
        for layers in zip(*counts, strict=True)
    )
    current = even_map(RANKS, SLOTS, LAYERS, EXPERTS)
    best = greedy_map(current, GroupLoad(mean, (1.0,) * RANKS))
    return lambda _current, _estimate: best


def tables(seed: int) -> Iterator[str]:
    """Yield the lines of the report."""
    yield '## Expert placement'
    yield ''
    yield f'{RANKS} ranks with {SLOTS} slots, {LAYERS} layers of {EXPERTS}'
    yield f'experts, {INTERVALS} intervals, seed {seed}.'
    yield 'Skew is the slowest rank over the mean rank, summed over the layers.'
    yield 'Moved counts experts; each is the same number of bytes.'
    for missing in (0.0, 0.3):
        for trace in TRACES:
            yield ''
            yield f'Trace "{trace}", {missing:.0%} of the counts missing:'
            yield ''
            yield '| policy | mean skew | p95 skew | moved |'
            yield '| --- | --- | --- | --- |'
            for name, policy in POLICIES.items():
                yield f'| {name} | {run(trace, policy, seed, missing).row()} |'
            fixed = run(trace, hindsight(trace, seed), seed, missing)
            yield f'| fixed map for the mean, known beforehand | {fixed.row()} |'
