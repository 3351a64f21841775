"""Tests of upstreams that announce in a response that they are leaving."""

import pytest

from linnetwind.gateway_events import UpstreamLeaves
from linnetwind.upstreams.upstream_list import UpstreamRecord
from standins.gateway_fixtures import make_upstream
from standins.gateway_requests import FRAGILE, GET, ONCE, STREAM
from standins.upstream_scripts import answer, stream

CALLS = 20


def _respond_leaving(connection, request):
    connection.answer(request, Server_Leaving='1')


def _stream_leaving(connection, request):
    stream(connection, request, Server_Leaving='1')


def _refuse_leaving(connection, request):
    connection.answer(request, 'no', 503, Not_Executed='1', Server_Leaving='1')


def _statuses(gateway, text):
    return [gateway.ask(text)[0] for _call in range(CALLS)]


@pytest.mark.parametrize(
    ('text', 'leaving_script', 'staying_script'),
    [
        (GET, _respond_leaving, answer),
        (ONCE, _respond_leaving, answer),
        (GET, _refuse_leaving, answer),
        (STREAM, _stream_leaving, stream),
        (FRAGILE, _stream_leaving, stream),
        (STREAM, _refuse_leaving, stream),
    ],
)
def test_a_leaving_upstream_gets_no_more_requests(
    gateway, text, leaving_script, staying_script
):
    """Guards against requests to an upstream whose entry is still `ready`."""
    service = 'model' if text in {STREAM, FRAGILE} else 'plain'
    leaving = gateway.add(leaving_script, service)
    gateway.add(staying_script, service)
    assert _statuses(gateway, text) == [200] * CALLS
    assert len(leaving.requests) <= 1
    if leaving.requests:
        assert gateway.log.first(UpstreamLeaves).upstream == 'i-0'


def test_a_later_entry_does_not_bring_a_leaving_upstream_back(gateway):
    """Guards against a heartbeat that makes a leaving upstream usable."""
    leaving = gateway.add(_respond_leaving)
    assert gateway.ask(GET)[0] == 200
    entry = make_upstream('i-0', leaving.port)
    gateway.state.change_upstreams(
        lambda known: known.fold_records([UpstreamRecord('i-0', 9, entry)], 10)
    )
    assert gateway.ask(GET)[0] == 503
    assert len(leaving.requests) == 1


def test_a_leaving_upstream_gets_requests_after_a_restart(gateway):
    leaving = gateway.add(_respond_leaving)
    gateway.ask(GET)
    restarted = make_upstream('i-0', leaving.port, born_ms=7)
    gateway.state.change_upstreams(
        lambda known: known.fold_records(
            [UpstreamRecord('i-0', 9, restarted)], 10
        )
    )
    assert gateway.ask(GET)[0] == 200


@pytest.mark.parametrize('header', ['0', '', 'yes'])
def test_other_header_values_do_not_mark_an_upstream_as_leaving(
    gateway, header
):
    def script(connection, request):
        connection.answer(request, Server_Leaving=header)

    gateway.add(script)
    assert _statuses(gateway, GET) == [200] * CALLS
