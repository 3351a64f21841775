"""Chooses an upstream for a request.

The score of a candidate is the expected latency of the request there in
milliseconds: the wait for a slot, the network hop, the contention with running
requests, and the prefill and decode times, less the prefill time that a cached
prefix saves. The best of a small random sample is chosen. The sample comes from
the daemon's own region if possible, and includes the candidate with the most
cached blocks. If daemons chose the best of all candidates, those with the same
outdated reports would all choose the same upstream.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import xxhash

from linnetwind.config import Routing

_MS = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_MIN_SERVICE_MS = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream as one entry daemon sees it.

    `running` and `waiting` come from the upstream's last report, and
    `unreported` counts this daemon's calls that the report does not include
    yet. `own` counts all calls of this daemon in flight there. `silence` is the
    time since the upstream last sent anything while this daemon's calls were
    waiting for it. `service_ms` is the smoothed time of one request, `step_ms`
    the time of one engine step, and `cached_blocks` the number of the prompt's
    blocks that are in the upstream's cache.
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
    """The properties of a request that affect the choice of an upstream.

    `site` and `region` are those of the entry daemon, `blocks` is the number
    of blocks in the prompt, `block_ms` the engine's time for a block that is
    not in its cache, and `tokens` the maximum number of tokens to generate.
    """

    site: str
    region: str
    blocks: int = 0
    block_ms: float = 0
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class ScoredCandidate:
    """A candidate's expected latency and its parts, in milliseconds."""

    upstream: str
    total_ms: float
    wait_ms: float
    hop_ms: float
    prefill_ms: float
    decode_ms: float = 0


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream, and the other candidates of the sample."""

    upstream: str
    reason: str
    best: ScoredCandidate
    passed_over: tuple[ScoredCandidate, ...]


@dataclass(frozen=True, slots=True)
class NoCandidate:
    """No upstream can accept the request."""

    retry_after: timedelta

    def describe(self) -> str:
        """Return a description in plain words."""
        return 'no upstream is live'


def choose(
    candidates: Sequence[Candidate],
    request: RouteRequest,
    weights: Routing,
    rng: random.Random,
) -> Choice | NoCandidate:
    """Choose an upstream.

    Args:
      candidates: The upstreams that accept new calls.
      request: The request.
      weights: The configured routing weights.
      rng: The random generator for the sample and for ties.

    Returns:
      The choice with its reason, or `NoCandidate`.
    """
    if not candidates:
        return NoCandidate(_SECOND)
    sample = _sample(candidates, request, weights, rng)
    scores = [_score(each, request, weights) for each in sample]
    # Equal scores are common when the fleet is idle. Without shuffling, the
    # first upstream of the list would receive all requests.
    rng.shuffle(scores)
    scores.sort(key=lambda each: each.total_ms)
    best = scores[0]
    return Choice(
        best.upstream,
        _reason(best, sample),
        best,
        tuple(scores[1:]),
    )


def _sample(
    candidates: Sequence[Candidate],
    request: RouteRequest,
    weights: Routing,
    rng: random.Random,
) -> list[Candidate]:
    same_region = [each for each in candidates if each.region == request.region]
    pool = same_region or list(candidates)
    size = min(weights.sample_size, len(pool))
    sample = rng.sample(pool, size)
    best_cached = max(pool, key=lambda each: each.cached_blocks)
    if best_cached.cached_blocks > 0 and best_cached not in sample:
        sample.append(best_cached)
    return sample


def _score(
    candidate: Candidate, request: RouteRequest, weights: Routing
) -> ScoredCandidate:
    wait_ms = _wait_ms(candidate)
    hop_ms = _hop_ms(candidate, request, weights)
    hits = min(candidate.cached_blocks, request.blocks)
    misses = request.blocks - weights.cache_weight * hits
    prefill_ms = misses * request.block_ms
    # A step takes as long as the slowest rank of the group. A slow rank
    # therefore raises the score before the calls that it delays have ended.
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
    service_ms = max(candidate.service_ms, _MIN_SERVICE_MS)
    load = candidate.running + candidate.waiting + candidate.unreported
    # The count of own calls is exact even if the report is outdated.
    load = max(load, candidate.own)
    queued = max(0, load + 1 - candidate.concurrency)
    wait_ms = queued * service_ms / candidate.concurrency
    # Even without a queue, more running calls make each call slower.
    contention_ms = service_ms * load / candidate.concurrency
    # The last report of an upstream that hangs may show little load. The time
    # without a message beyond the usual service time counts as waiting time.
    overdue_ms = max(0, candidate.silence / _MS - service_ms)
    return wait_ms + contention_ms + overdue_ms


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


def choose_slot_owner(
    candidates: Sequence[Candidate], service: str, slot: int
) -> Choice | NoCandidate:
    """Choose the upstream whose side daemon owns a slot.

    Rendezvous hashing: the upstream with the highest hash of service, slot and
    name is chosen, so that all entry daemons that see the same upstreams
    choose the same one. While their views differ, two side daemons may
    repeatedly take over the slot from each other. That costs appends to the
    log but never runs a request twice.

    Args:
      candidates: The upstreams that accept new calls.
      service: The service's name.
      slot: The slot of the request's idempotency key.

    Returns:
      The choice, or `NoCandidate`.
    """
    if not candidates:
        return NoCandidate(_SECOND)
    ordered = sorted(
        candidates,
        key=lambda each: xxhash.xxh3_64_intdigest(
            f'{service}/{slot}/{each.upstream}'.encode()
        ),
    )
    scores = [
        ScoredCandidate(each.upstream, 0, 0, 0, 0) for each in reversed(ordered)
    ]
    return Choice(scores[0].upstream, f'home of slot {slot}', scores[0], ())


def exclude_tried(
    candidates: Sequence[Candidate], tried: frozenset[str]
) -> list[Candidate]:
    """Exclude the upstreams that were already tried, unless all were.

    Args:
      candidates: The upstreams that accept new calls.
      tried: The names of the upstreams at which an attempt of this request
        failed.

    Returns:
      The remaining candidates, or all of them if none remains.
    """
    untried = [each for each in candidates if each.upstream not in tried]
    return untried or list(candidates)
