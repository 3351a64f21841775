"""Tests of the planner's beliefs about ranks that start again."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta

import pytest

from linnetwind.address import Address
from linnetwind.clock import SystemClock
from linnetwind.gateway_state import GatewayState
from linnetwind.map_planner import MapPlanner
from linnetwind.rank_messages import Obeyed, Seen, count_lanes
from linnetwind.rank_packing import join_counts
from linnetwind.rank_types import (
    HoldPass,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankReport,
)
from linnetwind.repeat_budget import BudgetTerms
from linnetwind.routes import RoutedService, RouteTable
from linnetwind.upstream_list import Registered, UpstreamList
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
    """Leads unless told otherwise, and keeps what it is told."""

    def __init__(self):
        self.briefs = ()
        self.leading = True

    def leads(self):
        return self.leading

    def publish(self, briefs, *, can_plan):
        self.briefs = briefs


@dataclass
class Rank:
    """A rank and the orders that it got."""

    report: RankReport
    counts: RankCounts
    experts: RankExperts
    orders: list = field(default_factory=list)
    restarts_at: type | None = None
    looks: Counter = field(default_factory=Counter)


class Link:
    """A planner's link to the rank at an address."""

    def __init__(self, ranks, address):
        self._ranks = ranks
        self._address = address
        self.closed = False

    def look(self, wanted):
        rank = self._ranks.get(self._address.port)
        if rank is None:
            return Seen(None)
        rank.looks['experts'] += wanted.with_experts
        experts = rank.experts if wanted.with_experts else None
        counts = rank.counts if wanted.with_counts else None
        return Seen(rank.report, counts, experts)

    def command(self, order):
        rank = self._ranks[self._address.port]
        rank.orders.append(order)
        if rank.restarts_at and isinstance(order, rank.restarts_at):
            rank.report = replace(
                rank.report, born_ms=2, sequence=0, prepared=None
            )
            return Obeyed(OrderResult.BEGUN, rank.report)
        return Obeyed(OrderResult.REFUSED, rank.report)

    def close(self):
        self.closed = True


class Bed:
    """A planner over two ranks at ports 81 and 82."""

    def __init__(self):
        terms = BudgetTerms(timedelta(seconds=10), 0.2, 88)
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
        """Start a life of a rank, which registers."""
        held = ((0, 1), (2, 3))[rank]
        report = replace(REPORT, rank=rank, born_ms=born_ms, **changes)
        epoch = report.epoch
        self.ranks[port] = Rank(
            report,
            count_lanes(RankCounts(epoch, step, (0, 0, 0, 0), born_ms)),
            RankExperts(epoch, report.map_version, (held,), born_ms),
        )
        entry = make_upstream(f'r{rank}', port, 'model', born_ms=born_ms)
        self.register(entry)

    def register(self, entry):
        """Take an entry into the list."""
        record = Registered(entry.instance, self.offset, entry)
        self.offset += 1
        self.state.change_upstreams(
            lambda known: known.take([record], self.offset)
        )

    def read_by_key(self):
        """Read the whole list, which comes by its keys."""
        records = sorted(
            self.state.upstreams.records.values(),
            key=lambda each: each.instance,
        )
        self.state.change_upstreams(
            lambda _known: UpstreamList().take(records, self.offset)
        )

    def drop(self, instance):
        """Have an entry lapse."""
        record = Registered(instance, self.offset, None)
        self.offset += 1
        self.state.change_upstreams(
            lambda known: known.take([record], self.offset)
        )

    def count(self, port, step, *counts):
        """Have a rank count."""
        rank = self.ranks[port]
        lanes = join_counts(counts)
        rank.counts = replace(rank.counts, step=step, lanes=lanes)

    def look(self):
        """Look once, with counts."""
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


def test_a_rank_that_starts_again_elsewhere_is_reached_there(bed):
    # A worker crashes and starts again under its name, at another address.
    # The planner went on asking at the old one: it saw a rank less, and no
    # map came any more.
    bed.look()
    bed.ranks.pop(82)
    bed.start(1, 92, born_ms=2, epoch=2)
    bed.ranks[81].report = replace(bed.ranks[81].report, epoch=2)
    group = bed.look()
    assert sorted(group.reports) == [0, 1]
    assert [link.closed for _to, link in bed.links] == [False, True, False]


def test_a_map_held_by_the_life_before_is_not_taken_for_the_next(bed):
    # The rank starts again, and for a moment epoch and version look as before.
    # A plan made from what the life before held names copies that are gone.
    bed.look()
    group = bed.look()
    assert group.maps == (((0, 1), (2, 3)),)
    bed.start(1, 82, born_ms=2, epoch=1)
    bed.ranks[82].experts = replace(bed.ranks[82].experts, experts=((3,),))
    bed.look()
    group = bed.look()
    assert group.maps == (((0, 1), (3,)),)


def test_a_wish_made_before_a_rank_started_again_is_dropped(bed):
    bed.look()
    bed.count(81, 5, 0, 0, 0, 0)
    bed.count(81, 6, 9_000, 0, 0, 0)
    bed.count(82, 6, 0, 0, 0, 0)
    group = bed.look()
    assert group.wish is not None
    assert any(isinstance(each, PrepareMap) for each in bed.ranks[81].orders)
    wished = group.wish.version
    bed.start(1, 82, born_ms=2, step=6)
    group = bed.look()
    assert group.wish is None or group.wish.version != wished


def test_counts_of_the_life_before_are_no_base_of_the_next(bed):
    # The counts of a rank that starts again go back to nothing. Taken
    # together with those of the other ranks, they hid what these counted.
    bed.count(82, 5, 5_000, 0, 0, 0)
    bed.look()
    bed.start(1, 82, born_ms=2, step=7)
    bed.count(81, 7, 900, 0, 0, 0)
    group = bed.look()
    assert group.demand.recent[0] == pytest.approx(900)


