"""Streams that many daemons place on ranks, with old news of each other."""

import heapq
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from linnetwind.upstreams.upstream_list import Upstream

Choose = Callable[[list[Upstream], Mapping[str, int]], Upstream]


@dataclass
class Placed:
    """What became of the streams."""

    streams: int = 0
    on_full_ranks: int = 0

    @property
    def share(self) -> float:
        """Return the share of streams that found all slots taken."""
        return self.on_full_ranks / self.streams


@dataclass(frozen=True)
class Load:
    """A steady load.

    `arrivals_per_s` streams last `length_s` each; each of the daemons hears
    of the others every `news_s`. Callers are spread over them unevenly.
    """

    daemons: int
    arrivals_per_s: float
    length_s: float
    news_s: float
    seconds: float = 15
    warm_up_s: float = 5


@dataclass
class _Daemon:
    own: dict[str, int] = field(default_factory=dict)
    told: dict[str, int] = field(default_factory=dict)

    def add(self, instance: str, change: int) -> None:
        self.own[instance] = self.own.get(instance, 0) + change


def place_streams(ranks: list[Upstream], load: Load, choose: Choose) -> Placed:
    """Play a load against a choice of ranks; the same each time.

    Args:
      ranks: The ranks.
      load: The load.
      choose: The choice under test, given the ranks and what runs there as a
        daemon knows it.

    Returns:
      How many streams found a free slot.
    """
    source = random.Random(7)
    daemons = [_Daemon() for _daemon in range(load.daemons)]
    weights = [source.uniform(0.3, 1.3) for _daemon in daemons]
    events = [(0.0, 0, 'arrive', None, None)]
    for number, daemon in enumerate(daemons):
        first = source.random() * load.news_s
        heapq.heappush(events, (first, number + 1, 'tell', daemon, None))
    placed = Placed()
    counter = len(events)
    while events[0][0] < load.seconds:
        now, _order, kind, daemon, instance = heapq.heappop(events)
        counter += 1
        if kind == 'tell':
            daemon.told = dict(daemon.own)
            following = (now + load.news_s, counter, 'tell', daemon, None)
        elif kind == 'end':
            daemon.add(instance, -1)
            continue
        else:
            daemon = source.choices(daemons, weights)[0]
            chosen = choose(ranks, _known(daemon, daemons))
            if now > load.warm_up_s:
                placed.streams += 1
                running = sum(
                    each.own.get(chosen.instance, 0) for each in daemons
                )
                placed.on_full_ranks += running >= chosen.slots
            daemon.add(chosen.instance, 1)
            end = now + load.length_s * source.uniform(0.5, 1.5)
            heapq.heappush(
                events, (end, -counter, 'end', daemon, chosen.instance)
            )
            pause = source.expovariate(load.arrivals_per_s)
            following = (now + pause, counter, 'arrive', None, None)
        heapq.heappush(events, following)
    return placed


def _known(daemon: _Daemon, daemons: list[_Daemon]) -> dict[str, int]:
    known = dict(daemon.own)
    for each in daemons:
        if each is not daemon:
            for instance, count in each.told.items():
                known[instance] = known.get(instance, 0) + count
    return known
