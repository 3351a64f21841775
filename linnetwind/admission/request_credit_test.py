"""Tests of the credit for retries that requests give."""

import tracemalloc
from datetime import timedelta

import pytest

from linnetwind.admission.request_credit import RequestCredit

SECOND = timedelta(seconds=1)
WINDOW = 10 * SECOND


def test_each_request_pays_once():
    credit = RequestCredit(WINDOW, 0.1)
    for number in range(30):
        credit.add_request(number * SECOND / 10)
    credit.spend(1)
    credit.spend(0.55)
    assert credit.available(3 * SECOND) == pytest.approx(1.45)


def test_a_partly_spent_request_expires_as_a_whole():
    """Guards against credit that is spent on behalf of an expired request."""
    credit = RequestCredit(WINDOW, 0.5)
    credit.add_request(SECOND)
    credit.add_request(5 * SECOND)
    credit.spend(0.2)
    assert credit.available(12 * SECOND) == pytest.approx(0.5)


def test_requests_of_a_service_that_never_fails_take_no_lasting_memory():
    """Guards against a list of requests that grows until there is a failure."""
    credit = RequestCredit(WINDOW, 0.1)
    tracemalloc.start()
    for number in range(100_000):
        credit.add_request(number * SECOND)
    used_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used_bytes < 100_000
