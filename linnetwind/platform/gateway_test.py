"""Tests of the gateway in the platform's dialect, over real sockets."""

import socket
from dataclasses import replace

import pytest

from linnetwind.gateway_events import RequestEnded, StreamRejected
from linnetwind.platform.headers import PlatformDialect
from standins.gateway_fixtures import make_table
from standins.gateway_harness import GatewayHarness
from standins.gateway_requests import GET, ONCE, SHORT


def _respond(connection, request):
    connection.answer(request)


def test_a_request_is_forwarded_with_the_platform_headers(gateway):
    upstream = gateway.add(_respond)
    status, headers, body = gateway.ask(GET)
    assert (status, body) == (200, b'answer')
    assert headers['Response-Seal'] == 'seal'
    received = upstream.requests[0]
    assert (received.method, received.target) == ('GET', '/x/1?q=%2f')
    assert received.headers['x-other'] == 'kept'
    assert received.headers['tenant'] == 'customer'
    assert received.headers['expect-instance'] == 'i-0'
    assert 0 < int(received.headers['deadline-ms']) <= 3000
    assert 'authorization' not in received.headers


def test_a_caller_cannot_set_its_own_customer(gateway):
    upstream = gateway.add(_respond)
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
def test_an_invalid_request_is_refused_and_not_forwarded(gateway, text, status):
    upstream = gateway.add(_respond)
    assert gateway.ask(text)[0] == status
    assert upstream.requests == []


def test_an_oversized_body_is_refused(gateway):
    upstream = gateway.add(_respond)
    text = f'POST /x/ HTTP/1.1\nHost: a.example\nContent-Length: {10**6}'
    assert gateway.ask(text, b'x' * 70_000)[0] == 413
    assert upstream.requests == []


def test_a_request_smuggled_in_a_body_is_not_run(gateway):
    # The request has both a `Content-Length` and a chunked body. If the gateway
    # forwarded both headers, the upstream could read the body as a second
    # request, which the gateway has not authorized.
    upstream = gateway.add(_respond)
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


def test_without_a_configuration_the_caller_is_told_to_retry():
    # A daemon that has just started knows no routes and keys, so 404 or 401
    # would be wrong. It responds with 503 and a `Retry-After`. The store is
    # unavailable for seconds then, and a caller that returns too early is lost.
    harness = GatewayHarness(PlatformDialect(), None)
    harness._limits = lambda: make_table().limits
    status, headers, _body = harness.ask(GET)
    assert status == 503
    assert 1.5 <= float(headers['Retry-After']) <= 2.5
    harness.close()


def test_a_rejected_stream_is_logged_with_the_priority_of_its_customer(gateway):
    # A customer's priority takes precedence over the route's. If it did not,
    # the streams of an urgent customer would wait behind batch streams.
    table = replace(gateway.state.table, version=2, priorities={'customer': 3})
    gateway.state.apply_table(table)
    status, headers, _body = gateway.ask(GET.replace('/x/', '/stream/'))
    assert status == 503
    rejected = gateway.log.first(StreamRejected)
    assert rejected.priority // 10 == 3
    assert rejected.customer == 'customer'
    assert rejected.service == 'model'
    assert (rejected.room, rejected.reason) == (0, 'no room in time')
    told = float(headers['Retry-After'])
    assert told == pytest.approx(rejected.retry_after.total_seconds(), abs=0.01)
    assert gateway.log.first(RequestEnded).priority == rejected.priority


def _cut_body(connection, request):
    connection.answer(request, 'half', Content_Length='8')


def _reset_connection(connection, request):
    connection.reset()


def _send_garbage(connection, request):
    connection.send('no answer\r\n\r\n')


def _respond_unsigned(connection, request):
    connection.answer(request, Response_Seal='')


def _respond_to_other_attempt(connection, request):
    connection.answer(request, Attempt_Id='call-0')


def _reset_without_length(connection, request):
    connection.head(request)
    connection.send('half')
    connection.reset()


FAILING_SCRIPTS = [
    _cut_body,
    _reset_connection,
    _send_garbage,
    _respond_unsigned,
    _respond_to_other_attempt,
    _reset_without_length,
]


@pytest.mark.parametrize('script', FAILING_SCRIPTS)
def test_a_failed_attempt_is_retried_at_another_upstream(gateway, script):
    # The first upstream runs the request, but its response fails in some way.
    # The caller gets the complete response of the second upstream.
    bad = gateway.add(script)
    gateway.add(_respond)
    # The gateway picks one of two equal upstreams at random. Requests are sent
    # until it has picked the failing one.
    for _try in range(200):
        status, _headers, body = gateway.ask(GET)
        assert (status, body) == (200, b'answer')
        if bad.requests:
            break
    assert bad.requests


