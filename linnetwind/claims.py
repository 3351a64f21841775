"""At-most-once execution by idempotency key: the ledger of one slot.

Keys are hashed into slots, and each slot of a service has a log stream. The
side daemon that owns a slot appends a claim for a key before it runs the
call, and the outcome afterwards. Ownership and claims are records of the
same stream, so the order of offsets alone decides. A claim that reaches the
log after another daemon has taken over the slot is void, however long its
writer was paused, and the writer detects this before it runs the call.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from linnetwind.codec import Codec
from linnetwind.log_port import Entry, Page
from linnetwind.messages import Headers

STREAM_PREFIX = 'calls'


@dataclass(frozen=True, slots=True)
class SlotTakeover:
    """A side daemon takes over the slot; `epoch` is the last one plus 1."""

    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Claim:
    """The owner of the slot is about to run the call with this key."""

    claim_id: str
    epoch: int
    key: bytes
    fingerprint: bytes


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A response that is small enough to be stored in the log."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """The call ran; `answer` is None if the response is too large to store."""

    claim_id: str
    key: bytes
    answer: StoredResponse | None


@dataclass(frozen=True, slots=True)
class WithdrawnClaim:
    """The writer of the claim did not run the call and never will."""

    claim_id: str
    key: bytes


LedgerRecord = SlotTakeover | Claim | RecordedOutcome | WithdrawnClaim
CLAIMS_CODEC = Codec((SlotTakeover, Claim, RecordedOutcome, WithdrawnClaim))


@dataclass(frozen=True, slots=True)
class ClaimedKey:
    """State of a key whose call has a claim and no outcome in the log."""

    claim_id: str
    fingerprint: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class FinishedKey:
    """State of a key whose call ran to its end."""

    claim_id: str
    fingerprint: bytes
    offset: int
    answer: StoredResponse | None


KeyState = ClaimedKey | FinishedKey


class SlotLedger:
    """The fold over the stream of one slot; the same in every process."""

    def __init__(self) -> None:
        """Create the ledger before the first record."""
        self._next_offset = 0
        self._epoch = 0
        self._owner = ''
        self._keys: dict[bytes, KeyState] = {}

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold."""
        return self._next_offset

    @property
    def epoch(self) -> int:
        """Return the number of takeovers of the slot."""
        return self._epoch

    @property
    def owner(self) -> str:
        """Return the incarnation that owns the slot, or an empty string."""
        return self._owner

    def key_state(self, key: bytes) -> KeyState | None:
        """Return the state of a key according to the folded records.

        Args:
          key: The digest of the key.

        Returns:
          The state, or None if no valid claim of the key is known.
        """
        return self._keys.get(key)

    def record_outcome(self, done: RecordedOutcome) -> None:
        """Apply an outcome of this process before it is in the log.

        Args:
          done: The outcome; folding it again later changes nothing.
        """
        self._apply(self._next_offset, done)

    def fold_page(self, page: Page) -> None:
        """Fold the records of a page, and discard keys that have expired.

        Args:
          page: The records from `next_offset` on. Keys whose claims are
            older than its first available offset are discarded.
        """
        for entry in page.entries:
            if entry.offset >= self._next_offset:
                self._fold(entry)
        self._next_offset = max(self._next_offset, page.end)
        self._expire_before(page.first)

    def fold_appended(
        self, offset: int, records: Sequence[LedgerRecord]
    ) -> bool:
        """Fold records that this process has appended, if none precede them.

        Args:
          offset: The offset of the first of these records.
          records: The records.

        Returns:
          Whether they were folded; if not, records of other processes come
          before them and the stream must be read.
        """
        if offset != self._next_offset:
            return False
        for position, record in enumerate(records, offset):
            self._apply(position, record)
            self._next_offset = position + 1
        return True

    def _fold(self, entry: Entry) -> None:
        record = CLAIMS_CODEC.decode(entry.record).unwrap_or(None)
        self._next_offset = entry.offset + 1
        if record is not None:
            self._apply(entry.offset, record)

    def _apply(self, offset: int, record: LedgerRecord) -> None:
        match record:
            case SlotTakeover(owner, epoch):
                # Two daemons that take over concurrently both write the
                # next epoch; the second in the order of offsets is void.
                if epoch == self._epoch + 1:
                    self._epoch = epoch
                    self._owner = owner
            case Claim():
                self._apply_claim(offset, record)
            case RecordedOutcome(claim_id, key, answer):
                open_claim = self._open_claim(key, claim_id)
                if open_claim is not None:
                    self._keys[key] = FinishedKey(
                        claim_id,
                        open_claim.fingerprint,
                        open_claim.offset,
                        answer,
                    )
            case WithdrawnClaim(claim_id, key):
                if self._open_claim(key, claim_id) is not None:
                    self._keys.pop(key)

    def _apply_claim(self, offset: int, claim: Claim) -> None:
        # A claim of an older epoch was written by a previous owner that was
        # paused; the new owner may have run the call in the meantime.
        if claim.epoch == self._epoch and claim.key not in self._keys:
            self._keys[claim.key] = ClaimedKey(
                claim.claim_id, claim.fingerprint, offset
            )

    def _open_claim(self, key: bytes, claim_id: str) -> ClaimedKey | None:
        open_claim = self._keys.get(key)
        if (
            isinstance(open_claim, ClaimedKey)
            and open_claim.claim_id == claim_id
        ):
            return open_claim
        return None

    def _expire_before(self, first: int) -> None:
        # The dict keeps the order of the claims, so the oldest come first.
        for key, state in list(self._keys.items()):
            if state.offset >= first:
                break
            self._keys.pop(key)


def slot_stream(service: str, slot: int) -> str:
    """Return the name of the log stream of a slot.

    Args:
      service: The name of the service.
      slot: The number of the slot.

    Returns:
      The name of the stream.
    """
    return f'{STREAM_PREFIX}-{service}-{slot}'
