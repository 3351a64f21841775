"""Tests of the fold of a slot's records into its ledger."""

from linnetwind.claims import (
    CLAIMS_CODEC,
    Claim,
    ClaimedKey,
    FinishedKey,
    RecordedOutcome,
    SlotLedger,
    SlotTakeover,
    StoredResponse,
    WithdrawnClaim,
)
from linnetwind.log_port import Entry, Page

KEY = b'k'
ANSWER = StoredResponse(200, (), b'paired')


def make_ledger(*records, first=0):
    ledger = SlotLedger()
    entries = tuple(
        Entry(offset, CLAIMS_CODEC.encode(record))
        for offset, record in enumerate(records, first)
    )
    ledger.fold_page(Page(first, first + len(records), entries))
    return ledger


def test_claim_after_a_takeover_is_void():
    # The writer owned the slot when it started the append, and was paused.
    ledger = make_ledger(
        SlotTakeover('a', 1), SlotTakeover('b', 2), Claim('late', 1, KEY, b'')
    )
    assert ledger.key_state(KEY) is None


def test_claim_before_a_takeover_is_valid():
    ledger = make_ledger(
        SlotTakeover('a', 1), Claim('c', 1, KEY, b''), SlotTakeover('b', 2)
    )
    assert isinstance(ledger.key_state(KEY), ClaimedKey)


def test_outcome_written_by_a_previous_owner_is_valid():
    ledger = make_ledger(
        SlotTakeover('a', 1),
        Claim('c', 1, KEY, b''),
        SlotTakeover('b', 2),
        RecordedOutcome('c', KEY, ANSWER),
    )
    assert ledger.key_state(KEY) == FinishedKey('c', b'', 1, ANSWER)


def test_outcome_and_withdrawal_of_another_claim_are_ignored():
    ledger = make_ledger(
        SlotTakeover('a', 1),
        Claim('c', 1, KEY, b''),
        RecordedOutcome('x', KEY, ANSWER),
        WithdrawnClaim('x', KEY),
    )
    assert isinstance(ledger.key_state(KEY), ClaimedKey)


def test_withdrawal_after_an_outcome_is_ignored():
    ledger = make_ledger(
        SlotTakeover('a', 1),
        Claim('c', 1, KEY, b''),
        RecordedOutcome('c', KEY, ANSWER),
        WithdrawnClaim('c', KEY),
    )
    assert isinstance(ledger.key_state(KEY), FinishedKey)


def test_key_is_discarded_when_its_claim_has_expired():
    ledger = make_ledger(SlotTakeover('a', 1), Claim('c', 1, KEY, b''))
    ledger.fold_page(Page(2, 2, ()))
    assert ledger.key_state(KEY) is None


def test_undecodable_record_is_skipped():
    ledger = make_ledger(SlotTakeover('a', 1))
    ledger.fold_page(Page(0, 2, (Entry(1, b'\xff'),)))
    assert (ledger.owner, ledger.next_offset) == ('a', 2)
