"""Synthetic demand for experts by topics whose popular experts change.

A share of the choices is common to all topics. The rest is chosen by topic, and
from time to time part of each topic's popular experts changes places with
others. Most tokens come from prompts, of which a group reads few at a time, so
that the topics' shares of the tokens vary from one poll to the next.
"""

import random
from dataclasses import dataclass

_TOPICS = 9
_TOPIC_POWER = 0.8
_EXPERT_POWER = 0.79
_COMMON_SHARE = 0.65
# Experts among which swaps choose: the most popular quarter of a layer.
_POPULAR_FRACTION = 4
_SWAPPED_SHARES = (0.62, 0.79)
_MAX_SHIFTS = 16
_PICKS_PER_TOKEN = 48
_GENERATED_PER_S = 50
_STREAM_DURATION_S = 2.0
# Prompt lengths in tokens follow a log-normal distribution.
_PROMPT_MEDIAN = 500
_PROMPT_SIGMA = 1.0

Layers = list[list[float]]


@dataclass(frozen=True)
class DemandTerms:
    """The size of the group's demand and the time between shifts.

    `shift_s` is the shortest and the longest time between two shifts in
    seconds; None for demand that never shifts. `batch` requests in a row have
    the same topic.
    """

    layers: int
    experts: int
    streams: int
    shift_s: tuple[float, float] | None
    batch: int = 1


class TopicDemand:
    """The demand of a group over time, the same for the same seed."""

    def __init__(self, terms: DemandTerms, seed: int) -> None:
        """Draw the popular experts and the topics of the running streams."""
        self._terms = terms
        self._random = random.Random(seed)
        self._common = self._draw_layers()
        self._topics = [self._draw_layers() for _topic in range(_TOPICS)]
        self._weights = [1 / (n + 1) ** _TOPIC_POWER for n in range(_TOPICS)]
        self._streams = self._draw_topics(terms.streams)
        self._tokens = [float(self._streams.count(n)) for n in range(_TOPICS)]
        self._now = float(0)
        self._shifts = 0
        self._shift_at = self._next_shift(0)

    def advance(self, now: float) -> None:
        """Run the streams until `now`, and shift popular experts if due."""
        elapsed, self._now = now - self._now, now
        ending = len(self._streams) * elapsed / _STREAM_DURATION_S
        starting = int(ending + self._random.random())
        self._random.shuffle(self._streams)
        started = self._draw_topics(starting)
        self._streams[:starting] = started
        generated = _GENERATED_PER_S * elapsed
        self._tokens = [
            1 + generated * self._streams.count(n) for n in range(_TOPICS)
        ]
        for topic in started:
            self._tokens[topic] += _PROMPT_MEDIAN * self._random.lognormvariate(
                0, _PROMPT_SIGMA
            )
        if now >= self._shift_at:
            self._shifts += 1
            self._shift_at = self._next_shift(now)
            share = self._random.uniform(*_SWAPPED_SHARES)
            for topic in self._topics:
                for layer in topic:
                    self._swap(layer, share)

    def demand(self) -> tuple[tuple[float, ...], ...]:
        """Return each expert's share of the last choices, by layer."""
        own = (1 - _COMMON_SHARE) / sum(self._tokens)
        shares = [own * tokens for tokens in self._tokens]
        return tuple(
            tuple(
                _COMMON_SHARE * common[expert]
                + sum(
                    share * topic[number][expert]
                    for share, topic in zip(shares, self._topics, strict=True)
                )
                for expert in range(self._terms.experts)
            )
            for number, common in enumerate(self._common)
        )

    def counts(self) -> list[int]:
        """Return how often each expert was chosen since the last poll."""
        picks = sum(self._tokens) * _PICKS_PER_TOKEN
        means = [picks * share for layer in self.demand() for share in layer]
        return [
            max(0, round(self._random.gauss(mean, mean**0.5))) for mean in means
        ]

    def _draw_layers(self) -> Layers:
        experts = range(self._terms.experts)
        weights = [1 / (n + 1) ** _EXPERT_POWER for n in experts]
        shares = [weight / sum(weights) for weight in weights]
        return [
            self._random.sample(shares, len(shares))
            for _layer in range(self._terms.layers)
        ]

    def _draw_topics(self, count: int) -> list[int]:
        batch = self._terms.batch
        topics = self._random.choices(
            range(_TOPICS), self._weights, k=count // batch + 1
        )
        return [topic for topic in topics for _each in range(batch)][:count]

    def _next_shift(self, now: float) -> float:
        if self._terms.shift_s is None or self._shifts >= _MAX_SHIFTS:
            return float('inf')
        return now + self._random.uniform(*self._terms.shift_s)

    def _swap(self, layer: list[float], share: float) -> None:
        order = sorted(range(len(layer)), key=layer.__getitem__, reverse=True)
        popular = order[: len(order) // _POPULAR_FRACTION]
        leaving = self._random.sample(popular, round(share * len(popular)))
        coming = self._random.sample(order[len(popular) :], len(leaving))
        for old, new in zip(leaving, coming, strict=True):
            layer[old], layer[new] = layer[new], layer[old]