@pytest.mark.parametrize('script', FAILING_SCRIPTS)
def test_upstreams_that_fail_fast_do_not_attract_requests(gateway, script):
    # Two upstreams fail every request quickly; the third is healthy. If their
    # short response times counted, the two would get every request.
    for _upstream in range(2):
        gateway.add(script)
    assert gateway.ask(GET)[0] == 502
    gateway.add(_respond)
    assert [gateway.ask(GET)[0] for _try in range(5)] == [200] * 5


@pytest.mark.parametrize('script', FAILING_SCRIPTS)
def test_a_request_that_must_run_once_is_not_retried(gateway, script):
    # The upstream ran the request and its response failed. A retry would send a
    # pairing code twice, and so would the caller if it were told "not run".
    upstreams = [gateway.add(script) for _upstream in range(3)]
    status, headers, _body = gateway.ask(ONCE)
    assert status == 502
    assert 'Retry-After' not in headers
    assert sum(len(each.requests) for each in upstreams) == 1


def _refuse(connection, request):
    connection.answer(request, '', 503, Not_Executed='1', Response_Seal='')


@pytest.mark.parametrize('text', [GET, ONCE])
def test_an_upstream_that_refuses_all_requests_gets_few(gateway, text):
    # Its refusals were recorded as quick answers, which attracted requests. A
    # request that was refused is sent to another upstream, also if it must
    # run at most once.
    refusing = gateway.add(_refuse)
    assert gateway.ask(text)[0] == 503
    for _upstream in range(2):
        gateway.add(_respond)
    assert {gateway.ask(text)[0] for _request in range(40)} == {200}
    assert len(refusing.requests) < 5


def test_if_all_upstreams_refuse_the_caller_may_retry(gateway):
    upstreams = [gateway.add(_refuse) for _upstream in range(3)]
    status, headers, _body = gateway.ask(ONCE)
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert sum(len(each.requests) for each in upstreams) == 2


def test_an_unreachable_upstream_costs_no_attempt(gateway):
    with socket.create_server(('127.0.0.1', 0)) as closed:
        port = closed.getsockname()[1]
    gateway.add(_respond, port=port)
    gateway.add(_respond)
    assert [gateway.ask(ONCE)[0] for _try in range(4)] == [200] * 4


def test_a_replaced_instance_gets_no_more_requests(gateway):
    # The host was replaced, and another upstream now uses its address. After
    # one 421 response, the gateway sends nothing there for the former instance.
    def misdirected(connection, request):
        connection.answer(request, '', 421, Instance_Id='i-other')

    stale = gateway.add(misdirected)
    gateway.add(_respond)
    assert {gateway.ask(GET)[0] for _try in range(6)} == {200}
    assert len(stale.requests) <= 1


def test_an_error_response_of_the_upstream_is_relayed(gateway):
    def fail(connection, request):
        connection.answer(request, 'why', 500)

    gateway.add(fail)
    status, headers, body = gateway.ask(GET)
    assert (status, body) == (500, b'why')
    assert headers['Response-Seal'] == 'seal'


def test_extra_bytes_after_a_response_are_discarded(gateway):
    def respond_twice(connection, request):
        connection.answer(request)
        connection.answer(request, 'extra')

    gateway.add(respond_twice)
    sock = gateway.call(GET)
    assert sock.recv(4096).endswith(b'answer')
    sock.sendall('\r\n'.join([*GET.splitlines(), '', '']).encode())
    assert sock.recv(4096).endswith(b'answer')
    sock.close()


def test_a_response_may_end_with_its_connection(gateway):
    def respond_without_length(connection, request):
        connection.head(request)
        connection.send('until the end')

    gateway.add(respond_without_length)
    assert gateway.ask(GET)[2] == b'until the end'


def test_a_long_body_is_forwarded_completely(gateway):
    upstream = gateway.add(_respond)
    body = b'x' * 60_000
    text = GET.replace('GET', 'POST') + f'Content-Length: {len(body)}\n'
    assert gateway.ask(text, body)[0] == 200
    assert upstream.requests[0].body == body


def test_a_request_gets_its_final_response_at_the_timeout(gateway):
    # The upstream takes longer than the route's timeout. At the timeout, the
    # caller gets a 504 that does not claim that the request has not run.
    def silent(connection, request):
        connection.wait_for_end()

    upstream = gateway.add(silent)
    status, headers, _body = gateway.ask(SHORT)
    assert status == 504
    assert 'Retry-After' not in headers
    assert upstream.left.wait(10)
    assert gateway.log.first(RequestEnded).reason == 'no answer in time'
