"""Chooses the upstream that gets a request.

In a rank group, a stream that is sent to a rank whose slots are all taken
waits there for a slot, so a rank with free slots is preferred. Plain upstreams
differ in speed and may fail while their health check succeeds, so the choice
among them depends on what was observed: the requests that run there, the
latency of responses and the share of failures. An unreachable upstream is
ejected for a short time, and one that refuses or fails most requests for longer
(`outlier_ejection.py`), but at most half of a service's upstreams are. An
upstream that was cold until now gets less than its part for a time (slow start,
as described for Envoy's load balancers).
"""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType

from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_list import Upstream

# The weight of the newest response in the averages of latency and failures.
SMOOTHING = 0.2
# The weight of the share of failures in an upstream's cost, relative to its
# load: with 45 failures in 100 requests it is chosen only while the others
# have 4 times as much load.
FAILURE_WEIGHT = 8.0
# How long an unreachable upstream is ejected at first, and at most.
_MIN_EJECTION_MS = 500
MIN_EJECTION = timedelta(milliseconds=_MIN_EJECTION_MS)
MAX_EJECTION = timedelta(seconds=4)
# Bounds the exponent, since the power would overflow a time after some 50
# failures; the maximum ejection is reached with fewer doublings.
_MAX_DOUBLINGS = 8
# The exponent of the free slots in the weight of a rank. With 1 and 2 the
# ranks are filled less evenly when peer states are fresh, with 4 and more they
# are overfilled when peer states are old.
FREE_SLOTS_EXPONENT = 3
# Averages older than this are ignored, so that a slow upstream is tried again.
MAX_RECORD_AGE = timedelta(seconds=5)
_NONE: Collection[UpstreamIncarnation] = frozenset()
_FULL_WEIGHTS: Mapping[UpstreamIncarnation, float] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class UpstreamStats:
    """Recent statistics of the requests at an upstream.

    `at` is the monotonic time of the newest one, `latency` an average in
    seconds, `failures` the share of failed requests from 0 to 1,
    `failed_connects` the number of failed connections in a row.
    """

    at: timedelta
    latency: float | None = None
    failures: float = 0
    failed_connects: int = 0
    ejected_until: timedelta = timedelta()


def record_answer(
    record: UpstreamStats, now: timedelta, took: timedelta, *, failed: bool
) -> UpstreamStats:
    """Return an upstream's statistics after a response.

    Args:
      record: The statistics so far.
      now: The monotonic time.
      took: The latency of the response.
      failed: Whether it was a failure of the upstream.

    Returns:
      The new statistics.
    """
    # A failure often comes sooner than a successful response; if it counted as
    # latency, it would attract all requests to the upstream that fails.
    latency = record.latency
    if not failed:
        latency = _smooth(latency, took.total_seconds())
    failures = record.failures + SMOOTHING * (failed - record.failures)
    return UpstreamStats(now, latency, failures)


def _smooth(before: float | None, new: float) -> float:
    return new if before is None else before + SMOOTHING * (new - before)


def record_connect_failure(
    record: UpstreamStats, now: timedelta
) -> UpstreamStats:
    """Return an upstream's statistics after a failed connection.

    Args:
      record: The statistics so far.
      now: The monotonic time.

    Returns:
      The new statistics, with an ejection that doubles with each failed
      connection.
    """
    doublings = min(record.failed_connects, _MAX_DOUBLINGS)
    ejection = min(MIN_EJECTION * 2**doublings, MAX_EJECTION)
    return replace(
        record,
        at=now,
        failed_connects=record.failed_connects + 1,
        ejected_until=now + ejection,
    )


def choose_group(
    permits: Mapping[str, int], failed: frozenset[str], chance: float
) -> str | None:
    """Return the rank group that gets a stream.

    Args:
      permits: The permits that this daemon may use in each group.
      failed: Groups in which an attempt of this stream has failed. When a
        rank dies its whole group breaks, so other groups are preferred.
      chance: A random number from 0 to 1.

    Returns:
      A random group, weighted by its permits; the group with the most permits
      if no group has any, for a stream that is resumed. None without groups.
    """
    names = [name for name in permits if name not in failed] or list(permits)
    total = sum(max(0, permits[name]) for name in names)
    if not total:
        return max(names, key=permits.__getitem__, default=None)
    left = chance * total
    for name in names:
        left -= max(0, permits[name])
        if left < 0:
            return name
    return names[-1]


