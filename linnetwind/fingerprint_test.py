"""Tests of what makes two requests the same one."""

from dataclasses import replace
from datetime import timedelta

import pytest

from linnetwind.call_types import CallerRequest
from linnetwind.fingerprint import fingerprint_request

REQUEST = CallerRequest(
    b'POST', b'/x/1', ((b'X-Try', b'a'),), b'body', timedelta()
)


def test_tries_of_one_request_share_a_fingerprint():
    later = replace(
        REQUEST,
        headers=((b'X-Try', b'b'),),
        received=timedelta(seconds=4),
    )
    assert fingerprint_request(REQUEST, 'c') == fingerprint_request(later, 'c')


@pytest.mark.parametrize(
    ('change', 'caller'),
    [
        ({'body': b'other'}, 'c'),
        ({'target': b'/x/2'}, 'c'),
        ({'method': b'PUT'}, 'c'),
        ({}, 'd'),
        ({'target': b'/x/', 'body': b'1body'}, 'c'),
    ],
)
def test_other_requests_have_another_fingerprint(change, caller):
    other = replace(REQUEST, **change)
    found = fingerprint_request(other, caller)
    assert found != fingerprint_request(REQUEST, 'c')
