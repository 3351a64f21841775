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
    now = 3 * SECOND
    taken = [credit.spend_retry(now, 0) for _retry in range(3)]
    assert taken == pytest.approx([0, 0, 0])
    assert credit.available(now) == pytest.approx(0)
    assert credit.spend_retry(now, 0.9) is None
    assert credit.spend_retry(now, 1) == pytest.approx(1)


def test_a_retry_that_cannot_be_paid_for_spends_nothing():
    credit = RequestCredit(WINDOW, 0.4)
    credit.add_request(SECOND)
    assert credit.spend_retry(SECOND, 0.5) is None
    assert credit.available(SECOND) == pytest.approx(0.4)
    assert credit.spend_retry(SECOND, 0.7) == pytest.approx(0.6)
    assert credit.available(SECOND) == pytest.approx(0)


def test_a_partly_spent_request_expires_as_a_whole():
    """Guards against credit that is spent on behalf of an expired request."""
    credit = RequestCredit(WINDOW, 0.7)
    credit.add_request(SECOND)
    credit.add_request(2 * SECOND)
    credit.add_request(5 * SECOND)
    credit.spend_retry(5 * SECOND, 0)
    assert credit.available(5 * SECOND) == pytest.approx(1.1)
    # Of the second request 0.4 was left.
    assert credit.available(SECOND * 12.5) == pytest.approx(0.7)


def test_requests_of_a_service_that_never_fails_take_no_lasting_memory():
    """Guards against a list of requests that grows until there is a failure."""
    credit = RequestCredit(WINDOW, 0.1)
    tracemalloc.start()
    for number in range(100_000):
        credit.add_request(number * SECOND)
    used_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used_bytes < 100_000
