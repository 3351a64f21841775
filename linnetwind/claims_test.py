"""Tests of a slot's ledger: what its records mean in their order."""

from linnetwind.claims import (
    CLAIMS_CODEC,
    Claim,
    Claimed,
    Done,
    Finished,
    Own,
    SlotLedger,
    StoredAnswer,
    Void,
)
from linnetwind.log_port import Entry, Page

KEY = b'k'
ANSWER = StoredAnswer(200, (), b'paired')


def ledger(*records, first=0):
    found = SlotLedger()
    entries = tuple(
        Entry(offset, CLAIMS_CODEC.encode(record))
        for offset, record in enumerate(records, first)
    )
    found.take_page(Page(first, first + len(records), entries))
    return found


def test_claim_behind_a_takeover_is_void():
    # Its writer was paused and owned the slot when it wrote.
    found = ledger(Own('a', 1), Own('b', 2), Claim('late', 1, KEY, b''))
    assert found.state_of(KEY) is None


def test_claim_before_a_takeover_stands():
    found = ledger(Own('a', 1), Claim('c', 1, KEY, b''), Own('b', 2))
    assert isinstance(found.state_of(KEY), Claimed)


def test_outcome_of_a_former_owner_counts():
    found = ledger(
        Own('a', 1),
        Claim('c', 1, KEY, b''),
        Own('b', 2),
        Done('c', KEY, ANSWER),
    )
    assert found.state_of(KEY) == Finished('c', b'', 1, ANSWER)


def test_outcome_and_taking_back_of_another_claim_are_passed_over():
    found = ledger(
        Own('a', 1),
        Claim('c', 1, KEY, b''),
        Done('x', KEY, ANSWER),
        Void('x', KEY),
    )
    assert isinstance(found.state_of(KEY), Claimed)


def test_taking_back_never_undoes_an_outcome():
    found = ledger(
        Own('a', 1),
        Claim('c', 1, KEY, b''),
        Done('c', KEY, ANSWER),
        Void('c', KEY),
    )
    assert isinstance(found.state_of(KEY), Finished)


def test_key_is_forgotten_with_its_record():
    found = ledger(Own('a', 1), Claim('c', 1, KEY, b''))
    found.take_page(Page(2, 2, ()))
    assert found.state_of(KEY) is None


def test_garbage_changes_nothing():
    found = ledger(Own('a', 1))
    found.take_page(Page(0, 2, (Entry(1, b'\xff'),)))
    assert (found.owner, found.next_offset) == ('a', 2)
