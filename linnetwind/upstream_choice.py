"""Which upstream takes a request.

In a rank group all ranks go through each pass together, and a pass lasts as
long as its busiest rank: the rank with the fewest running streams is taken.
Plain upstreams differ in speed and may fail while their health check is
good, so their own record decides: what runs there, how long answers took and
how many failed lately. An upstream that cannot be reached is left out for a
moment, but never more than half of a service.
"""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.upstream_list import Upstream

# The weight of the newest answer in the averages of latency and failures.
SMOOTHING = 0.2
# How much worse a share of failures makes an upstream look, against its
# load: at 45 failures in 100 it takes work only when others have 4 times as
# much.
FAILURE_WEIGHT = 8.0
# The first time that an unreachable upstream is left out, and the longest.
_FIRST_REST_MS = 500
FIRST_REST = timedelta(milliseconds=_FIRST_REST_MS)
LONGEST_REST = timedelta(seconds=4)
# Averages older than this say nothing; a slow upstream is tried again.
RECORD_AGE = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class Record:
    """What requests did at an upstream lately.

    `latency` is an average in seconds, `failures` a share from 0 to 1,
    `misses` the failed connections in a row.
    """

    at: timedelta
    latency: float | None = None
    failures: float = 0
    misses: int = 0
    rests_until: timedelta = timedelta()


def note_answer(
    record: Record, now: timedelta, took: timedelta, *, failed: bool
) -> Record:
    """Return an upstream's record after an answer.

    Args:
      record: The record so far.
      now: The monotonic time.
      took: How long the answer took.
      failed: Whether it was a failure of the upstream.

    Returns:
      The record.
    """
    # A failure often comes quicker than an answer; counted as latency it would
    # draw all requests to the upstream that fails.
    latency = record.latency
    if not failed:
        latency = _smooth(latency, took.total_seconds())
    failures = record.failures + SMOOTHING * (failed - record.failures)
    return Record(now, latency, failures)


def _smooth(before: float | None, new: float) -> float:
    return new if before is None else before + SMOOTHING * (new - before)


def note_miss(record: Record, now: timedelta) -> Record:
    """Return an upstream's record after a connection did not come about.

    Args:
      record: The record so far.
      now: The monotonic time.

    Returns:
      The record, with a rest that doubles with each miss.
    """
    rest = min(FIRST_REST * 2**record.misses, LONGEST_REST)
    return replace(
        record, at=now, misses=record.misses + 1, rests_until=now + rest
    )


def choose_rank(
    upstreams: Collection[Upstream],
    running: Mapping[str, int],
    slow: frozenset[str],
) -> Upstream | None:
    """Return the rank with the fewest running streams.

    Args:
      upstreams: The ranks that may be given work.
      running: The streams at each instance, from all daemons.
      slow: Instances that run slowly; each stream there would hold up the
        passes of all, so they get none while there are others.

    Returns:
      The rank, or None if there is none. Equal ones are taken at random, so
      that daemons with the same view do not all take the same.
    """
    if not upstreams:
        return None
    quick = [each for each in upstreams if each.instance not in slow]
    upstreams = quick or upstreams
    least = min(running.get(each.instance, 0) for each in upstreams)
    equal = [
        each for each in upstreams if running.get(each.instance, 0) == least
    ]
    return random.choice(equal)


def choose_plain(
    upstreams: Collection[Upstream],
    running: Mapping[str, int],
    records: Mapping[str, Record],
    now: timedelta,
) -> Upstream | None:
    """Return the plain upstream that should answer soonest.

    Args:
      upstreams: Those that may be given work.
      running: The requests at each instance, from all daemons.
      records: What requests did at each instance lately.
      now: The monotonic time.

    Returns:
      The upstream, or None if there is none.
    """
    awake = [each for each in upstreams if not _rests(each, records, now)]
    if len(awake) * 2 < len(upstreams):
        awake = list(upstreams)
    if not awake:
        return None
    known = [
        record.latency
        for record in records.values()
        if record.latency is not None
    ]
    usual = sorted(known)[len(known) // 2] if known else 1
    return min(
        awake,
        key=lambda each: (
            _cost(each, running, records.get(each.instance), usual, now),
            random.random(),
        ),
    )


def _rests(
    upstream: Upstream, records: Mapping[str, Record], now: timedelta
) -> bool:
    record = records.get(upstream.instance)
    return record is not None and now < record.rests_until


def _cost(
    upstream: Upstream,
    running: Mapping[str, int],
    record: Record | None,
    usual: float,
    now: timedelta,
) -> float:
    load = (running.get(upstream.instance, 0) + 1) / max(1, upstream.slots)
    if record is None or now - record.at > RECORD_AGE:
        return load * usual
    latency = usual if record.latency is None else record.latency
    return load * latency * (1 + FAILURE_WEIGHT * record.failures)
