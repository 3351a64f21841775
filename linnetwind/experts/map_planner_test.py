"""Tests of the planner: ranks that restart, and planners that compete."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta

import pytest

from linnetwind.address import Address
from linnetwind.clock import SystemClock
from linnetwind.experts.copy_payback import USUAL_LIFE
from linnetwind.experts.map_planner import MapPlanner
from linnetwind.gateway_events import MapPlanned
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.gateway_state import GatewayState
from linnetwind.rank_messages import OrderReply, RankSnapshot, make_lane_counts
from linnetwind.rank_packing import join_counts
from linnetwind.rank_types import (
    HoldPass,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankReport,
)
from linnetwind.routes import RoutedService, RouteTable
from linnetwind.shared_retry_budget import RetryBudgetTerms
from linnetwind.upstreams.upstream_list import UpstreamList, UpstreamRecord
from standins.gateway_fixtures import (
    make_engine,
    make_report,
    make_table,
    make_upstream,
)
from standins.gateway_harness import ListLog

ENGINE = make_engine(layers=1, experts=4, slots_per_rank=3)
MODEL = RoutedService('model', '/health', 248, ENGINE)
REPORT = make_report(born_ms=1)


class Mesh:
    """Leads unless configured otherwise, and records what is published."""

    def __init__(self):
        self.summaries = ()
        self.leading = True

    def leads(self):
        return self.leading

    def publish(self, summaries, *, can_plan):
        self.summaries = summaries


@dataclass
class Rank:
    """A rank and the orders that it has received."""

    report: RankReport
    counts: RankCounts
    experts: RankExperts
    orders: list = field(default_factory=list)
    restarts_at: type | None = None
    queries: Counter = field(default_factory=Counter)


class Link:
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


class Bed:
    """A planner over two ranks at ports 81 and 82."""

    def __init__(self):
        terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
        clock = SystemClock()
        self.state = GatewayState(clock, Address('127.0.0.1', 1), terms)
        self.mesh = Mesh()
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
        link = Link(self.ranks, upstream.address)
        self.links.append((upstream, link))
        return link

    def start(self, rank, port, born_ms, step=5, **changes):
        """Start an incarnation of a rank and register it."""
        held = ((0, 1), (2, 3))[rank]
        report = replace(REPORT, rank=rank, born_ms=born_ms, **changes)
        epoch = report.epoch
        self.ranks[port] = Rank(
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
    return RouteTable(table.version, {}, {'model': MODEL}, table.limits, {}, {})


@pytest.fixture(name='bed')
def _bed():
    return Bed()


def test_a_rank_restarted_at_another_address_is_polled_there(bed):
    # A worker crashes and restarts under its name at another address. The
    # planner kept polling the old address: it saw one rank less than the group
    # has, and planned no more maps.
    bed.poll()
    bed.ranks.pop(82)
    bed.start(1, 92, born_ms=2, epoch=2)
    bed.ranks[81].report = replace(bed.ranks[81].report, epoch=2)
    group = bed.poll()
    assert sorted(group.reports) == [0, 1]
    assert [link.closed for _to, link in bed.links] == [False, True, False]


def test_a_map_of_the_previous_incarnation_is_not_reused(bed):
    # The rank restarts, and for a moment its epoch and map version look as
    # before. A plan made from the experts of the previous incarnation names
    # copies that no longer exist.
    bed.poll()
    group = bed.poll()
    assert group.maps == (((0, 1), (2, 3)),)
    bed.start(1, 82, born_ms=2, epoch=1)
    bed.ranks[82].experts = replace(bed.ranks[82].experts, experts=((3,),))
    bed.poll()
    group = bed.poll()
    assert group.maps == (((0, 1), (3,)),)


def test_a_target_map_is_dropped_when_a_rank_restarts(bed):
    bed.poll()
    bed.count(81, 5, 0, 0, 0, 0)
    bed.count(81, 6, 9_000, 0, 0, 0)
    bed.count(82, 6, 0, 0, 0, 0)
    group = bed.poll()
    assert group.target is not None
    assert any(isinstance(each, PrepareMap) for each in bed.ranks[81].orders)
    target_version = group.target.version
    bed.start(1, 82, born_ms=2, step=6)
    group = bed.poll()
    assert group.target is None or group.target.version != target_version


def test_counts_of_a_previous_incarnation_are_not_subtracted(bed):
    # The counts of a restarted rank start again from 0. Their negative
    # difference, added to the counts of the other ranks, cancelled part of what
    # those had counted.
    bed.count(82, 5, 5_000, 0, 0, 0)
    bed.poll()
    bed.start(1, 82, born_ms=2, step=7)
    bed.count(81, 7, 900, 0, 0, 0)
    group = bed.poll()
    assert group.demand.recent[0] == pytest.approx(900)


def test_counts_and_report_of_two_incarnations_are_not_mixed(bed):
    # The agent reads the counts, then the rank restarts, then the agent reads
    # the report.
    bed.poll()
    bed.ranks[82].report = replace(bed.ranks[82].report, born_ms=2)
    bed.count(81, 6, 1_000, 0, 0, 0)
    bed.count(82, 6, 7_000, 0, 0, 0)
    group = bed.poll()
    assert group.demand.recent[0] == pytest.approx(1_000)


def test_peers_learn_which_incarnation_is_slow(bed):
    # The list of upstreams is outdated and names the previous incarnation; the
    # report comes from the next one.
    report = replace(bed.ranks[82].report, pace=3.0, born_ms=2)
    bed.ranks[82].report = report
    bed.poll()
    assert bed.mesh.summaries[0].slow == ('r1#2',)


def test_dropped_entries_of_dead_workers_keep_the_map(bed):
    # After a group had formed again, all its streams were late for two seconds.
    # Its workers had registered again while their old entries remained for
    # three heartbeats, so that each rank replied through both entries. As the
    # old entries were dropped one by one, the planner took this for a restart,
    # discarded the group's map and planned it from the start.
    for rank in range(2):
        bed.start(rank, 81 + rank, born_ms=None)
        bed.register(make_upstream(f'a{rank}', 81 + rank, 'model'))
    bed.read_by_key()
    bed.poll()
    group = bed.poll()
    assert [group.ranks[rank].life for rank in range(2)] == ['a0', 'a1']
    maps = group.maps
    assert maps is not None
    for dropped in ('r0', 'r1'):
        bed.drop(dropped)
        bed.poll()
        assert bed.poll().maps is maps


def test_the_entry_of_the_replying_incarnation_is_used(bed):
    # The worker has restarted under another name, and the entry of its previous
    # incarnation stays for three heartbeats; both entries lead to the same
    # process.
    bed.register(make_upstream('z1', 82, 'model', born_ms=9))
    group = bed.poll()
    assert group.ranks[1].upstream.instance == 'r1'
    bed.ranks[82].report = replace(bed.ranks[82].report, born_ms=9)
    group = bed.poll()
    assert group.ranks[1].upstream.instance == 'z1'


def test_a_reply_of_the_next_incarnation_drops_the_target_map(bed):
    # The rank restarts while it receives an order, and the reply carries the
    # report of its next incarnation. When that report was attributed to the
    # previous incarnation, the target map stayed, although it was planned from
    # a map that the new incarnation does not hold.
    bed.poll()
    bed.count(81, 6, 9_000, 0, 0, 0)
    target_version = bed.poll().target.version
    for rank in bed.ranks.values():
        rank.report = replace(rank.report, prepared=target_version)
        rank.orders.clear()
    bed.ranks[81].restarts_at = HoldPass
    group = bed.poll()
    assert [type(each) for each in bed.ranks[81].orders] == [HoldPass]
    assert (group.target, group.maps) == (None, None)
    assert group.ranks[0].life == 'r0#2'


def test_a_superseded_planner_lets_the_other_finish(bed, monkeypatch):
    # Two gateways cannot reach each other, and both plan. Each found its map
    # superseded by the newer version of the other and immediately planned a
    # still newer one, which superseded the other's in turn: the stages
    # "preparing for another planner" and "idle" and the event "MapPlanned"
    # alternated twice a second for 15 s and more. The group kept its map, with
    # a skew of 1.74, until one of the planners was gone.
    monkeypatch.setattr(random, 'random', lambda: 1.0)
    bed.poll()
    bed.count(81, 6, 9_000, 0, 0, 0)
    bed.count(82, 6, 0, 0, 0, 0)
    target = bed.poll().target
    assert target is not None
    for rank in bed.ranks.values():
        rank.orders.clear()
        rank.report = replace(rank.report, prepared=target.version + 1)
    for step in range(7, 12):
        bed.count(81, step, 9_000 * step, 0, 0, 0)
        bed.poll()
    assert [each.orders for each in bed.ranks.values()] == [[], []]


def test_both_groups_of_a_service_get_maps(bed):
    # The ranks of two groups of one service have the same numbers. If they are
    # treated as one group, half of them never get a map. If reports also arrive
    # in another order, some ranks of each group are armed and others are not,
    # and the next pass of a group mixes two maps.
    for rank in range(2):
        bed.start(rank, 83 + rank, born_ms=1, group='h')
        bed.register(make_upstream(f'r{rank}', 81 + rank, 'model', born_ms=1))
        bed.register(make_upstream(f's{rank}', 83 + rank, 'model', born_ms=1))
    bed.poll()
    for port in bed.ranks:
        bed.count(port, 5, 0, 0, 0, 0)
    bed.poll()
    for port in (81, 83):
        bed.count(port, 6, 9_000, 0, 0, 0)
    for port in (82, 84):
        bed.count(port, 6, 0, 0, 0, 0)
    bed.poll()
    prepared = {
        port
        for port, rank in bed.ranks.items()
        if any(isinstance(each, PrepareMap) for each in rank.orders)
    }
    assert prepared == {81, 82, 83, 84}


def test_a_planner_that_leads_again_keeps_its_state(bed):
    # All hosts of a group lose power. The leader reaches no rank for a second,
    # hands the lead over, and gets it back after a tenth of a second, since no
    # other daemon reaches a rank either. Each time it opened all links again
    # and counted from 0, and the first map after the power loss came seconds
    # late.
    bed.poll()
    group = bed.poll()
    opened = len(bed.links)
    bed.mesh.leading = False
    bed.planner.run_once()
    bed.mesh.leading = True
    assert bed.poll() is group
    assert len(bed.links) == opened


def test_counts_that_jump_back_are_no_shift_of_demand(bed):
    # A rank restarts in the same epoch and counts from 0. A shift found there
    # would shorten the expected life of all later plans.
    for step in range(6, 12):
        bed.count(81, step, 900 * step, 300 * step, 0, 0)
        bed.count(82, step, 900 * step, 300 * step, 0, 0)
        group = bed.poll()
    lasting = group.lasting
    bed.start(1, 82, born_ms=2, step=0)
    group = bed.poll()
    assert group.lasting is lasting
    assert group.shifts.shifted_at is None


def test_a_planned_map_is_logged_and_counted_with_its_copies(bed):
    # Copies cost more than anything else, and moves alone do not show their
    # size.
    bed.poll()
    bed.count(81, 6, 9_000, 0, 0, 0)
    bed.count(82, 6, 0, 0, 0, 0)
    bed.poll()
    (event,) = (
        each for each in bed.planner._log.events if isinstance(each, MapPlanned)
    )
    assert event.moves > 0
    assert event.copies_gb == pytest.approx(event.moves * ENGINE.expert_gb)
    assert event.life == USUAL_LIFE
    metrics = GatewayMetrics()
    metrics.observe(event)
    line = f'linnetwind_expert_copies_gigabytes_total {event.copies_gb}\n'
    assert line in metrics.render().decode()