def choose_rank(
    upstreams: Collection[Upstream],
    running: Mapping[UpstreamIncarnation, int],
    slow: frozenset[UpstreamIncarnation],
    weights: Mapping[UpstreamIncarnation, float] = _FULL_WEIGHTS,
) -> Upstream | None:
    """Return a random rank, with more weight on ranks with more free slots.

    The streams that other daemons have started lately are not known yet. If
    all daemons chose the rank with the fewest streams, that rank would get all
    of them. In a simulation with 16 daemons, states of peers 0.15 s old and 72
    ranks at three quarters of their slots, 11 in 100 streams then found all
    slots of their rank taken and waited for seconds; with weighted random
    choices 2 in 100 did.

    Args:
      upstreams: The ranks that may get the stream.
      running: The streams of all daemons at each incarnation.
      slow: The incarnations that run slowly. Each stream there would delay the
        passes of all, so they get none while there are others.
      weights: The weights of the incarnations in their slow start, below 1.

    Returns:
      The rank; the one with the fewest streams if no slot is free. None if
      there are no ranks.
    """
    if not upstreams:
        return None
    quick = [each for each in upstreams if each.life not in slow]
    upstreams = quick or upstreams
    ranks = list(upstreams)
    chances = [
        _weight(each, running) * weights.get(each.life, 1) for each in ranks
    ]
    if any(chances):
        return random.choices(ranks, chances)[0]
    return min(ranks, key=lambda each: running.get(each.life, 0))


def _weight(
    upstream: Upstream, running: Mapping[UpstreamIncarnation, int]
) -> int:
    free = upstream.slots - running.get(upstream.life, 0)
    return max(0, free) ** FREE_SLOTS_EXPONENT


def choose_plain(
    upstreams: Collection[Upstream],
    running: Mapping[UpstreamIncarnation, int],
    records: Mapping[UpstreamIncarnation, UpstreamStats],
    now: timedelta,
    weights: Mapping[UpstreamIncarnation, float] = _FULL_WEIGHTS,
    ejected: Collection[UpstreamIncarnation] = _NONE,
    probes: Collection[UpstreamIncarnation] = _NONE,
) -> Upstream | None:
    """Return the plain upstream that should respond soonest.

    Args:
      upstreams: The upstreams that may get the request.
      running: The requests of all daemons at each incarnation.
      records: The statistics of each incarnation.
      now: The monotonic time.
      weights: The weights of the incarnations in their slow start, below 1.
      ejected: The incarnations that refuse or fail too many requests.
      probes: The incarnations to which a probe is due. They are chosen first:
        by their cost, hardly any request would find out that they recovered.

    Returns:
      The upstream, or None if there is none.
    """
    usable = [
        each
        for each in upstreams
        if each.life not in ejected and not _is_ejected(each, records, now)
    ]
    if len(usable) * 2 < len(upstreams):
        usable = list(upstreams)
    if not usable:
        return None
    usable = [each for each in usable if each.life in probes] or usable
    latencies = [
        record.latency
        for record in records.values()
        if record.latency is not None
    ]
    median = sorted(latencies)[len(latencies) // 2] if latencies else 1
    return min(
        usable,
        key=lambda each: (
            _cost(each, running, records.get(each.life), median, now)
            / weights.get(each.life, 1),
            random.random(),
        ),
    )


def _is_ejected(
    upstream: Upstream,
    records: Mapping[UpstreamIncarnation, UpstreamStats],
    now: timedelta,
) -> bool:
    record = records.get(upstream.life)
    return record is not None and now < record.ejected_until


def _cost(
    upstream: Upstream,
    running: Mapping[UpstreamIncarnation, int],
    record: UpstreamStats | None,
    median_latency: float,
    now: timedelta,
) -> float:
    load = (running.get(upstream.life, 0) + 1) / max(1, upstream.slots)
    if record is None or now - record.at > MAX_RECORD_AGE:
        return load * median_latency
    latency = median_latency if record.latency is None else record.latency
    return load * latency * (1 + FAILURE_WEIGHT * record.failures)
