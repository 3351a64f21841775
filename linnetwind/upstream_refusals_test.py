"""A replay of ranks that refuse part of their requests and ask to back off."""

import random
from datetime import UTC, datetime

from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.gateway_state import GatewayState
from linnetwind.peer_book import GroupBrief
from linnetwind.repeat_budget import BudgetTerms
from linnetwind.routes import RoutedService
from linnetwind.upstream_list import Registered
from standins.gateway_fixtures import MS, SECOND, make_engine, make_upstream

MODEL = RoutedService('model', '/health', 248, make_engine())
BACKOFF = 3 * SECOND
RANKS = 16
REFUSING = 5
REFUSED_SHARE = 0.4
# One gateway's part of 37 streams a second, for ten seconds.
STREAMS = 100
SPACING = 100 * MS
TRIES = 2
# An upstream bears what was on its way when it asked.
ON_THE_WAY = SECOND / 2


class RefusingRanks:
    """Ranks of which the first few refuse part of what they get."""

    def __init__(self, clock, state, *, names_backoffs):
        """Start without refusals; `names_backoffs`: they tell the gateway."""
        self._clock = clock
        self._state = state
        self._names_backoffs = names_backoffs
        self._asked = {}
        self._random = random.Random(3)
        self.in_backoffs = 0
        self.refused = 0

    def send(self, upstream) -> bool:
        """Return whether a rank takes a stream."""
        now = self._clock.elapsed()
        asked = self._asked.get(upstream.instance, -BACKOFF)
        self.in_backoffs += ON_THE_WAY < now - asked < BACKOFF
        refuses = int(upstream.instance) < REFUSING
        if not refuses or self._random.random() > REFUSED_SHARE:
            return True
        self.refused += 1
        self._asked[upstream.instance] = now
        if self._names_backoffs:
            self._state.books.backoffs.note(upstream.life, BACKOFF)
        return False


def _ask(state, ranks) -> bool:
    """Return whether a stream runs within its tries."""
    tried = set()
    for _try in range(TRIES):
        upstream = state.take_upstream(MODEL, frozenset(tried))
        runs = ranks.send(upstream)
        state.give_back(upstream)
        if runs:
            return True
        tried.add(upstream.instance)
    return False


def _play(*, names_backoffs):
    random.seed(7)
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    terms = BudgetTerms(10 * SECOND, 0.2, 88)
    state = GatewayState(clock, Address('127.0.0.1', 1), terms)
    entries = [
        make_upstream(str(rank), rank + 1, 'model') for rank in range(RANKS)
    ]
    records = [Registered(each.instance, 0, each) for each in entries]
    state.change_upstreams(lambda known: known.take(records, 1))
    lives = tuple(each.life for each in entries)
    ranks = RefusingRanks(clock, state, names_backoffs=names_backoffs)
    lost = 0
    for _stream in range(STREAMS):
        clock.advance(SPACING)
        told = GroupBrief('model', 'group', 1, True, 1.5, 0, lives)
        state.room.take_brief(told)
        lost += not _ask(state, ranks)
    return ranks, lost


def test_refusals_that_name_a_backoff_cost_one_try_each():
    """Guards against callers refused while other ranks have free slots."""
    ranks, lost = _play(names_backoffs=True)
    assert ranks.in_backoffs == 0
    assert lost == 0
    # Each of them once in that time; untold, they refuse more.
    times = STREAMS * SPACING / BACKOFF
    assert ranks.refused <= REFUSING * times
    assert _play(names_backoffs=False)[0].refused > ranks.refused
