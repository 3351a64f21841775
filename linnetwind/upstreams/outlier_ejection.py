"""Ejects upstreams that refuse or fail far more requests than the others.

The load is a plain service at any rate, on one daemon or divided among dozens,
of which each sees less than one request a second. An upstream may refuse most
requests at once ("not run"), while its health check succeeds. The answers of
the last seconds are compared among the upstreams of a service. If the whole
service is overloaded, all refuse alike and none is ejected.

Published methods: consecutive errors, success rate and the ejection time that
grows with repetition are those of Envoy's outlier detection; an ejected
upstream is brought back by probes as in circuit breakers (Nygard, Release It!).
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType
from typing import Self

from linnetwind.upstream_incarnation import UpstreamIncarnation

# The weight of an answer halves in this time.
_HALF_LIFE_S = 10
HALF_LIFE = timedelta(seconds=_HALF_LIFE_S)
_MEAN_AGE = HALF_LIFE / math.log(2)
# An upstream is an outlier if its share of bad answers is this many times that
# of the others, plus the margin.
_OUTLIER_RATIO = 2
_OUTLIER_MARGIN = 0.2
# An upstream stays ejected while its share is this many times that of others.
_STAY_RATIO = 2
# The first ejection lasts for this many requests of the service at this daemon,
# within the bounds below. A probe costs a daemon that sends few requests as
# many refusals as one that sends many.
_FIRST_REQUESTS = 16
_MIN_FIRST_S = 2
MIN_FIRST = timedelta(seconds=_MIN_FIRST_S)
_MAX_FIRST_S = 20
MAX_FIRST = timedelta(seconds=_MAX_FIRST_S)
_MAX_EJECTION_S = 30
MAX_EJECTION = timedelta(seconds=_MAX_EJECTION_S)
# The level of the longest ejection: 2 s double to 30 s in four steps.
_MAX_LEVEL = 5
# A successful probe takes back two ejections.
_LEVELS_PER_SUCCESS = 2
# An upstream that was not ejected for this long starts again at level 1.
_LEVEL_MEMORY_S = 60
LEVEL_MEMORY = timedelta(seconds=_LEVEL_MEMORY_S)


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """The answers of an upstream, weighted by their age at the time `at`.

    `bad` are the refusals and failures among the `answered`, `since` the time
    of the first answer.
    """

    at: timedelta = timedelta()
    answered: float = 0
    bad: float = 0
    since: timedelta = timedelta.max

    def as_of(self, now: timedelta) -> Self:
        """Return the counts with their weights at a later time.

        Args:
          now: The monotonic time.

        Returns:
          The counts.
        """
        kept = 0.5 ** ((now - self.at) / HALF_LIFE)
        return replace(
            self, at=now, answered=self.answered * kept, bad=self.bad * kept
        )


@dataclass(frozen=True, slots=True)
class Ejection:
    """An ejection until the monotonic time `until`, after which it is probed.

    `share` is the share of bad answers at the start, `level` the number of
    ejections in a row, `first` the length at level 1. `probed_at` is when the
    newest probe was sent, None before the first.
    """

    share: float
    level: int
    first: timedelta
    until: timedelta
    probed_at: timedelta | None = None


@dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """What is known of one incarnation.

    `level` and `returned_at` are of its last ejection.
    """

    counts: AnswerCounts = AnswerCounts()
    ejection: Ejection | None = None
    level: int = 0
    returned_at: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a request sent at `sent_at`; `bad` if refused or failed."""

    sent_at: timedelta
    bad: bool


Healths = Mapping[UpstreamIncarnation, UpstreamHealth]
NO_HEALTHS: Healths = MappingProxyType({})


def observe_answer(
    healths: Healths,
    members: Collection[UpstreamIncarnation],
    life: UpstreamIncarnation,
    answer: Answer,
    now: timedelta,
) -> Healths:
    """Return the records after an answer of an upstream.

    Args:
      healths: The records so far, of upstreams of any service.
      members: The incarnations of the service that accept requests.
      life: The incarnation that answered.
      answer: The answer.
      now: The monotonic time.

    Returns:
      The records, in which the upstream may be ejected or have returned.
    """
    before = healths.get(life, UpstreamHealth())
    counts = before.counts.as_of(now)
    counts = AnswerCounts(
        now,
        counts.answered + 1,
        counts.bad + int(answer.bad),
        min(counts.since, now),
    )
    after = replace(before, counts=counts)
    if before.ejection is None:
        others = _sum_counts(
            healths, [each for each in members if each != life], now
        )
        if answer.bad and _has_room(healths, members):
            after = _eject_outlier(after, others, now)
    elif _is_of_probe(before.ejection, answer):
        after = _apply_probe(after, before.ejection, answer, now)
    return {**healths, life: after}


