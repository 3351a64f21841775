"""Running calls with an idempotency key at the side that owns their slot.

The order of the steps is what makes a call run at most once: own the slot,
know its ledger, claim the key, be sure that the claim stands, and only then
hand the call to the gate. Whatever fails before the last step leaves the
call not run.
"""

import threading
import uuid
from collections.abc import Iterable
from concurrent.futures import Executor
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from linnetwind.claims import (
    CLAIMS_CODEC,
    Claim,
    Claimed,
    Done,
    Finished,
    LedgerRecord,
    Own,
    SlotLedger,
    StoredAnswer,
    Void,
    stream_of,
)
from linnetwind.clock import Clock
from linnetwind.decisions import log_decision
from linnetwind.errors import LogUnavailable
from linnetwind.log_port import LogPort, read_to_end
from linnetwind.messages import Call, Chunk, End, Head, Lost, Refused
from linnetwind.outcome import Reason
from linnetwind.side_calls import Send, UpstreamCalls

LARGEST_STORED_BODY = 4096

_RETRY_MS = 1000
_LOG_PAUSE = timedelta(seconds=0.5)


Followers = list[tuple[str, Send]]


@dataclass
class _Recording:
    """An answer on its way through, kept for repeats of the key."""

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    whole: bool = False

    @property
    def answer(self) -> StoredAnswer | None:
        """Return the answer if it is whole and small enough."""
        if self.whole and len(self.body) <= LARGEST_STORED_BODY:
            return StoredAnswer(self.status, self.headers, self.body)
        return None


@dataclass
class _Slot:
    """One slot as this side knows it."""

    stream: str
    ledger: SlotLedger = field(default_factory=SlotLedger)
    lock: threading.Lock = field(default_factory=threading.Lock)
    unsent: list[LedgerRecord] = field(default_factory=list)
    abandoned: set[str] = field(default_factory=set)
    running: dict[bytes, Followers] = field(default_factory=dict)


