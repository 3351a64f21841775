"""Choosing an upstream for a request.

The score of a candidate is the time in milliseconds that the request is
expected to spend there before and while it is served: the wait for a slot,
the hop, and the slow-down by what already runs, less what a cached prefix
saves. A few candidates are sampled instead of taking the best of all, so
that entry daemons which see the same old reports do not all choose the same
upstream.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import xxhash

from linnetwind.config import Routing

_MS = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_SMALLEST_SERVICE_MS = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream as one entry daemon sees it.

    `running` and `waiting` are the upstream's own report; `unreported` is
    the number of own calls that the report cannot hold yet. `own` is all
    own calls in flight. `silence` is the time since anything came from the
    upstream while own calls were waiting for it.
    """

    upstream: str
    site: str
    region: str
    concurrency: int
    running: int = 0
    waiting: int = 0
    unreported: int = 0
    own: int = 0
    service_ms: float = 100
    step_ms: float = 0
    silence: timedelta = timedelta()
    cached_blocks: int = 0


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What matters of a request for its route.

    `block_ms` is what the engine spends on one block of the prompt that is
    not in its cache; `tokens` the most tokens that it may generate.
    """

    site: str
    region: str
    blocks: int = 0
    block_ms: float = 0
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class ScoredCandidate:
    """A candidate's expected time, and its parts, in milliseconds."""

    upstream: str
    total_ms: float
    wait_ms: float
    hop_ms: float
    prefill_ms: float
    decode_ms: float = 0


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen, and the sampled ones that were passed over."""

    upstream: str
    reason: str
    best: ScoredCandidate
    passed_over: tuple[ScoredCandidate, ...]


@dataclass(frozen=True, slots=True)
class NoCandidate:
    """No upstream can take the request."""

    retry_after: timedelta

    def describe(self) -> str:
        """Return that there is none."""
        return 'no upstream is live'


def choose(
    candidates: Sequence[Candidate],
    request: RouteRequest,
    weights: Routing,
    rng: random.Random,
) -> Choice | NoCandidate:
    """Choose an upstream.

    Args:
      candidates: The upstreams that take new calls.
      request: What is to be routed.
      weights: The operator's weights.
      rng: For the sample and for ties.

    Returns:
      The choice with its reason, or that there is none.
    """
    if not candidates:
        return NoCandidate(_SECOND)
    sample = _sample(candidates, request, weights, rng)
    scored = [_score(each, request, weights) for each in sample]
    # Equal scores are common when the fleet is idle; the first in the list
    # must not get all the work.
    rng.shuffle(scored)
    scored.sort(key=lambda each: each.total_ms)
    best = scored[0]
    return Choice(
        best.upstream,
        _reason(best, sample),
        best,
        tuple(scored[1:]),
    )


def _sample(
    candidates: Sequence[Candidate],
    request: RouteRequest,
    weights: Routing,
    rng: random.Random,
) -> list[Candidate]:
    near = [each for each in candidates if each.region == request.region]
    pool = near or list(candidates)
    size = min(weights.sample_size, len(pool))
    sample = rng.sample(pool, size)
    warmest = max(pool, key=lambda each: each.cached_blocks)
    if warmest.cached_blocks > 0 and warmest not in sample:
        sample.append(warmest)
    return sample


def _score(
    candidate: Candidate, request: RouteRequest, weights: Routing
) -> ScoredCandidate:
    wait_ms = _wait_ms(candidate)
    hop_ms = _hop_ms(candidate, request, weights)
    hits = min(candidate.cached_blocks, request.blocks)
    misses = request.blocks - weights.cache_weight * hits
    prefill_ms = misses * request.block_ms
    # A step takes as long as the slowest rank of the group, so a straggler
    # shows here before the calls that it slows down have ended.
    decode_ms = request.tokens * candidate.step_ms
    return ScoredCandidate(
        candidate.upstream,
        wait_ms + hop_ms + prefill_ms + decode_ms,
        wait_ms,
        hop_ms,
        prefill_ms,
        decode_ms,
    )


def _wait_ms(candidate: Candidate) -> float:
    service_ms = max(candidate.service_ms, _SMALLEST_SERVICE_MS)
    load = candidate.running + candidate.waiting + candidate.unreported
    # Own calls are known for certain, whatever a late report says.
    load = max(load, candidate.own)
    queued = max(0, load + 1 - candidate.concurrency)
    wait_ms = queued * service_ms / candidate.concurrency
    # Even without a queue a fuller engine is slower for each of its calls.
    crowding_ms = service_ms * load / candidate.concurrency
    # An upstream that has stopped keeps its last, good-looking report. Its
    # silence beyond the usual service time counts as waiting time.
    silent_ms = max(0, candidate.silence / _MS - service_ms)
    return wait_ms + crowding_ms + silent_ms


def _hop_ms(
    candidate: Candidate, request: RouteRequest, weights: Routing
) -> float:
    if candidate.site == request.site:
        return 0
    if candidate.region == request.region:
        return weights.remote_site_ms
    return weights.remote_region_ms


def _reason(best: ScoredCandidate, sample: Sequence[Candidate]) -> str:
    chosen = next(each for each in sample if each.upstream == best.upstream)
    if len(sample) == 1:
        return 'only candidate'
    if chosen.cached_blocks > 0:
        return f'cached prefix of {chosen.cached_blocks} blocks'
    return f'shortest expected time of {len(sample)} sampled'


def choose_home(
    candidates: Sequence[Candidate], service: str, slot: int
) -> Choice | NoCandidate:
    """Choose the upstream whose side should own a slot.

    Every entry daemon that sees the same upstreams chooses the same one, by
    the highest hash of slot and name. When their views differ two sides may
    take the slot from each other; that costs appends, never a second run.

    Args:
      candidates: The upstreams that take new calls.
      service: The service's name.
      slot: The slot of the request's key.

    Returns:
      The choice, or that there is none.
    """
    if not candidates:
        return NoCandidate(_SECOND)
    ordered = sorted(
        candidates,
        key=lambda each: xxhash.xxh3_64_intdigest(
            f'{service}/{slot}/{each.upstream}'.encode()
        ),
    )
    scored = [
        ScoredCandidate(each.upstream, 0, 0, 0, 0) for each in reversed(ordered)
    ]
    return Choice(scored[0].upstream, f'home of slot {slot}', scored[0], ())


def exclude_tried(
    candidates: Sequence[Candidate], tried: frozenset[str]
) -> list[Candidate]:
    """Leave out the upstreams that were tried, unless all were.

    Args:
      candidates: The upstreams that take new calls.
      tried: The names of those that have refused or lost this request.

    Returns:
      The candidates that remain.
    """
    fresh = [each for each in candidates if each.upstream not in tried]
    return fresh or list(candidates)
