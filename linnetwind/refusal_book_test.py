"""Tests of remembering rejected requests and advertising them."""

from datetime import timedelta

from linnetwind.refusal_book import (
    ADVERTISED_FOR,
    MAX_ADVERTISED,
    RETENTION,
    RefusalHistory,
)

SECOND = timedelta(seconds=1)


def test_a_retry_is_recognized_by_every_daemon():
    # A caller is rejected by one daemon and retries through another, as the
    # platform spreads connections by the caller's new address.
    here = RefusalHistory().refuse('s', SECOND)
    there = RefusalHistory().hear(here.tell(SECOND), SECOND)
    for history in (here, there):
        assert history.is_returning('s', 2 * SECOND)
        assert not history.is_returning('other', 2 * SECOND)
        assert not history.is_returning('s', 2 * SECOND + RETENTION)


def test_a_request_without_a_subject_is_not_remembered():
    assert RefusalHistory().refuse('', SECOND).tell(SECOND) == ()


def test_the_advertised_rejections_are_bounded():
    history = RefusalHistory()
    for number in range(3 * MAX_ADVERTISED):
        history = history.refuse(str(number), SECOND)
    assert len(history.tell(SECOND)) == MAX_ADVERTISED
    assert history.tell(SECOND)[-1] == str(3 * MAX_ADVERTISED - 1)


def test_a_rejection_is_remembered_for_longer_than_it_is_advertised():
    # Advertised for as long as they are remembered, rejections made up most of
    # each state that daemons send.
    here = RefusalHistory().refuse('s', SECOND)
    there = RefusalHistory().hear(here.tell(SECOND), SECOND)
    later = SECOND + ADVERTISED_FOR
    assert here.tell(later) == ()
    assert there.hear(here.tell(later), later).is_returning('s', later)
