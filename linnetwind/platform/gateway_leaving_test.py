"""Tests of upstreams that say in their answers that they are leaving."""

import pytest

from linnetwind.gateway_events import UpstreamLeaves
from linnetwind.upstream_list import Registered
from standins.gateway_fixtures import make_upstream
from standins.gateway_requests import FRAGILE, GET, ONCE, STREAM
from standins.upstream_scripts import answer, stream

CALLS = 20


def _leave(connection, request):
    connection.answer(request, Server_Leaving='1')


def _leave_in_stream(connection, request):
    stream(connection, request, Server_Leaving='1')


def _refuse(connection, request):
    connection.answer(request, 'no', 503, Not_Executed='1', Server_Leaving='1')


def _statuses(gateway, text):
    return [gateway.ask(text)[0] for _call in range(CALLS)]


@pytest.mark.parametrize(
    ('text', 'leave', 'stay'),
    [
        (GET, _leave, answer),
        (ONCE, _leave, answer),
        (GET, _refuse, answer),
        (STREAM, _leave_in_stream, stream),
        (FRAGILE, _leave_in_stream, stream),
        (STREAM, _refuse, stream),
    ],
)
def test_an_upstream_that_says_it_leaves_gets_no_more(
    gateway, text, leave, stay
):
    """Guards against work for an upstream whose entry still says ready."""
    service = 'model' if text in {STREAM, FRAGILE} else 'plain'
    leaving = gateway.add(leave, service)
    gateway.add(stay, service)
    assert _statuses(gateway, text) == [200] * CALLS
    assert len(leaving.requests) <= 1
    if leaving.requests:
        assert gateway.log.first(UpstreamLeaves).upstream == 'i-0'


def test_a_later_entry_of_an_upstream_that_leaves_changes_nothing(gateway):
    """Guards against a heartbeat that brings a leaving upstream back."""
    leaving = gateway.add(_leave)
    assert gateway.ask(GET)[0] == 200
    entry = make_upstream('i-0', leaving.port)
    gateway.state.change_upstreams(
        lambda known: known.take([Registered('i-0', 9, entry)], 10)
    )
    assert gateway.ask(GET)[0] == 503
    assert len(leaving.requests) == 1


def test_a_leaving_upstream_that_starts_again_gets_work(gateway):
    leaving = gateway.add(_leave)
    gateway.ask(GET)
    reborn = make_upstream('i-0', leaving.port, born_ms=7)
    gateway.state.change_upstreams(
        lambda known: known.take([Registered('i-0', 9, reborn)], 10)
    )
    assert gateway.ask(GET)[0] == 200


@pytest.mark.parametrize('said', ['0', '', 'yes'])
def test_only_one_word_says_that_an_upstream_leaves(gateway, said):
    def script(connection, request):
        connection.answer(request, Server_Leaving=said)

    gateway.add(script)
    assert _statuses(gateway, GET) == [200] * CALLS
