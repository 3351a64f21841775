"""Which upstream takes a request.

In a rank group a stream that finds all slots of its rank taken waits there,
so a rank with free slots is taken.
Plain upstreams differ in speed and may fail while their health check is
good, so their own record decides: what runs there, how long answers took and
how many failed lately. An upstream that cannot be reached is left out for a
moment, but never more than half of a service.
"""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.lives import Life
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
# More doublings than lead to the longest rest.
_MOST_DOUBLINGS = 8
# The power of the free slots in the chance of a rank. At 1 and 2 the ranks
# are filled less evenly when news is fresh, at 4 and more they are overfilled
# when it is old.
FREE_SLOTS_POWER = 3
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
    doublings = min(record.misses, _MOST_DOUBLINGS)
    rest = min(FIRST_REST * 2**doublings, LONGEST_REST)
    return replace(
        record, at=now, misses=record.misses + 1, rests_until=now + rest
    )


def choose_group(
    places: Mapping[str, int], failed: frozenset[str], chance: float
) -> str | None:
    """Return the rank group that takes a stream.

    Args:
      places: The places that this daemon may fill in each group.
      failed: Groups in which an attempt of this stream has failed. When a
        rank dies its whole group breaks, so another group comes first.
      chance: A random number from 0 to 1.

    Returns:
      A group, by chance in proportion to its places; that with the most if
      none has any, for a stream that is resumed. None without groups.
    """
    names = [name for name in places if name not in failed] or list(places)
    total = sum(max(0, places[name]) for name in names)
    if not total:
        return max(names, key=places.__getitem__, default=None)
    left = chance * total
    for name in names:
        left -= max(0, places[name])
        if left < 0:
            return name
    return names[-1]


def choose_rank(
    upstreams: Collection[Upstream],
    running: Mapping[Life, int],
    slow: frozenset[Life],
) -> Upstream | None:
    """Return a rank that should have a free slot.

    What other daemons have started there lately is not known yet. If all
    took the rank with the fewest streams, that rank would get them all: with
    16 daemons and news 0.15 s old, 11 in 100 streams found all slots of their
    rank taken and waited there for seconds; chosen by chance, with more
    weight on ranks with more free slots, 2 in 100 did (simulated, 72 ranks at
    three quarters of their slots).

    Args:
      upstreams: The ranks that may be given work.
      running: The streams at each life, from all daemons.
      slow: Lives that run slowly; each stream there would hold up the
        passes of all, so they get none while there are others.

    Returns:
      The rank, or None if there is none; the one with the fewest streams if
      no slot is free.
    """
    if not upstreams:
        return None
    quick = [each for each in upstreams if each.life not in slow]
    upstreams = quick or upstreams
    ranks = list(upstreams)
    weights = [_chance(each, running) for each in ranks]
    if any(weights):
        return random.choices(ranks, weights)[0]
    return min(ranks, key=lambda each: running.get(each.life, 0))


def _chance(upstream: Upstream, running: Mapping[Life, int]) -> int:
    free = upstream.slots - running.get(upstream.life, 0)
    return max(0, free) ** FREE_SLOTS_POWER


def choose_plain(
    upstreams: Collection[Upstream],
    running: Mapping[Life, int],
    records: Mapping[Life, Record],
    now: timedelta,
) -> Upstream | None:
    """Return the plain upstream that should answer soonest.

    Args:
      upstreams: Those that may be given work.
      running: The requests at each life, from all daemons.
      records: What requests did at each life lately.
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
            _cost(each, running, records.get(each.life), usual, now),
            random.random(),
        ),
    )


def _rests(
    upstream: Upstream, records: Mapping[Life, Record], now: timedelta
) -> bool:
    record = records.get(upstream.life)
    return record is not None and now < record.rests_until


def _cost(
    upstream: Upstream,
    running: Mapping[Life, int],
    record: Record | None,
    usual: float,
    now: timedelta,
) -> float:
    load = (running.get(upstream.life, 0) + 1) / max(1, upstream.slots)
    if record is None or now - record.at > RECORD_AGE:
        return load * usual
    latency = usual if record.latency is None else record.latency
    return load * latency * (1 + FAILURE_WEIGHT * record.failures)