class KeyedCalls:
    """All slots that this side owns or has owned."""

    def __init__(
        self,
        log: LogPort,
        incarnation: str,
        executor: Executor,
        clock: Clock,
    ) -> None:
        """Start owning nothing.

        Args:
          log: The log service.
          incarnation: Differs after each restart, and names the owner.
          executor: Does the work, which waits for the log.
          clock: For the pause after a failure of the log.
        """
        self._log = log
        self._incarnation = incarnation
        self._executor = executor
        self._clock = clock
        self._log_pause_until = clock.elapsed()
        self._slots: dict[str, _Slot] = {}
        self._lock = threading.Lock()

    def handle(self, call: Call, send: Send, calls: UpstreamCalls) -> None:
        """Take a call with a key; the work is done on the executor.

        Args:
          call: The call; `key`, `slot` and `fingerprint` are set.
          send: Sends answers back.
          calls: Runs it at the upstream.
        """
        self._executor.submit(self._handle, call, send, calls)

    def flush(self) -> None:
        """Append the outcomes that are not yet in the log."""
        with self._lock:
            slots = list(self._slots.values())
        for slot in slots:
            if slot.unsent:
                with slot.lock:
                    self._append(slot, ())

    def _handle(self, call: Call, send: Send, calls: UpstreamCalls) -> None:
        slot = self._slot(call)
        try:
            with slot.lock:
                refusal = self._prepare(slot, call, send)
        except Exception:
            logger.exception('keyed call {} failed', call.call_id)
            refusal = Refused(call.call_id, Reason.INTERNAL, _RETRY_MS)
        match refusal:
            case Claim():
                self._run(slot, refusal, call, send, calls)
            case Refused() | Lost():
                _log_refusal(call, refusal.reason)
                send(refusal)
            case StoredAnswer():
                _log_refusal(call, Reason.RAN_BEFORE)
                _replay(refusal, call.call_id, send)

    def _slot(self, call: Call) -> _Slot:
        stream = stream_of(call.service, call.slot or 0)
        with self._lock:
            return self._slots.setdefault(stream, _Slot(stream))

    def _prepare(
        self, slot: _Slot, call: Call, send: Send
    ) -> Claim | Refused | Lost | StoredAnswer | None:
        """Decide what to do with a call; None if it joined a running one."""
        # While the log is out nobody can tell whether another side has
        # claimed the key. Refusals go out at once instead of each waiting
        # for a time-out of its own.
        paused = self._clock.elapsed() < self._log_pause_until
        if paused or not self._own(slot):
            return _refuse(call, Reason.LOG_UNAVAILABLE)
        key = call.key or b''
        known = slot.ledger.state_of(key)
        if known is not None and known.claim_id not in slot.abandoned:
            if known.fingerprint != call.fingerprint:
                # Coming back would not help, so there is no time to wait.
                return Refused(call.call_id, Reason.KEY_REUSED, 0)
            return self._repeat(slot, call, send, known)
        return self._claim(slot, call, known)

    def _repeat(
        self, slot: _Slot, call: Call, send: Send, known: Claimed | Finished
    ) -> Lost | StoredAnswer | None:
        followers = slot.running.get(call.key or b'')
        if followers is not None:
            followers.append((call.call_id, send))
            return None
        if isinstance(known, Finished) and known.answer is not None:
            return known.answer
        # A former owner claimed the key and nobody knows how far it came,
        # or the answer was too large to keep. Running it could be the
        # second time.
        return Lost(call.call_id, Reason.RAN_BEFORE)

    def _own(self, slot: _Slot) -> bool:
        """Make sure that this side owns the slot and knows its ledger."""
        if slot.ledger.owner == self._incarnation:
            return True
        if self._catch_up(slot).is_err():
            return False
        if slot.ledger.owner == self._incarnation:
            return True
        epoch = slot.ledger.epoch + 1
        appended = self._append(slot, (Own(self._incarnation, epoch),))
        if appended.is_err():
            return False
        log_decision('slot_taken', {'stream': slot.stream, 'epoch': epoch})
        return slot.ledger.owner == self._incarnation

    def _claim(
        self, slot: _Slot, call: Call, known: Claimed | Finished | None
    ) -> Claim | Refused:
        claim = Claim(
            uuid.uuid4().hex,
            slot.ledger.epoch,
            call.key or b'',
            call.fingerprint or b'',
        )
        records: list[LedgerRecord] = [claim]
        if known is not None:
            records.insert(0, Void(known.claim_id, claim.key))
        if self._append(slot, records).is_err():
            # The claim may be in the log or may get there late. The call is
            # not run under it, now or later, so "not run" is true; the
            # claim is taken back so that it does not block the key.
            slot.abandoned.add(claim.claim_id)
            slot.unsent.append(Void(claim.claim_id, claim.key))
            return _refuse(call, Reason.LOG_UNAVAILABLE)
        held = slot.ledger.state_of(claim.key)
        if held is None or held.claim_id != claim.claim_id:
            # Somebody took the slot over before the claim reached the log.
            return _refuse(call, Reason.STALE_OWNER)
        slot.running[claim.key] = []
        return claim

    def _run(
        self,
        slot: _Slot,
        claim: Claim,
        call: Call,
        send: Send,
        calls: UpstreamCalls,
    ) -> None:
        recording = _Recording()

        def record(answer: Any) -> bool:  # noqa: WPS430
            _note(recording, answer)
            if isinstance(answer, Refused | Lost | End):
                self._finish(slot, claim, recording, answer)
            return send(answer)

        calls.offer(call, record)

    def _finish(
        self,
        slot: _Slot,
        claim: Claim,
        recording: _Recording,
        last: Refused | Lost | End,
    ) -> None:
        with slot.lock:
            followers = slot.running.pop(claim.key, [])
            if isinstance(last, Refused):
                # The gate or the upstream's host proved that it never
                # started, so the key is free again.
                slot.abandoned.add(claim.claim_id)
                slot.unsent.append(Void(claim.claim_id, claim.key))
            elif isinstance(last, End):
                done = Done(claim.claim_id, claim.key, recording.answer)
                slot.unsent.append(done)
                slot.ledger.note_done(done)
        for call_id, send in followers:
            _tell_follower(call_id, send, last, recording.answer)

    def _append(
        self, slot: _Slot, records: Iterable[LedgerRecord]
    ) -> Result[None, LogUnavailable]:
        batch = [*slot.unsent, *records]
        frames = [CLAIMS_CODEC.encode(record) for record in batch]
        match self._log.append(slot.stream, frames):
            case Ok(offset):
                slot.unsent.clear()
                slot.abandoned -= _taken_back(batch)
                if slot.ledger.take_own(offset, batch):
                    return Ok(None)
                return self._catch_up(slot)
            case Err() as failed:
                # What was unsent stays so: outcomes and takings-back are
                # harmless when they are in the log twice.
                self._log_pause_until = self._clock.elapsed() + _LOG_PAUSE
                return failed

    def _catch_up(self, slot: _Slot) -> Result[None, LogUnavailable]:
        start = slot.ledger.next_offset
        match read_to_end(self._log, slot.stream, start):
            case Ok(page):
                return Ok(slot.ledger.take_page(page))
            case Err() as failed:
                self._log_pause_until = self._clock.elapsed() + _LOG_PAUSE
                return failed


def _taken_back(batch: Iterable[LedgerRecord]) -> set[str]:
    return {each.claim_id for each in batch if isinstance(each, Void)}


def _refuse(call: Call, reason: Reason) -> Refused:
    return Refused(call.call_id, reason, _RETRY_MS)


def _note(recording: _Recording, answer: Any) -> None:
    match answer:
        case Head(status=status, headers=headers):
            recording.status = status
            recording.headers = headers
        case Chunk(body=body) if len(recording.body) <= LARGEST_STORED_BODY:
            recording.body += body
        case End():
            recording.whole = True


def _replay(answer: StoredAnswer, call_id: str, send: Send) -> None:
    send(Head(call_id, answer.status, answer.headers))
    send(Chunk(call_id, 0, answer.body))
    send(End(call_id, 1))


def _tell_follower(
    call_id: str,
    send: Send,
    last: Refused | Lost | End,
    answer: StoredAnswer | None,
) -> None:
    match last:
        case Refused(reason=reason, retry_after_ms=wait_ms):
            send(Refused(call_id, reason, wait_ms))
        case End() if answer:
            _replay(answer, call_id, send)
        case _:
            send(Lost(call_id, Reason.RAN_BEFORE))


def _log_refusal(call: Call, reason: Reason) -> None:
    log_decision(
        'keyed_call_not_run_here',
        {'request': call.request_id, 'reason': reason, 'slot': call.slot},
    )