def test_counts_and_report_of_two_lives_are_not_mixed(bed):
    # The agent reads counts, then the rank starts again, then it reads the
    # report.
    bed.look()
    bed.ranks[82].report = replace(bed.ranks[82].report, born_ms=2)
    bed.count(81, 6, 1_000, 0, 0, 0)
    bed.count(82, 6, 7_000, 0, 0, 0)
    group = bed.look()
    assert group.demand.recent[0] == pytest.approx(1_000)


def test_the_peers_are_told_which_life_is_slow(bed):
    # The list here is behind, and names the life before; the rank that
    # reports is the next one.
    report = replace(bed.ranks[82].report, pace=3.0, born_ms=2)
    bed.ranks[82].report = report
    bed.look()
    assert bed.mesh.briefs[0].slow == ('r1#2',)


def test_entries_of_dead_workers_do_not_end_a_plan_as_they_go(bed):
    # All streams of a group were late for two seconds after it had formed
    # anew. Its workers had registered again while their old entries stood on
    # for three heartbeats, and a rank answered by both. As the old entries
    # were dropped, one after the other, the planner believed that a rank had
    # restarted, forgot the group's map and planned it from the start.
    for rank in range(2):
        bed.start(rank, 81 + rank, born_ms=None)
        bed.register(make_upstream(f'a{rank}', 81 + rank, 'model'))
    bed.read_by_key()
    bed.look()
    group = bed.look()
    assert [group.ranks[rank].life for rank in range(2)] == ['a0', 'a1']
    maps = group.maps
    assert maps is not None
    for gone in ('r0', 'r1'):
        bed.drop(gone)
        bed.look()
        assert bed.look().maps is maps


def test_the_entry_of_the_life_that_answers_is_taken(bed):
    # The worker has started again under another name, and the entry of the
    # dead one stays for three heartbeats; both lead to one process.
    bed.register(make_upstream('z1', 82, 'model', born_ms=9))
    group = bed.look()
    assert group.ranks[1].upstream.instance == 'r1'
    bed.ranks[82].report = replace(bed.ranks[82].report, born_ms=9)
    group = bed.look()
    assert group.ranks[1].upstream.instance == 'z1'


def test_an_answer_of_the_next_life_is_not_taken_for_the_one_before(bed):
    # The rank starts again as it is ordered; the answer brings the report of
    # its next life. Taken for the one before, the wish stayed, though it was
    # planned from a map that this life does not hold.
    bed.look()
    bed.count(81, 6, 9_000, 0, 0, 0)
    wished = bed.look().wish.version
    for rank in bed.ranks.values():
        rank.report = replace(rank.report, prepared=wished)
        rank.orders.clear()
    bed.ranks[81].restarts_at = HoldPass
    group = bed.look()
    assert [type(each) for each in bed.ranks[81].orders] == [HoldPass]
    assert (group.wish, group.maps) == (None, None)
    assert group.ranks[0].life == 'r0#2'


def test_a_planner_that_was_overtaken_lets_the_other_finish(bed, monkeypatch):
    # Two gateways do not hear each other, and both plan. Each found its map
    # overtaken by the other's newer version and planned a still newer one at
    # once, which overtook the other's: "preparing for another planner",
    # "idle", "MapPlanned" by turns, twice a second, for 15 s and more. The
    # group kept its map, with a skew of 1.74, until one of them was gone.
    monkeypatch.setattr(random, 'random', lambda: 1.0)
    bed.look()
    bed.count(81, 6, 9_000, 0, 0, 0)
    bed.count(82, 6, 0, 0, 0, 0)
    wish = bed.look().wish
    assert wish is not None
    for rank in bed.ranks.values():
        rank.orders.clear()
        rank.report = replace(rank.report, prepared=wish.version + 1)
    for step in range(7, 12):
        bed.count(81, step, 9_000 * step, 0, 0, 0)
        bed.look()
    assert [each.orders for each in bed.ranks.values()] == [[], []]


def test_both_groups_of_a_service_get_maps(bed):
    # The ranks of two groups of one service have the same numbers. Taken for
    # one group, half of them are never planned for; while reports come in
    # another order, some ranks of each group are armed and others are not, and
    # the next pass of a group mixes two maps.
    for rank in range(2):
        bed.start(rank, 83 + rank, born_ms=1, group='h')
        bed.register(make_upstream(f'r{rank}', 81 + rank, 'model', born_ms=1))
        bed.register(make_upstream(f's{rank}', 83 + rank, 'model', born_ms=1))
    bed.look()
    for port in bed.ranks:
        bed.count(port, 5, 0, 0, 0, 0)
    bed.look()
    for port in (81, 83):
        bed.count(port, 6, 9_000, 0, 0, 0)
    for port in (82, 84):
        bed.count(port, 6, 0, 0, 0, 0)
    bed.look()
    prepared = {
        port
        for port, rank in bed.ranks.items()
        if any(isinstance(each, PrepareMap) for each in rank.orders)
    }
    assert prepared == {81, 82, 83, 84}


def test_a_planner_that_leads_again_goes_on_where_it_was(bed):
    # All hosts of a group lose power. The leader is blind for a second, hands
    # over, and leads again after a tenth of a second, since nobody sees more.
    # It opened all links anew each time and counted from nothing, and the
    # first map after the loss came seconds late.
    bed.look()
    group = bed.look()
    opened = len(bed.links)
    bed.mesh.leading = False
    bed.planner.run_once()
    bed.mesh.leading = True
    assert bed.look() is group
    assert len(bed.links) == opened
