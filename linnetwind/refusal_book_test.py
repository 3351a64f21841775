"""Tests of who goes first because it was refused before."""

from datetime import timedelta

from linnetwind.refusal_book import KEPT, MOST_TOLD, TOLD, RefusalBook

SECOND = timedelta(seconds=1)


def test_a_caller_is_known_at_every_daemon():
    # A caller is refused at one daemon and comes back through another, as
    # the platform spreads connections by the caller's new address.
    here = RefusalBook().refuse('s', SECOND)
    there = RefusalBook().hear(here.tell(SECOND), SECOND)
    for book in (here, there):
        assert book.is_returning('s', 2 * SECOND)
        assert not book.is_returning('other', 2 * SECOND)
        assert not book.is_returning('s', 2 * SECOND + KEPT)


def test_a_request_without_a_subject_is_not_noted():
    assert RefusalBook().refuse('', SECOND).tell(SECOND) == ()


def test_what_is_told_is_bounded():
    book = RefusalBook()
    for number in range(3 * MOST_TOLD):
        book = book.refuse(str(number), SECOND)
    assert len(book.tell(SECOND)) == MOST_TOLD
    assert book.tell(SECOND)[-1] == str(3 * MOST_TOLD - 1)


def test_a_refusal_is_told_for_a_moment_and_known_for_longer():
    # Told for as long as it is known, refusals made up most of each state.
    here = RefusalBook().refuse('s', SECOND)
    there = RefusalBook().hear(here.tell(SECOND), SECOND)
    later = SECOND + TOLD
    assert here.tell(later) == ()
    assert there.hear(here.tell(later), later).is_returning('s', later)
