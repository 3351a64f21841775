"""Tests of upstreams that ask a gateway to back off."""

from linnetwind.gateway_events import BackoffAsked
from standins.gateway_requests import GET


def _refuse(wanted):
    """Refuse each request and want no more for some seconds."""

    def script(connection, request):
        connection.answer(
            request, 'no', 503, Not_Executed='1', Retry_After=wanted
        )

    return script


def test_the_log_tells_of_a_pause_that_an_upstream_asked_for(gateway):
    gateway.add(_refuse('2.5'))
    gateway.ask(GET)
    asked = gateway.log.first(BackoffAsked)
    assert asked.request == 'call-1'
    assert asked.upstream == 'i-0'
    assert asked.backoff.total_seconds() == 2.5
    assert asked.left_before is None
