"""A map planner over two ranks of one group, without a network."""

from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import SystemClock
from linnetwind.experts.map_planner import MapPlanner
from linnetwind.gateway_state import GatewayState
from linnetwind.rank_messages import OrderReply, RankSnapshot, make_lane_counts
from linnetwind.rank_packing import join_counts
from linnetwind.rank_types import (
    OrderResult,
    RankCounts,
    RankExperts,
    RankReport,
)
from linnetwind.routes import RoutedService, RouteTable
from linnetwind.upstreams.upstream_list import UpstreamList, UpstreamRecord
from standins.gateway_fixtures import (
    make_engine,
    make_report,
    make_table,
    make_upstream,
)
from standins.gateway_harness import ListLog

ENGINE = make_engine(layers=1, experts=4, slots_per_rank=3)
PLANNED_SERVICE = RoutedService('model', '/health', 248, ENGINE)
_REPORT = make_report(born_ms=1)


class FakeMesh:
    """Leads unless configured otherwise, and records what is published."""

    def __init__(self):
        self.summaries = ()
        self.leading = True

    def leads(self):
        return self.leading

    def publish(self, summaries, *, can_plan):
        self.summaries = summaries


@dataclass
class FakeRank:
    """A rank and the orders that it has received."""

    report: RankReport
    counts: RankCounts
    experts: RankExperts
    orders: list = field(default_factory=list)
    restarts_at: type | None = None
    queries: Counter = field(default_factory=Counter)


class FakeRankLink:
    """A planner's link to the rank at an address."""

    def __init__(self, ranks, address):
        self._ranks = ranks
        self._address = address
        self.closed = False

    def query_state(self, query):
        rank = self._ranks.get(self._address.port)
        if rank is None:
            return RankSnapshot(None)
        rank.queries['experts'] += query.with_experts
        experts = rank.experts if query.with_experts else None
        counts = rank.counts if query.with_counts else None
        return RankSnapshot(rank.report, counts, experts)

    def command(self, order):
        rank = self._ranks[self._address.port]
        rank.orders.append(order)
        if rank.restarts_at and isinstance(order, rank.restarts_at):
            rank.report = replace(
                rank.report, born_ms=2, sequence=0, prepared=None
            )
            return OrderReply(OrderResult.STARTED, rank.report)
        return OrderReply(OrderResult.REFUSED, rank.report)

    def close(self):
        self.closed = True


class PlannerHarness:
    """A planner over two ranks at ports 81 and 82."""

    def __init__(self):
        terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
        clock = SystemClock()
        self.state = GatewayState(clock, Address('127.0.0.1', 1), terms)
        self.mesh = FakeMesh()
        self.ranks = {}
        self.links = []
        self.offset = 0
        self.planner = MapPlanner(
            self.state, self.mesh, self._open, clock, ListLog()
        )
        self.state.apply_table(_table())
        for rank in range(2):
            self.start(rank, 81 + rank, born_ms=1)

    def _open(self, upstream):
        link = FakeRankLink(self.ranks, upstream.address)
        self.links.append((upstream, link))
        return link

    def start(self, rank, port, born_ms, step=5, **changes):
        """Start an incarnation of a rank and register it."""
        held = ((0, 1), (2, 3))[rank]
        report = replace(_REPORT, rank=rank, born_ms=born_ms, **changes)
        epoch = report.epoch
        self.ranks[port] = FakeRank(
            report,
            make_lane_counts(RankCounts(epoch, step, (0, 0, 0, 0), born_ms)),
            RankExperts(epoch, report.map_version, (held,), born_ms),
        )
        entry = make_upstream(f'r{rank}', port, 'model', born_ms=born_ms)
        self.register(entry)

    def register(self, entry):
        """Add an entry to the list of upstreams."""
        record = UpstreamRecord(entry.instance, self.offset, entry)
        self.offset += 1
        self.state.change_upstreams(
            lambda known: known.fold_records([record], self.offset)
        )

    def read_by_key(self):
        """Read the whole list again, sorted by key instead of by age."""
        records = sorted(
            self.state.upstreams.records.values(),
            key=lambda each: each.instance,
        )
        self.state.change_upstreams(
            lambda _known: UpstreamList().fold_records(records, self.offset)
        )

    def drop(self, instance):
        """Remove an entry, as if its lease had expired."""
        record = UpstreamRecord(instance, self.offset, None)
        self.offset += 1
        self.state.change_upstreams(
            lambda known: known.fold_records([record], self.offset)
        )

    def count(self, port, step, *counts):
        """Set a rank's counts and the pass that it counted last."""
        rank = self.ranks[port]
        lanes = join_counts(counts)
        rank.counts = replace(rank.counts, step=step, lanes=lanes)

    def poll(self):
        """Poll once, with counts."""
        for service in self.planner._services.values():
            service.counted_at = timedelta()
        self.planner.run_once()
        return self.planner._services['model'].groups['g']


def _table():
    table = make_table()
    return RouteTable(
        table.version,
        {},
        {'model': PLANNED_SERVICE},
        table.limits,
        requires_key=False,
        customers_by_key={},
        priorities={},
    )
