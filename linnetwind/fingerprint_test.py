"""Tests of the fingerprints of requests."""

import pytest

from linnetwind.fingerprint import fingerprint_request

REQUEST = ('customer', b'POST', b'/x/1', b'body')


def test_a_repeated_request_has_the_same_fingerprint():
    assert fingerprint_request(*REQUEST) == fingerprint_request(*REQUEST)


@pytest.mark.parametrize(
    'other',
    [
        ('customer', b'POST', b'/x/1', b'other'),
        ('customer', b'POST', b'/x/2', b'body'),
        ('customer', b'PUT', b'/x/1', b'body'),
        ('another', b'POST', b'/x/1', b'body'),
        # The concatenated parts are the same bytes as in REQUEST.
        ('customer', b'POST', b'/x/', b'1body'),
    ],
)
def test_a_different_request_has_a_different_fingerprint(other):
    assert fingerprint_request(*other) != fingerprint_request(*REQUEST)
