"""Tests of the planner's connection to a rank and its agent, over sockets."""

import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from linnetwind.address import Address
from linnetwind.clock import SystemClock
from linnetwind.frames import receive_frame, send_frame
from linnetwind.rank_agent import RankAgent
from linnetwind.rank_link import RankLink
from linnetwind.rank_messages import (
    RANK_CODEC,
    PackedCounts,
    PackedPrepare,
    PackedRankSnapshot,
    RankQuery,
    make_lane_counts,
)
from linnetwind.rank_types import (
    HoldPass,
    OrderResult,
    PrepareMap,
    RankCounts,
)
from standins.gateway_fixtures import make_report
from standins.gateway_harness import ListLog
from standins.scripted_upstream import serve_in_threads

REPORT = make_report(size=1)
MAPS = (((0, 1), (2, 3)), ((3,), (0, 1, 2)))


class Engine:
    """A fake engine; each host may be given one with an older report."""

    def __init__(self, report=REPORT):
        self.current_report = report
        self.orders = []
        self.selected = (1, 2, 3)

    def report(self):
        return self.current_report

    def counts(self):
        return RankCounts(1, 5, self.selected)

    def experts(self):
        return None

    def order(self, order):
        self.orders.append(order)
        return OrderResult.STARTED


@pytest.fixture(name='agent')
def _agent():
    engine = Engine(replace(REPORT, held=9))
    with socket.create_server(('127.0.0.1', 0)) as probe:
        port = probe.getsockname()[1]
    agent = RankAgent(
        'rank-1',
        Address('127.0.0.1', port),
        lambda: engine,
        SystemClock(),
        ListLog(),
    )

    def serve(sock: socket.socket) -> None:
        # As in the daemon, the connection is closed whatever is raised.
        with sock, suppress(ConnectionError):
            agent._serve(sock)

    serve_in_threads(agent._listener, serve)
    yield Address('127.0.0.1', port), engine
    agent._listener.close()


def _link(address, engine):
    return RankLink(address, engine, SystemClock())


def test_a_hold_goes_to_the_engine_and_its_report_comes_from_the_agent(agent):
    # To other hosts, an engine serves a report that is some hundred
    # milliseconds old. A planner that used it after its hold would not see
    # the hold and would repeat it, while no pass starts: callers would get a
    # pause of half a second with each new map.
    address, local_engine = agent
    remote_engine = Engine()
    order = HoldPass(9, 1, 1)
    reply = _link(address, remote_engine).command(order)
    assert remote_engine.orders == [order]
    assert local_engine.orders == []
    assert reply.report.held == 9


def test_a_map_arrives_unchanged_and_the_reply_has_a_report(agent):
    address, local_engine = agent
    order = PrepareMap(4, 1, 1, MAPS)
    reply = _link(address, Engine()).command(order)
    assert local_engine.orders == [order]
    assert reply.result is OrderResult.STARTED
    assert reply.report == local_engine.current_report


def test_counts_arrive_unchanged(agent):
    address, local_engine = agent
    snapshot = _link(address, Engine()).query_state(RankQuery(with_counts=True))
    assert snapshot.counts == make_lane_counts(local_engine.counts())
    assert snapshot.report == local_engine.current_report


def test_counts_sent_as_differences_add_up_to_the_totals(agent):
    # Only what was counted since the last query is sent: for 192 ranks with
    # 3,840 experts, full counts took 61 Mbit/s into one planner.
    address, local_engine = agent
    link = _link(address, Engine())
    for selected in ((1, 2, 3), (1, 2, 3), (9, 2, 4), (0, 0, 1)):
        local_engine.selected = selected
        snapshot = link.query_state(RankQuery(with_counts=True))
        assert snapshot.counts == make_lane_counts(local_engine.counts())


def test_a_query_without_counts_does_not_break_the_next_difference(agent):
    address, local_engine = agent
    link = _link(address, Engine())
    link.query_state(RankQuery(with_counts=True))
    link.query_state(RankQuery(with_counts=False))
    local_engine.selected = (4, 4, 4)
    snapshot = link.query_state(RankQuery(with_counts=True))
    assert snapshot.counts == make_lane_counts(local_engine.counts())


def test_counts_are_complete_after_a_new_connection(agent):
    # The agent was killed between two queries, or the planner closed the
    # connection after a timeout.
    address, local_engine = agent
    link = _link(address, Engine())
    link.query_state(RankQuery(with_counts=True))
    link.close()
    local_engine.selected = (4, 4, 4)
    snapshot = link.query_state(RankQuery(with_counts=True))
    assert snapshot.counts == make_lane_counts(local_engine.counts())


def test_an_order_goes_to_the_engine_if_the_agent_is_down():
    engine = Engine()
    with socket.create_server(('127.0.0.1', 0)) as probe:
        unused_address = Address('127.0.0.1', probe.getsockname()[1])
    order = PrepareMap(4, 1, 1, MAPS)
    reply = _link(unused_address, engine).command(order)
    assert engine.orders == [order]
    # The engine's own report would be outdated. Without one, the planner
    # queries all ranks again.
    assert reply.report is None


def test_an_agent_that_sends_invalid_counts_is_bypassed():
    # The counts cannot be decoded, so the engine is queried directly.
    listener = socket.create_server(('127.0.0.1', 0))
    bad = PackedRankSnapshot(REPORT, PackedCounts(1, 1, b'123', 3), None)

    def serve(sock: socket.socket) -> None:
        with sock:
            receive_frame(sock)
            send_frame(sock, RANK_CODEC.encode(bad))

    serve_in_threads(listener, serve)
    address = Address(*listener.getsockname())
    snapshot = _link(address, Engine()).query_state(RankQuery(with_counts=True))
    assert snapshot.counts is None
    assert snapshot.report == REPORT
    listener.close()


def test_an_agent_disconnects_a_planner_that_sends_an_invalid_map(agent):
    address, local_engine = agent
    with socket.create_connection((address.ip, address.port), 5) as sock:
        send_frame(sock, RANK_CODEC.encode(PackedPrepare(4, 1, 1, b'no map')))
        assert sock.recv(1) == b''
    assert local_engine.orders == []
