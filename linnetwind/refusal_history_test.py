"""Tests of remembering rejected requests and advertising them."""

from datetime import timedelta

from linnetwind.refusal_history import (
    ADVERTISED_FOR,
    MAX_ADVERTISED,
    RETENTION,
    RefusalHistory,
)

SECOND = timedelta(seconds=1)


def test_a_retry_is_recognized_by_every_daemon():
    # A caller is rejected by one daemon and retries through another, as the
    # platform spreads connections by the caller's new address.
    here = RefusalHistory().record_rejection('s', SECOND)
    there = RefusalHistory().merge_advertised(here.to_advertise(SECOND), SECOND)
    for history in (here, there):
        assert history.is_retry('s', 2 * SECOND)
        assert not history.is_retry('other', 2 * SECOND)
        assert not history.is_retry('s', 2 * SECOND + RETENTION)


def test_a_request_without_a_subject_is_not_remembered():
    assert (
        RefusalHistory().record_rejection('', SECOND).to_advertise(SECOND) == ()
    )


def test_the_advertised_rejections_are_bounded():
    history = RefusalHistory()
    for number in range(3 * MAX_ADVERTISED):
        history = history.record_rejection(str(number), SECOND)
    assert len(history.to_advertise(SECOND)) == MAX_ADVERTISED
    assert history.to_advertise(SECOND)[-1] == str(3 * MAX_ADVERTISED - 1)


def test_a_rejection_is_remembered_for_longer_than_it_is_advertised():
    # Advertised for as long as they are remembered, rejections made up most of
    # each state that daemons send.
    here = RefusalHistory().record_rejection('s', SECOND)
    there = RefusalHistory().merge_advertised(here.to_advertise(SECOND), SECOND)
    later = SECOND + ADVERTISED_FOR
    assert here.to_advertise(later) == ()
    assert there.merge_advertised(here.to_advertise(later), later).is_retry(
        's', later
    )
