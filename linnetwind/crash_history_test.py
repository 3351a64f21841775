"""Tests of which requests are quarantined after crashes under them."""

from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetwind.crash_history import (
    FIRST_QUARANTINE,
    MAX_ADVERTISED_REQUESTS,
    MAX_KNOWN_REQUESTS,
    MAX_QUARANTINE,
    SUSPICION,
    Crash,
    CrashHistory,
)
from linnetwind.fingerprint import Fingerprint
from linnetwind.upstream_incarnation import IncarnationTag

SECOND = timedelta(seconds=1)
BAD = Fingerprint('bad')


def _crash(life, began, ended):
    return Crash(IncarnationTag(life), began * SECOND, ended * SECOND)


def _history(*crashes, request=BAD):
    history = CrashHistory()
    for crash in crashes:
        history = history.record_crash(request, crash, crash.ended)
    return history


def _is_allowed(history, at, request=BAD):
    return history.quarantined_until(request) <= at * SECOND


def test_after_one_crash_a_request_is_sent_to_another_upstream():
    # An upstream may crash for any reason; its requests must not be lost.
    assert _is_allowed(_history(_crash(1, 0, 1)), at=1)


def test_after_two_crashes_in_a_row_a_request_is_not_sent():
    history = _history(_crash(1, 0, 1), _crash(2, 1, 2))
    assert not _is_allowed(history, at=2)
    assert not _is_allowed(history, at=2 + FIRST_QUARANTINE.total_seconds() - 1)
    assert _is_allowed(history, at=2 + FIRST_QUARANTINE.total_seconds())


def test_a_crash_after_the_quarantine_brings_a_longer_one():
    # The next version of the upstreams may be able to serve the request, so it
    # is tried once after the quarantine. A single further crash is then enough.
    over = 2 + FIRST_QUARANTINE.total_seconds()
    history = _history(
        _crash(1, 0, 1), _crash(2, 1, 2), _crash(3, over, over + 1)
    )
    until = history.quarantined_until(BAD)
    assert until == (over + 1) * SECOND + 2 * FIRST_QUARANTINE


def test_a_quarantine_is_bounded():
    crashes = [_crash(number, number, number + 1) for number in range(60)]
    until = _history(*crashes).quarantined_until(BAD)
    assert until == 60 * SECOND + MAX_QUARANTINE


def test_upstreams_that_crash_together_count_once():
    # A rack loses power while three upstreams run copies of one popular
    # request. None of the copies went from one upstream to the next.
    together = [_crash(number, 0, 1 + number / 1000) for number in range(3)]
    assert _is_allowed(_history(*together), at=2)
    assert not _is_allowed(_history(*together, _crash(3, 2, 3)), at=3)


@pytest.mark.parametrize('interval', [0.033, 3])
def test_copies_that_waited_for_a_broken_group_count_separately(interval):
    # Copies of the request arrived while the group was broken. When it opens,
    # they start on different ranks, 33 ms apart or more.
    history = _history(_crash(1, 0, 2), _crash(2, 0, 2 + interval))
    assert not _is_allowed(history, at=2 + interval)


def test_a_crash_that_is_advertised_twice_counts_once():
    crash = _crash(1, 0, 1)
    assert _is_allowed(_history(crash, crash, _crash(1, 0, 1.2)), at=2)


def test_an_answer_clears_the_crashes_before_it():
    # A popular request is in flight whenever an upstream crashes. Without this
    # its callers would be refused although every upstream can serve it.
    history = _history(_crash(1, 0, 1)).record_answer(BAD, 2 * SECOND)
    # A peer that does not know of the answer still advertises the crash.
    history = history.record_crash(BAD, _crash(1, 0, 1), 3 * SECOND)
    history = history.record_crash(BAD, _crash(2, 3, 4), 4 * SECOND)
    assert _is_allowed(history, at=4)
    assert not _is_allowed(
        history.record_crash(BAD, _crash(3, 4, 5), 5 * SECOND), at=5
    )


def test_a_repeated_advertisement_of_an_answer_counts_once():
    # State messages repeat it for seconds. A crash that happens meanwhile must
    # not be discarded by each repeat.
    history = _history(_crash(1, 0, 1)).merge_peer_answer(BAD, 2 * SECOND)
    history = history.record_crash(BAD, _crash(2, 2.1, 2.2), 2.2 * SECOND)
    history = history.merge_peer_answer(BAD, 2.3 * SECOND)
    history = history.record_crash(BAD, _crash(3, 2.3, 2.4), 2.4 * SECOND)
    assert not _is_allowed(history, at=2.5)


