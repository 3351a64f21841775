"""Tests of the gateway in the platform's dialect, over real sockets."""

import socket

import pytest

from linnetwind.gateway_events import RequestEnded
from linnetwind.platform.headers import PlatformDialect
from standins.gateway_fixtures import make_table
from standins.gateway_harness import GatewayHarness
from standins.gateway_requests import GET, ONCE, SHORT


def _answer(connection, request):
    connection.answer(request)


def test_a_request_arrives_as_it_was_sent(gateway):
    upstream = gateway.add(_answer)
    status, headers, body = gateway.ask(GET)
    assert (status, body) == (200, b'answer')
    assert headers['Response-Seal'] == 'seal'
    seen = upstream.requests[0]
    assert (seen.method, seen.target) == ('GET', '/x/1?q=%2f')
    assert seen.headers['x-other'] == 'kept'
    assert seen.headers['tenant'] == 'customer'
    assert seen.headers['expect-instance'] == 'i-0'
    assert 0 < int(seen.headers['deadline-ms']) <= 3000
    assert 'authorization' not in seen.headers


def test_a_caller_cannot_name_its_own_customer(gateway):
    upstream = gateway.add(_answer)
    text = GET.replace('/x/', '/open/').replace(
        'Authorization: Bearer good', 'Tenant: other'
    )
    assert gateway.ask(text)[0] == 200
    assert 'tenant' not in upstream.requests[0].headers


@pytest.mark.parametrize(
    ('text', 'status'),
    [
        (GET.replace('/x/', '/none/'), 404),
        (GET.replace('a.example', 'b.example'), 404),
        (GET.replace('good', 'bad'), 401),
        (GET.replace('Authorization: Bearer good\n', ''), 401),
        ('GET /x/1 HTTP/1.1\nno colon', 400),
        (f'GET /x/1 HTTP/1.1\nHost: a.example\nX: {"y" * 30_000}', 431),
        (
            'POST /x/ HTTP/1.1\nHost: a\nContent-Length: 1\nContent-Length: 2',
            400,
        ),
        ('POST /x/ HTTP/1.1\nHost: a\nContent-Length: x', 400),
    ],
)
def test_what_cannot_be_served_is_refused_and_reaches_nobody(
    gateway, text, status
):
    upstream = gateway.add(_answer)
    assert gateway.ask(text)[0] == status
    assert upstream.requests == []


def test_a_body_that_is_too_long_is_refused(gateway):
    upstream = gateway.add(_answer)
    text = f'POST /x/ HTTP/1.1\nHost: a.example\nContent-Length: {10**6}'
    assert gateway.ask(text, b'x' * 70_000)[0] == 413
    assert upstream.requests == []


def test_a_request_within_a_body_is_not_run(gateway):
    # Both framings are given. A gateway that passes both on lets the upstream
    # read the body as a second request, which nobody has checked.
    upstream = gateway.add(_answer)
    inner = b'GET /x/2 HTTP/1.1\r\nHost: a.example\r\n\r\n'
    body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(inner), inner)
    text = GET.replace('GET', 'POST') + (
        'Content-Length: 4\nTransfer-Encoding: chunked\n'
    )
    status, _headers, _body = gateway.ask(text, body)
    assert status in {200, 400}
    assert [each.target for each in upstream.requests] in (
        [],
        ['/x/1?q=%2f'],
    )
    assert all(each.body == inner for each in upstream.requests)


def test_without_a_configuration_nothing_is_said_to_be_missing():
    # A daemon that has just started knows no routes and keys. 404 or 401
    # would be false; the caller is told to come back.
    harness = GatewayHarness(PlatformDialect(), None)
    harness._limits = lambda: make_table().limits
    status, headers, _body = harness.ask(GET)
    assert status == 503
    assert float(headers['Retry-After']) > 0
    harness.close()


def _cut(connection, request):
    connection.answer(request, 'half', Content_Length='8')


def _reset(connection, request):
    connection.reset()


def _garbage(connection, request):
    connection.send('no answer\r\n\r\n')


def _unsigned(connection, request):
    connection.answer(request, Response_Seal='')


def _foreign(connection, request):
    connection.answer(request, Attempt_Id='call-0')


def _reset_without_length(connection, request):
    connection.head(request)
    connection.send('half')
    connection.reset()


BROKEN = [_cut, _reset, _garbage, _unsigned, _foreign, _reset_without_length]


