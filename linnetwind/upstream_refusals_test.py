"""Simulates ranks that refuse some of their requests and request backoffs."""

import random
from datetime import UTC, datetime

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import ManualClock
from linnetwind.gateway_state import GatewayState
from linnetwind.peers.peer_table import GroupSummary
from linnetwind.routes import RoutedService
from linnetwind.upstreams.upstream_list import UpstreamRecord
from standins.gateway_fixtures import MS, SECOND, make_engine, make_upstream

MODEL = RoutedService('model', '/health', 248, make_engine())
BACKOFF = 3 * SECOND
RANKS = 16
REFUSING = 5
REFUSED_SHARE = 0.4
# One gateway's share of 37 streams a second, for ten seconds.
STREAMS = 100
SPACING = 100 * MS
MAX_ATTEMPTS = 2
# Requests in flight when an upstream requests a backoff do not count.
IN_FLIGHT = SECOND / 2


class RefusingRanks:
    """Ranks of which the first few refuse some of their requests."""

    def __init__(self, clock, state, *, states_backoffs):
        """Start; if `states_backoffs`, refusals carry a backoff."""
        self._clock = clock
        self._state = state
        self._states_backoffs = states_backoffs
        self._refused_at = {}
        self._random = random.Random(3)
        self.sent_in_backoffs = 0
        self.refused = 0

    def send(self, upstream) -> bool:
        """Return whether a rank accepts a stream."""
        now = self._clock.elapsed()
        refused_at = self._refused_at.get(upstream.instance, -BACKOFF)
        self.sent_in_backoffs += IN_FLIGHT < now - refused_at < BACKOFF
        refuses = int(upstream.instance) < REFUSING
        if not refuses or self._random.random() > REFUSED_SHARE:
            return True
        self.refused += 1
        self._refused_at[upstream.instance] = now
        if self._states_backoffs:
            self._state.request_history.backoffs.record_backoff(
                upstream.life, BACKOFF
            )
        return False


def _run_stream(state, ranks) -> bool:
    """Return whether a stream runs within its attempts."""
    tried = set()
    for _attempt in range(MAX_ATTEMPTS):
        upstream = state.acquire_upstream(MODEL, frozenset(tried))
        runs = ranks.send(upstream)
        state.release_upstream(upstream)
        if runs:
            return True
        tried.add(upstream.instance)
    return False


def _simulate(*, states_backoffs):
    random.seed(7)
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    terms = RetryBudgetTerms(10 * SECOND, 0.2, 88)
    state = GatewayState(clock, Address('127.0.0.1', 1), terms)
    entries = [
        make_upstream(str(rank), rank + 1, 'model') for rank in range(RANKS)
    ]
    records = [UpstreamRecord(each.instance, 0, each) for each in entries]
    state.change_upstreams(lambda known: known.fold_records(records, 1))
    lives = tuple(each.life for each in entries)
    ranks = RefusingRanks(clock, state, states_backoffs=states_backoffs)
    failed = 0
    for _stream in range(STREAMS):
        clock.advance(SPACING)
        summary = GroupSummary('model', 'group', 1, True, 1.5, 0, lives)
        state.stream_admission.apply_summary(summary)
        failed += not _run_stream(state, ranks)
    return ranks, failed


def test_refusals_with_a_backoff_cost_one_attempt_each():
    """Guards against callers refused while other ranks have free slots."""
    ranks, failed = _simulate(states_backoffs=True)
    assert ranks.sent_in_backoffs == 0
    assert failed == 0
    # Each of these ranks refuses one stream in each backoff period; without
    # backoffs they refuse more.
    periods = STREAMS * SPACING / BACKOFF
    assert ranks.refused <= REFUSING * periods
    assert _simulate(states_backoffs=False)[0].refused > ranks.refused