def begin_probe(
    healths: Healths, life: UpstreamIncarnation, now: timedelta
) -> Healths:
    """Return the records after a request was sent to an upstream.

    Args:
      healths: The records.
      life: The incarnation that gets the request.
      now: The monotonic time.

    Returns:
      The records. If the upstream is ejected and its time is over, the request
      is the probe, and no other is due until its answer or a further time.
    """
    health = healths.get(life)
    if health is None or health.ejection is None:
        return healths
    ejection = health.ejection
    if now < ejection.until:
        return healths
    probed = replace(ejection, until=now + ejection.first, probed_at=now)
    return {**healths, life: replace(health, ejection=probed)}


def due_probes(
    healths: Healths,
    members: Collection[UpstreamIncarnation],
    now: timedelta,
) -> frozenset[UpstreamIncarnation]:
    """Return the ejected upstreams to which a probe is to be sent now.

    Args:
      healths: The records.
      members: Any incarnations.
      now: The monotonic time.

    Returns:
      The incarnations.
    """
    ejections = {
        life: healths[life].ejection for life in members if life in healths
    }
    return frozenset(
        life
        for life, ejection in ejections.items()
        if ejection is not None and ejection.until <= now
    )


def ejected_upstreams(
    healths: Healths,
    members: Collection[UpstreamIncarnation],
    now: timedelta,
) -> frozenset[UpstreamIncarnation]:
    """Return the upstreams that get no requests now.

    Args:
      healths: The records.
      members: The incarnations of the service that accept requests.
      now: The monotonic time.

    Returns:
      At most half of the members: those with the largest shares of bad answers
      whose time is not over, unless the others are nearly as bad by now.
    """
    ejections = {
        life: healths[life].ejection
        for life in members
        if life in healths and healths[life].ejection is not None
    }
    if not ejections:
        return frozenset()
    others = _sum_counts(
        healths, [each for each in members if each not in ejections], now
    )
    others_share = others.bad / (others.answered + 1)
    worst = sorted(ejections, key=lambda life: -ejections[life].share)
    return frozenset(
        life
        for life in worst[: len(members) // 2]
        if now < ejections[life].until
        and ejections[life].share > _STAY_RATIO * others_share
    )


def _sum_counts(
    healths: Healths, lives: Iterable[UpstreamIncarnation], now: timedelta
) -> AnswerCounts:
    known = [
        healths[life].counts.as_of(now) for life in lives if life in healths
    ]
    return AnswerCounts(
        now,
        sum(each.answered for each in known),
        sum(each.bad for each in known),
        min((each.since for each in known), default=now),
    )


def _has_room(
    healths: Healths, members: Collection[UpstreamIncarnation]
) -> bool:
    """Return whether one more upstream may be ejected."""
    ejected = sum(
        1
        for life in members
        if life in healths and healths[life].ejection is not None
    )
    return ejected < len(members) // 2


def _eject_outlier(
    health: UpstreamHealth, others: AnswerCounts, now: timedelta
) -> UpstreamHealth:
    # Few answers are weighed in favour of the upstream and against the others,
    # so that none is ejected before the others are known to be better.
    counts = health.counts
    share = counts.bad / (counts.answered + 1)
    others_share = (others.bad + 0.5) / (others.answered + 1)
    if share < _OUTLIER_RATIO * others_share + _OUTLIER_MARGIN:
        return health
    level = 1
    if health.level and now - health.returned_at < LEVEL_MEMORY:
        level = min(health.level + 1, _MAX_LEVEL)
    first = _first_length(counts, others)
    return _eject(health, Ejection(share, level, first, now), now)


def _first_length(counts: AnswerCounts, others: AnswerCounts) -> timedelta:
    """Return the length of an ejection at level 1."""
    observed = counts.at - min(counts.since, others.since)
    # The sum of the weights of the observed time.
    weight = _MEAN_AGE * (1 - 0.5 ** (observed / HALF_LIFE))
    interval = weight / (counts.answered + others.answered)
    return min(max(_FIRST_REQUESTS * interval, MIN_FIRST), MAX_FIRST)


def _eject(
    health: UpstreamHealth, ejection: Ejection, now: timedelta
) -> UpstreamHealth:
    length = min(ejection.first * 2 ** (ejection.level - 1), MAX_EJECTION)
    ejection = replace(ejection, until=now + length, probed_at=None)
    return replace(health, ejection=ejection, level=ejection.level)


def _is_of_probe(ejection: Ejection, answer: Answer) -> bool:
    # Requests that ran when the upstream was ejected say nothing new.
    probed_at = ejection.probed_at
    return probed_at is not None and answer.sent_at >= probed_at


def _apply_probe(
    health: UpstreamHealth, ejection: Ejection, answer: Answer, now: timedelta
) -> UpstreamHealth:
    if answer.bad:
        level = min(ejection.level + 1, _MAX_LEVEL)
        return _eject(health, replace(ejection, level=level), now)
    level = ejection.level - _LEVELS_PER_SUCCESS
    if level > 0:
        # The next probe is sent at once.
        probed = replace(ejection, level=level, until=now, probed_at=None)
        return replace(health, ejection=probed, level=level)
    return UpstreamHealth(
        AnswerCounts(now, 1, since=now), None, ejection.level, now
    )
