"""Tests of the planner's connection to a rank, over sockets."""

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
    Look,
    PackedCounts,
    PackedPrepare,
    PackedSeen,
    count_lanes,
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
    """A rank's engine; what one host sees of it may be older."""

    def __init__(self, report=REPORT):
        self.now = report
        self.orders = []
        self.chosen = (1, 2, 3)

    def report(self):
        return self.now

    def counts(self):
        return RankCounts(1, 5, self.chosen)

    def experts(self):
        return None

    def order(self, order):
        self.orders.append(order)
        return OrderResult.BEGUN


@pytest.fixture(name='agent')
def _agent():
    engine = Engine(replace(REPORT, held=9))
    with socket.create_server(('127.0.0.1', 0)) as free:
        port = free.getsockname()[1]
    agent = RankAgent(
        'rank-1',
        Address('127.0.0.1', port),
        lambda: engine,
        SystemClock(),
        ListLog(),
    )

    def serve(sock: socket.socket) -> None:
        # As in the daemon: the connection is closed, whatever it raises.
        with sock, suppress(ConnectionError):
            agent._serve(sock)

    serve_in_threads(agent._listener, serve)
    yield Address('127.0.0.1', port), engine
    agent._listener.close()


def _link(address, engine):
    return RankLink(address, engine, SystemClock())


def test_a_hold_is_seen_at_once(agent):
    # An engine's report is some hundred milliseconds old for other hosts. A
    # planner that took that one after its hold would not see the hold and
    # place it again and again, while no pass begins: callers see a pause of
    # half a second with each new map.
    address, beside = agent
    from_here = Engine()
    order = HoldPass(9, 1, 1)
    obeyed = _link(address, from_here).command(order)
    assert from_here.orders == [order]
    assert beside.orders == []
    assert obeyed.report.held == 9


def test_a_map_arrives_as_it_was_sent_and_brings_the_report(agent):
    address, beside = agent
    order = PrepareMap(4, 1, 1, MAPS)
    obeyed = _link(address, Engine()).command(order)
    assert beside.orders == [order]
    assert obeyed.result is OrderResult.BEGUN
    assert obeyed.report == beside.now


def test_counts_arrive_as_they_were_read(agent):
    address, beside = agent
    seen = _link(address, Engine()).look(Look(with_counts=True))
    assert seen.counts == count_lanes(beside.counts())
    assert seen.report == beside.now


def test_counts_that_go_on_arrive_whole(agent):
    # Only what was counted since the last look goes over the link: of 192
    # ranks with 3,840 experts all counts took 61 Mbit/s into one planner.
    address, beside = agent
    link = _link(address, Engine())
    for chosen in ((1, 2, 3), (1, 2, 3), (9, 2, 4), (0, 0, 1)):
        beside.chosen = chosen
        seen = link.look(Look(with_counts=True))
        assert seen.counts == count_lanes(beside.counts())


def test_a_look_without_counts_leaves_the_next_difference_whole(agent):
    address, beside = agent
    link = _link(address, Engine())
    link.look(Look(with_counts=True))
    link.look(Look(with_counts=False))
    beside.chosen = (4, 4, 4)
    seen = link.look(Look(with_counts=True))
    assert seen.counts == count_lanes(beside.counts())


def test_counts_go_on_over_a_new_connection(agent):
    # The agent was killed between two looks, or the planner gave up on it.
    address, beside = agent
    link = _link(address, Engine())
    link.look(Look(with_counts=True))
    link.close()
    beside.chosen = (4, 4, 4)
    seen = link.look(Look(with_counts=True))
    assert seen.counts == count_lanes(beside.counts())


def test_a_rank_without_its_agent_is_ordered_directly():
    engine = Engine()
    with socket.create_server(('127.0.0.1', 0)) as free:
        nobody = Address('127.0.0.1', free.getsockname()[1])
    order = PrepareMap(4, 1, 1, MAPS)
    obeyed = _link(nobody, engine).command(order)
    assert engine.orders == [order]
    # Old by then, so that the planner looks at all ranks again.
    assert obeyed.report is None


def test_an_agent_that_talks_nonsense_is_passed_over():
    # Its counts cannot be read; the rank is asked directly instead.
    listener = socket.create_server(('127.0.0.1', 0))
    bad = PackedSeen(REPORT, PackedCounts(1, 1, b'123', 3), None)

    def serve(sock: socket.socket) -> None:
        with sock:
            receive_frame(sock)
            send_frame(sock, RANK_CODEC.encode(bad))

    serve_in_threads(listener, serve)
    address = Address(*listener.getsockname())
    seen = _link(address, Engine()).look(Look(with_counts=True))
    assert seen.counts is None
    assert seen.report == REPORT
    listener.close()


def test_an_agent_drops_a_planner_that_sends_no_map(agent):
    address, beside = agent
    with socket.create_connection((address.ip, address.port), 5) as sock:
        send_frame(sock, RANK_CODEC.encode(PackedPrepare(4, 1, 1, b'no map')))
        assert sock.recv(1) == b''
    assert beside.orders == []
