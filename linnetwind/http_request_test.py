"""Tests of the authentication, parsing and validation of requests."""

import hashlib
import json
from dataclasses import replace
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


def check(method='GET', path='/codes/x', body=b'', base=BASE, **headers):
    lowercase_headers = {
        key.replace('_', '-'): text for key, text in headers.items()
    }
    lowercase_headers.setdefault('x-api-key', KEY)
    request = HttpRequest(method, path, 'a=1', lowercase_headers, body)
    return check_request(request, base, 'id')


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
def test_only_safe_methods_not_listed_in_the_configuration_are_repeatable(row):
    method, path, expected = row
    assert check(method, path).unwrap().repeatable is expected


def test_idempotency_fingerprint_depends_on_the_body():
    first = check('POST', idempotency_key='k').unwrap().idempotency
    same = check('POST', idempotency_key='k').unwrap().idempotency
    other = check('POST', body=b'x', idempotency_key='k').unwrap().idempotency
    assert first == same
    assert first.key == other.key
    assert first.fingerprint != other.fingerprint


def test_timeout_is_the_minimum_of_caller_and_service():
    assert check(x_deadline_ms='50').unwrap().timeout == timedelta(
        milliseconds=50
    )
    assert check(x_deadline_ms='999999999').unwrap().timeout == timedelta(
        seconds=30
    )
    assert check(x_deadline_ms='soon').unwrap().timeout == timedelta(seconds=30)


def test_chat_tokens_are_the_prompt_and_max_tokens():
    checked = chat(max_tokens=7, stream=True).unwrap()
    assert checked.streamed
    assert checked.prompt_tokens > 0
    assert checked.tokens == checked.prompt_tokens + 7


@pytest.mark.parametrize('headers', [{}, {'authorization': 'Bearer '}])
def test_a_caller_without_a_key_is_no_customer(headers):
    # If the digest of an empty key was published for a customer, callers
    # without a key ran as that customer.
    keyless = Customer('k', hashlib.sha256(b'').hexdigest())
    base = replace(BASE, customers=(*BASE.customers, keyless))
    checked = check(base=base, x_api_key='', **headers)
    assert checked.unwrap_err().reason is Reason.UNKNOWN_CUSTOMER


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
def test_invalid_request_is_refused_with_its_reason(index):
    check_invalid_request, reason = REFUSED[index]
    assert check_invalid_request().unwrap_err().reason is reason


def test_prompts_with_a_common_prefix_share_block_hashes():
    start = 'a' * BLOCK_CHARACTERS * 2
    first_hashes = prompt_blocks(f'{start}{"b" * BLOCK_CHARACTERS}')
    second_hashes = prompt_blocks(f'{start}{"c" * BLOCK_CHARACTERS}')
    assert len(first_hashes) == 3
    assert first_hashes[:2] == second_hashes[:2]
    assert first_hashes[2] != second_hashes[2]
