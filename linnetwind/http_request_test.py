"""Tests of reading requests: who asks, for what, and may it be repeated."""

import hashlib
import json
from datetime import timedelta

import pytest

from linnetwind.config import (
    Base,
    CallPattern,
    Customer,
    Service,
    ServiceKind,
    Site,
    Upstream,
)
from linnetwind.http_request import (
    BLOCK_CHARACTERS,
    HttpRequest,
    check_request,
    prompt_blocks,
)
from linnetwind.outcome import Reason

KEY = 'secret'
UPSTREAM = Upstream('up-01', 'h', 'north')
BASE = Base(
    'demo',
    (Site('north', 'land'),),
    (
        Service('writer', ServiceKind.MODEL, (UPSTREAM,), max_body_bytes=1000),
        Service(
            'codes',
            ServiceKind.PLAIN,
            (UPSTREAM,),
            unrepeatable=(CallPattern('GET', '/fire'),),
        ),
    ),
    (Customer('c', hashlib.sha256(KEY.encode()).hexdigest()),),
)


def check(method='GET', path='/codes/x', body=b'', **headers):
    named = {key.replace('_', '-'): text for key, text in headers.items()}
    named.setdefault('x-api-key', KEY)
    request = HttpRequest(method, path, 'a=1', named, body)
    return check_request(request, BASE, 'id')


def chat(**facts):
    body = {'model': 'writer', 'messages': [{'content': 'hi'}], **facts}
    return check('POST', '/v1/chat/completions', json.dumps(body).encode())


def test_plain_call_keeps_method_path_query_and_headers():
    checked = check('PUT', '/codes/a/b', b'body', accept='x/y').unwrap()
    assert (checked.method, checked.path) == ('PUT', '/a/b?a=1')
    assert checked.body == b'body'
    assert checked.headers == (('accept', 'x/y'),)


REPEATABLE = [
    ('GET', '/codes/x', True),
    ('HEAD', '/codes/x', True),
    ('POST', '/codes/x', False),
    ('DELETE', '/codes/x', False),
    ('GET', '/codes/fire/1', False),
]


@pytest.mark.parametrize('row', REPEATABLE)
def test_what_may_be_repeated(row):
    method, path, expected = row
    assert check(method, path).unwrap().repeatable is expected


def test_key_belongs_to_customer_service_and_request():
    first = check('POST', idempotency_key='k').unwrap().idempotency
    same = check('POST', idempotency_key='k').unwrap().idempotency
    other = check('POST', body=b'x', idempotency_key='k').unwrap().idempotency
    assert first == same
    assert first.key == other.key
    assert first.fingerprint != other.fingerprint


def test_deadline_is_the_shorter_of_callers_and_services():
    assert check(x_deadline_ms='50').unwrap().timeout == timedelta(
        milliseconds=50
    )
    assert check(x_deadline_ms='999999999').unwrap().timeout == timedelta(
        seconds=30
    )
    assert check(x_deadline_ms='soon').unwrap().timeout == timedelta(seconds=30)


def test_chat_costs_its_prompt_and_longest_answer():
    checked = chat(max_tokens=7, stream=True).unwrap()
    assert checked.streamed
    assert checked.prompt_tokens > 0
    assert checked.tokens == checked.prompt_tokens + 7


REFUSED = [
    (lambda: check(x_api_key='wrong'), Reason.UNKNOWN_CUSTOMER),
    (lambda: check(path='/none/x'), Reason.UNKNOWN_SERVICE),
    (lambda: check(path='/writer/x'), Reason.UNKNOWN_SERVICE),
    (lambda: check(path='/codes'), Reason.UNKNOWN_SERVICE),
    (lambda: chat(model='codes'), Reason.UNKNOWN_SERVICE),
    (lambda: chat(model=3), Reason.BAD_REQUEST),
    (lambda: chat(messages='hi'), Reason.BAD_REQUEST),
    (lambda: chat(max_tokens=-1), Reason.BAD_REQUEST),
    (lambda: chat(max_tokens='x'), Reason.BAD_REQUEST),
    (lambda: chat(pad='x' * 1000), Reason.TOO_LARGE),
    (
        lambda: check('POST', '/v1/chat/completions', b'[' * 100_000),
        Reason.BAD_REQUEST,
    ),
    (lambda: check('POST', idempotency_key=''), Reason.BAD_REQUEST),
]


@pytest.mark.parametrize('index', range(len(REFUSED)))
def test_bad_request_is_refused_with_its_reason(index):
    ask, reason = REFUSED[index]
    assert ask().unwrap_err().reason is reason


def test_blocks_of_prompts_that_start_alike_are_alike():
    start = 'a' * BLOCK_CHARACTERS * 2
    one = prompt_blocks(f'{start}{"b" * BLOCK_CHARACTERS}')
    two = prompt_blocks(f'{start}{"c" * BLOCK_CHARACTERS}')
    assert len(one) == 3
    assert one[:2] == two[:2]
    assert one[2] != two[2]
