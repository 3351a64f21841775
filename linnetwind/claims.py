"""At most once for calls with an idempotency key: the ledger of one slot.

Keys are hashed into slots, and each slot of a service has a log stream. The
side daemon that owns a slot writes a claim for a key before it runs the
call, and the outcome afterwards. Ownership and claims stand in the same
stream, so offset order alone decides: a claim that reaches the log after
somebody else has taken the slot over is void, however long its writer was
paused, and its writer finds that out before it runs anything.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from linnetwind.codec import Codec
from linnetwind.log_port import Entry, Page
from linnetwind.messages import Headers

STREAM_PREFIX = 'calls'


@dataclass(frozen=True, slots=True)
class Own:
    """A side daemon takes the slot over; `epoch` follows the last one."""

    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Claim:
    """The owner is about to run the call with this key."""

    claim_id: str
    epoch: int
    key: bytes
    fingerprint: bytes


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that is small enough to be kept."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """The call ran; `answer` is None if it was too large to keep."""

    claim_id: str
    key: bytes
    answer: StoredAnswer | None


@dataclass(frozen=True, slots=True)
class Void:
    """The claim's writer did not run the call under it and never will."""

    claim_id: str
    key: bytes


LedgerRecord = Own | Claim | Done | Void
CLAIMS_CODEC = Codec((Own, Claim, Done, Void))


@dataclass(frozen=True, slots=True)
class Claimed:
    """The key is claimed, and as far as the log tells has not finished."""

    claim_id: str
    fingerprint: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The call with this key ran to its end."""

    claim_id: str
    fingerprint: bytes
    offset: int
    answer: StoredAnswer | None


KeyState = Claimed | Finished


class SlotLedger:
    """The fold over one slot's stream; the same in every process."""

    def __init__(self) -> None:
        """Start before the first record."""
        self._next_offset = 0
        self._epoch = 0
        self._owner = ''
        self._keys: dict[bytes, KeyState] = {}

    @property
    def next_offset(self) -> int:
        """Return the offset up to which all records are folded."""
        return self._next_offset

    @property
    def epoch(self) -> int:
        """Return how often the slot has been taken over."""
        return self._epoch

    @property
    def owner(self) -> str:
        """Return the incarnation that owns the slot, or an empty string."""
        return self._owner

    def state_of(self, key: bytes) -> KeyState | None:
        """Return what the log says of a key.

        Args:
          key: The key's digest.

        Returns:
          Its state, or None if it was never claimed.
        """
        return self._keys.get(key)

    def note_done(self, done: Done) -> None:
        """Take in an outcome of this process ahead of the log.

        Args:
          done: The outcome; folding it again later changes nothing.
        """
        self._apply(self._next_offset, done)

    def take_page(self, page: Page) -> None:
        """Fold the records of a page, and forget keys that have expired.

        Args:
          page: Records from `next_offset` on.
        """
        for entry in page.entries:
            if entry.offset >= self._next_offset:
                self._take(entry)
        self._next_offset = max(self._next_offset, page.end)
        self._forget_before(page.first)

    def take_own(self, offset: int, records: Sequence[LedgerRecord]) -> bool:
        """Fold records just appended here, if nothing came in between.

        Args:
          offset: The offset that the first of them got.
          records: The records.

        Returns:
          Whether they were folded; if not, the stream must be read.
        """
        if offset != self._next_offset:
            return False
        for position, record in enumerate(records, offset):
            self._apply(position, record)
            self._next_offset = position + 1
        return True

    def _take(self, entry: Entry) -> None:
        record = CLAIMS_CODEC.decode(entry.record).unwrap_or(None)
        self._next_offset = entry.offset + 1
        if record is not None:
            self._apply(entry.offset, record)

    def _apply(self, offset: int, record: LedgerRecord) -> None:
        match record:
            case Own(owner, epoch):
                # Two daemons that take over at once both name the next
                # epoch; the second in offset order is void.
                if epoch == self._epoch + 1:
                    self._epoch = epoch
                    self._owner = owner
            case Claim():
                self._claim(offset, record)
            case Done(claim_id, key, answer):
                held = self._held(key, claim_id)
                if held is not None:
                    self._keys[key] = Finished(
                        claim_id, held.fingerprint, held.offset, answer
                    )
            case Void(claim_id, key):
                if self._held(key, claim_id) is not None:
                    self._keys.pop(key)

    def _claim(self, offset: int, claim: Claim) -> None:
        # A claim of an older epoch was written by a former owner that was
        # paused; the new owner may have run the call since.
        if claim.epoch == self._epoch and claim.key not in self._keys:
            self._keys[claim.key] = Claimed(
                claim.claim_id, claim.fingerprint, offset
            )

    def _held(self, key: bytes, claim_id: str) -> Claimed | None:
        held = self._keys.get(key)
        if isinstance(held, Claimed) and held.claim_id == claim_id:
            return held
        return None

    def _forget_before(self, first: int) -> None:
        # Keys stand in the order of their claims, so the oldest come first.
        for key, state in list(self._keys.items()):
            if state.offset >= first:
                break
            self._keys.pop(key)


def stream_of(service: str, slot: int) -> str:
    """Return the name of a slot's stream.

    Args:
      service: The service's name.
      slot: The slot's number.

    Returns:
      The name.
    """
    return f'{STREAM_PREFIX}-{service}-{slot}'
