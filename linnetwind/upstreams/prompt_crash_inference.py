"""Infers from crashes of upstreams which prompt parts cause them.

A part of a prompt may crash every upstream that answers a request with it. Such
requests arrive at any gateway and no two are alike, and other requests that ran
on a crashed upstream are cut with them. What these have in common with the
requests at the next crash is mostly harmless: the same instructions begin the
prompts of many callers. The cause is therefore sought among the parts that
several crashes have in common and that no upstream has answered since.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.crash_history import Crash, count_independent
from linnetwind.fingerprint import Fingerprint
from linnetwind.prompt_parts import PromptPart
from linnetwind.upstream_incarnation import IncarnationTag

Parts = frozenset[PromptPart]
# The monotonic time at which an upstream last answered on each part.
Answers = Mapping[PromptPart, timedelta]

# A part that no upstream has ever answered on is taken for the cause after two
# crashes under different requests: it is unlikely that unrelated requests with
# the same rare part run on two crashing upstreams in a row. Crashes under the
# same request are no evidence against a part of it.
_MIN_CRASHES = 2
# With so many crashes, the likeliest of several causes is taken for the cause,
# and one crash without another explanation is enough.
_MANY_CRASHES = 3
# A part that was answered before may begin to crash upstreams when their
# version changes. It may also be a popular part that runs everywhere.
_MIN_CRASHES_AFTER_ANSWER = 4
# A cause that is at least this fraction as likely as another is its rival.
_RIVAL_STRENGTH = 0.8
# Chance is excluded as the reason if its probability is below one in thirty.
_ODDS_AGAINST_CHANCE = 30
_CERTAIN_STRENGTH = math.log(_ODDS_AGAINST_CHANCE)
# After so many answered requests, a part of each tenth request has probably
# been answered here, and peers know of others.
_WARM_ANSWERS = 20
# A part is on every crashed upstream, whatever crashed it, if more than this
# share of the service's requests have it.
_UBIQUITOUS_SHARE = 0.9
# The share of a part is not known from fewer requests than these.
_MIN_ARRIVALS = 20
# When hosts fail together, most of their requests have nothing in common. Parts
# that fewer than half of the upstreams had which crashed within this time are
# not supported by any of these crashes.
MASS_CRASH_WINDOW = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class PromptCrash:
    """A crash under a request whose prompt has these shareable parts."""

    request: Fingerprint
    crash: Crash
    parts: Parts


@dataclass(frozen=True, slots=True)
class PromptTraffic:
    """What a daemon has seen of the prompts of requests.

    `answered` holds when parts were last answered, here or at a peer, and
    `answers` counts the requests that were answered here. `arrived` are the
    shareable parts of the most recent requests of the service, and
    `answered_at` the times of its most recent answers here.
    """

    answered: Answers
    arrived: Collection[Parts] = ()
    answers: int = 0
    answered_at: Collection[timedelta] = ()

    @property
    def is_warm(self) -> bool:
        """Return whether every popular part would have been answered by now."""
        return self.answers >= _WARM_ANSWERS

    def share(self, parts: Parts) -> float:
        """Return the share of requests whose prompt has all of these parts."""
        matching = sum(parts <= each for each in self.arrived)
        return (matching + 1) / (len(self.arrived) + 1)


@dataclass(frozen=True, slots=True)
class Cause:
    """Parts that are taken for the cause of crashes.

    `crashes` is the number of crashes for it. `strength` is the logarithm of
    how unlikely it is that as many requests with these parts were on crashed
    upstreams by chance. `is_certain` says that it is no popular part that just
    has not been answered yet.
    """

    parts: Parts
    crashes: int
    strength: float
    is_certain: bool


def find_cause(
    newest: PromptCrash,
    crashes: Collection[PromptCrash],
    traffic: PromptTraffic,
    known_causes: Collection[Parts],
) -> Cause | None:
    """Return the parts that the newest crash shows to be a cause.

    Args:
      newest: The newest crash.
      crashes: All recent crashes, the newest among them.
      traffic: What this daemon has seen of prompts.
      known_causes: Parts that are taken for the cause of crashes already.

    Returns:
      The likeliest cause, None if the evidence is too weak or ambiguous.
    """
    explained = {
        each.crash.life
        for each in crashes
        if any(cause <= each.parts for cause in known_causes)
    }
    measured = [
        _measure(parts, crashes, traffic)
        for parts in _common_parts(newest, crashes, traffic.answered)
        if _is_convincing(parts, crashes, traffic.answered, explained)
    ]
    causes = [each for each in measured if not _is_by_chance(each, traffic)]
    best = max(
        causes,
        key=lambda each: (each.strength, each.crashes, len(each.parts)),
        default=None,
    )
    if best is None or best.crashes >= _MANY_CRASHES:
        return best
    if any(_is_rival(other, best) for other in causes):
        return None
    return best


def _is_rival(other: Cause, best: Cause) -> bool:
    """Return whether another cause is nearly as likely as the best one."""
    if other.parts <= best.parts or best.parts <= other.parts:
        return False
    return other.strength >= _RIVAL_STRENGTH * best.strength


def _is_by_chance(cause: Cause, traffic: PromptTraffic) -> bool:
    """Return whether common parts were on crashed upstreams by chance.

    When ranks of a group crash together, nothing is answered until it is open
    again. A part that all requests have was then on each crashed rank, and is
    not answered afterwards. If it were taken for the cause, all requests would
    be refused, and none could be answered to end the quarantine.
    """
    if cause.strength >= _CERTAIN_STRENGTH:
        return False
    if len(traffic.arrived) < _MIN_ARRIVALS:
        return False
    if any(part in traffic.answered for part in cause.parts):
        return True
    return traffic.share(cause.parts) > _UBIQUITOUS_SHARE


def _measure(
    parts: Parts, crashes: Collection[PromptCrash], traffic: PromptTraffic
) -> Cause:
    batches = Counter(each.crash.life for each in crashes)
    share = traffic.share(parts)
    matching = [each.crash for each in crashes if parts <= each.parts]
    lives = {crash.life for crash in matching}
    strength = sum(
        -math.log(1 - (1 - share) ** batches[life]) for life in lives
    )
    strength += _strength_of_answers(parts, matching, traffic)
    certain = traffic.is_warm or strength >= _CERTAIN_STRENGTH
    return Cause(parts, count_crashes(parts, crashes), strength, certain)


def _strength_of_answers(
    parts: Parts, matching: Iterable[Crash], traffic: PromptTraffic
) -> float:
    """Return how unlikely it is that harmless parts are not answered.

    All answers since the first crash were to requests without these parts.
    """
    answered = [traffic.answered.get(part, timedelta.min) for part in parts]
    last_answer = max(answered)
    first_crash = min(
        (each.ended for each in matching if each.ended > last_answer),
        default=None,
    )
    if first_crash is None:
        return 0
    answers = sum(at > first_crash for at in traffic.answered_at)
    without = max(1 - traffic.share(parts), 1 / (len(traffic.arrived) + 2))
    return -math.log(without) * answers


def count_crashes(parts: Parts, crashes: Collection[PromptCrash]) -> int:
    """Count the independent crashes under requests with all of these parts.

    Args:
      parts: Parts of a prompt.
      crashes: The recent crashes.

    Returns:
      The number of crashes that don't share their cause with another one, at
      most the number of different requests.
    """
    matching = [each for each in crashes if parts <= each.parts]
    lives = {each.crash.life for each in matching}
    if len(lives) > 1:
        ends = _ends_by_life(crashes)
        matching = [
            each for each in matching if _is_common(each.crash, lives, ends)
        ]
    requests = {each.request for each in matching}
    return min(count_independent(_first_reports(matching)), len(requests))


def is_refuted(parts: Parts, crashes: Collection[PromptCrash]) -> bool:
    """Return whether the crashes do not show any more that parts are a cause.

    Args:
      parts: Parts that were taken for the cause of a crash.
      crashes: The recent crashes, with more reports than at the decision.

    Returns:
      Whether these crashes are too few without those of whole hosts. Without
      any crash under these parts nothing is refuted.
    """
    is_known = any(parts <= each.parts for each in crashes)
    return is_known and count_crashes(parts, crashes) < _MIN_CRASHES


def _unanswered_parts(
    parts: Parts, answered: Answers, since: timedelta
) -> Parts:
    """Return the parts that were never answered, or not since a crash."""
    never = frozenset(part for part in parts if part not in answered)
    if never:
        return never
    return frozenset(part for part in parts if answered[part] < since)


def _common_parts(
    newest: PromptCrash, crashes: Iterable[PromptCrash], answered: Answers
) -> set[Parts]:
    """Return what the newest crash has in common with each earlier one."""
    common = {
        _unanswered_parts(
            newest.parts & other.parts,
            answered,
            min(newest.crash.ended, other.crash.ended),
        )
        for other in crashes
        if other.crash.life != newest.crash.life
        and other.request != newest.request
    }
    return {parts for parts in common if parts}


def _is_convincing(
    parts: Parts,
    crashes: Collection[PromptCrash],
    answered: Answers,
    explained: Collection[IncarnationTag],
) -> bool:
    unexplained = [each for each in crashes if each.crash.life not in explained]
    answers = [answered[part] for part in parts if part in answered]
    if answers:
        last = max(answers)
        later = [each for each in unexplained if each.crash.ended > last]
        return count_crashes(parts, later) >= _MIN_CRASHES_AFTER_ANSWER
    new_crashes = count_crashes(parts, unexplained)
    if new_crashes >= _MIN_CRASHES:
        return True
    return new_crashes > 0 and count_crashes(parts, crashes) >= _MANY_CRASHES


def _first_reports(crashes: Iterable[PromptCrash]) -> list[Crash]:
    """Return the first report of each upstream's crash, in their order."""
    by_life: dict[IncarnationTag, Crash] = {}
    for each in sorted(crashes, key=_end_of):
        by_life.setdefault(each.crash.life, each.crash)
    return list(by_life.values())


def _ends_by_life(
    crashes: Iterable[PromptCrash],
) -> dict[IncarnationTag, timedelta]:
    return {each.crash.life: each.crash.ended for each in crashes}


def _is_common(
    crash: Crash,
    lives: Collection[IncarnationTag],
    ends: Mapping[IncarnationTag, timedelta],
) -> bool:
    """Return whether half of the upstreams that crashed then are in `lives`."""
    near = [
        life in lives
        for life, ended in ends.items()
        if abs(ended - crash.ended) < MASS_CRASH_WINDOW
    ]
    return 2 * sum(near) >= len(near)


def _end_of(crash: PromptCrash) -> timedelta:
    return crash.crash.ended