def test_an_answer_advertised_by_a_peer_is_not_advertised_again():
    # Two daemons would advertise it to each other forever.
    history = _history(_crash(1, 0, 1)).merge_peer_answer(BAD, 2 * SECOND)
    assert not history.answers_to_advertise(2 * SECOND)
    assert history.record_answer(BAD, 3 * SECOND).answers_to_advertise(
        3 * SECOND
    ) == (BAD,)


def test_quarantined_requests_are_advertised_until_the_quarantine_ends():
    # A daemon that starts later has to learn of them too.
    history = _history(_crash(1, 0, 1), _crash(2, 1, 2))
    history = history.record_crash(
        Fingerprint('once'), _crash(3, 2, 3), 3 * SECOND
    )
    assert set(history.crashes_to_advertise(3 * SECOND)) == {BAD, 'once'}
    assert set(history.crashes_to_advertise(60 * SECOND)) == {BAD}


def test_the_history_is_bounded_and_keeps_quarantines():
    # All upstreams lose power while they run hundreds of requests.
    history = _history(_crash(1, 0, 1), _crash(2, 1, 2))
    for number in range(2 * MAX_KNOWN_REQUESTS):
        request = Fingerprint(f'{number}')
        history = history.record_crash(
            request, _crash(number, 2, 3), 3 * SECOND
        )
    assert len(history.crashes) == MAX_KNOWN_REQUESTS
    assert (
        len(history.crashes_to_advertise(3 * SECOND)) == MAX_ADVERTISED_REQUESTS
    )
    assert not _is_allowed(history, at=3)


def test_a_single_crash_expires():
    history = _history(_crash(1, 0, 1))
    later = 1 + 2 * FIRST_QUARANTINE.total_seconds()
    crash = _crash(2, later, later + 1)
    history = history.record_crash(Fingerprint('other'), crash, crash.ended)
    assert BAD not in history.crashes


_CRASHES = st.builds(
    _crash, st.integers(0, 6), st.floats(0, 20), st.floats(20, 40)
)


@given(st.lists(_CRASHES, max_size=8), st.randoms())
def test_the_order_in_which_crashes_are_merged_does_not_matter(crashes, chance):
    # Daemons learn of the same crashes in different orders and must agree.
    by_life = list({crash.life: crash for crash in crashes}.values())
    shuffled = list(by_life)
    chance.shuffle(shuffled)
    until = _history(*shuffled).quarantined_until(BAD)
    assert until == _history(*by_life).quarantined_until(BAD)


@pytest.mark.parametrize('count', [2, 3, 5])
def test_a_request_that_crashes_upstreams_in_turn_is_quarantined(count):
    # However fast the retries are: here one follows another after 5 ms.
    crashes = [_crash(n, n / 200, (n + 1) / 200) for n in range(count)]
    assert not _is_allowed(_history(*crashes), at=count / 200)


def _rank_crash(life, began, ended):
    return replace(_crash(life, began, ended), of_group=True)


def test_a_request_on_a_crashed_rank_is_not_sent_to_the_next_rank():
    # The crash of a rank stops its whole group for four seconds. Forwarded as
    # soon as the group was open again, the request broke it again.
    history = _history(_rank_crash(1, 0, 1))
    assert not history.is_proven(BAD)
    assert not _is_allowed(history, at=1 + SUSPICION.total_seconds() - 1)
    assert _is_allowed(history, at=1 + SUSPICION.total_seconds())


def test_a_second_rank_crash_under_a_suspect_proves_it():
    over = 1 + SUSPICION.total_seconds()
    history = _history(_rank_crash(1, 0, 1), _rank_crash(2, over, over + 1))
    assert history.is_proven(BAD)
    assert (
        history.quarantined_until(BAD) == (over + 1) * SECOND + FIRST_QUARANTINE
    )


def test_requests_on_hosts_that_failed_together_are_no_suspects():
    # A rack loses power while hundreds of requests run there; no request caused
    # the crashes.
    history = CrashHistory()
    for number in range(5):
        crash = _rank_crash(number, 0, 1 + number / 10)
        history = history.record_crash(
            Fingerprint(f'{number}'), crash, crash.ended
        )
    assert _is_allowed(history, at=2, request=Fingerprint('0'))
    assert _is_allowed(history, at=2, request=Fingerprint('4'))