@pytest.mark.parametrize('script', BROKEN)
def test_a_broken_answer_is_replaced_by_another_upstreams(gateway, script):
    # The first upstream runs the request and breaks its answer in some way;
    # the caller gets the whole answer of the second one.
    bad = gateway.add(script)
    gateway.add(_answer)
    # Equal upstreams are taken at random; asked until the bad one was first.
    for _try in range(200):
        status, _headers, body = gateway.ask(GET)
        assert (status, body) == (200, b'answer')
        if bad.requests:
            break
    assert bad.requests


@pytest.mark.parametrize('script', BROKEN)
def test_an_upstream_that_fails_at_once_does_not_draw_requests(gateway, script):
    # Two upstreams break every answer, and quickly; the third is sound. Taken
    # for quick ones, the two would get every request.
    for _upstream in range(2):
        gateway.add(script)
    assert gateway.ask(GET)[0] == 502
    gateway.add(_answer)
    assert [gateway.ask(GET)[0] for _try in range(5)] == [200] * 5


@pytest.mark.parametrize('script', BROKEN)
def test_what_must_run_once_is_not_repeated(gateway, script):
    # The upstream ran the request, and its answer broke. A second run would
    # send a pairing code twice; "not run" would make the caller do it.
    upstreams = [gateway.add(script) for _upstream in range(3)]
    status, headers, _body = gateway.ask(ONCE)
    assert status == 502
    assert 'Retry-After' not in headers
    assert sum(len(each.requests) for each in upstreams) == 1


def _refuse(connection, request):
    connection.answer(request, '', 503, Not_Executed='1', Response_Seal='')


def test_a_refusal_of_all_upstreams_says_not_run(gateway):
    upstreams = [gateway.add(_refuse) for _upstream in range(3)]
    status, headers, _body = gateway.ask(ONCE)
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert sum(len(each.requests) for each in upstreams) == 2


def test_an_upstream_that_is_not_there_costs_no_attempt(gateway):
    with socket.create_server(('127.0.0.1', 0)) as closed:
        port = closed.getsockname()[1]
    gateway.add(_answer, port=port)
    gateway.add(_answer)
    assert [gateway.ask(ONCE)[0] for _try in range(4)] == [200] * 4


def test_another_instance_at_an_address_is_noted(gateway):
    # The host was replaced and its address is used by another upstream. It
    # says so once; nothing is sent there again for the former instance.
    def other(connection, request):
        connection.answer(request, '', 421, Instance_Id='i-other')

    stale = gateway.add(other)
    gateway.add(_answer)
    assert {gateway.ask(GET)[0] for _try in range(6)} == {200}
    assert len(stale.requests) <= 1


def test_a_failure_of_the_upstream_itself_is_passed_on(gateway):
    def fail(connection, request):
        connection.answer(request, 'why', 500)

    gateway.add(fail)
    status, headers, body = gateway.ask(GET)
    assert (status, body) == (500, b'why')
    assert headers['Response-Seal'] == 'seal'


def test_extra_bytes_after_an_answer_reach_nobody(gateway):
    def extra(connection, request):
        connection.answer(request)
        connection.answer(request, 'extra')

    gateway.add(extra)
    sock = gateway.call(GET)
    assert sock.recv(4096).endswith(b'answer')
    sock.sendall('\r\n'.join([*GET.splitlines(), '', '']).encode())
    assert sock.recv(4096).endswith(b'answer')
    sock.close()


def test_an_answer_that_ends_with_its_connection_is_whole(gateway):
    def unframed(connection, request):
        connection.head(request)
        connection.send('until the end')

    gateway.add(unframed)
    assert gateway.ask(GET)[2] == b'until the end'


def test_an_answer_may_come_before_a_long_body_was_read(gateway):
    upstream = gateway.add(_answer)
    body = b'x' * 60_000
    text = GET.replace('GET', 'POST') + f'Content-Length: {len(body)}\n'
    assert gateway.ask(text, body)[0] == 200
    assert upstream.requests[0].body == body


def test_a_request_gets_its_final_answer_at_the_timeout(gateway):
    # The upstream works longer than the route allows. The caller is told at
    # the timeout, and not that the request has not run.
    def silent(connection, request):
        connection.wait_for_end()

    upstream = gateway.add(silent)
    status, headers, _body = gateway.ask(SHORT)
    assert status == 504
    assert 'Retry-After' not in headers
    assert upstream.left.wait(10)
    assert gateway.log.first(RequestEnded).reason == 'no answer in time'
