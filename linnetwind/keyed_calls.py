"""Runs calls with an idempotency key at the side that owns their slot.

The order of the steps guarantees that a call runs at most once: take over
the slot, read its ledger, append a claim for the key, verify that the claim
is valid, and only then pass the call to admission. If any step before the
last fails, the call has not run.
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
    ClaimedKey,
    FinishedKey,
    LedgerRecord,
    RecordedOutcome,
    SlotLedger,
    SlotTakeover,
    StoredResponse,
    WithdrawnClaim,
    slot_stream,
)
from linnetwind.clock import Clock
from linnetwind.decision_log import log_decision
from linnetwind.errors import LogUnavailable
from linnetwind.log_port import LogPort, read_to_end
from linnetwind.messages import Call, Chunk, End, Head, Lost, Refused
from linnetwind.outcome import Reason
from linnetwind.side_calls import Send, UpstreamCalls

MAX_STORED_BODY_BYTES = 4096

_RETRY_MS = 1000
_LOG_BACKOFF = timedelta(seconds=0.5)


Followers = list[tuple[str, Send]]


@dataclass
class _RecordedResponse:
    """A response that is recorded while it is relayed, for later retries."""

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    complete: bool = False

    @property
    def answer(self) -> StoredResponse | None:
        """Return the response if it is complete and small enough to store."""
        if self.complete and len(self.body) <= MAX_STORED_BODY_BYTES:
            return StoredResponse(self.status, self.headers, self.body)
        return None


@dataclass
class _Slot:
    """The state of one slot at this side.

    `unlogged` are records that could not be appended yet or that wait for
    the next append. `abandoned` are the IDs of claims that are to be ignored
    until their withdrawal is in the log. `running` holds the retries that
    wait for each running key.
    """

    stream: str
    ledger: SlotLedger = field(default_factory=SlotLedger)
    lock: threading.Lock = field(default_factory=threading.Lock)
    unlogged: list[LedgerRecord] = field(default_factory=list)
    abandoned: set[str] = field(default_factory=set)
    running: dict[bytes, Followers] = field(default_factory=dict)


class KeyedCalls:
    """Handles keyed calls for all slots that this side owns or has owned."""

    def __init__(
        self,
        log: LogPort,
        incarnation: str,
        executor: Executor,
        clock: Clock,
    ) -> None:
        """Create the handler without owned slots.

        Args:
          log: The log service.
          incarnation: The ID of this process as an owner of slots; it
            differs after each restart.
          executor: The executor for the work, which blocks on the log.
          clock: The clock for the backoff after a failure of the log.
        """
        self._log = log
        self._incarnation = incarnation
        self._executor = executor
        self._clock = clock
        self._log_backoff_until = clock.elapsed()
        self._slots: dict[str, _Slot] = {}
        self._lock = threading.Lock()

    def handle(self, call: Call, send: Send, calls: UpstreamCalls) -> None:
        """Handle a call with an idempotency key, on the executor.

        Args:
          call: The call; `key`, `slot` and `fingerprint` are set.
          send: A function that sends frames back to the entry daemon.
          calls: The admission and execution of calls at the upstream.
        """
        self._executor.submit(self._handle, call, send, calls)

    def flush(self) -> None:
        """Append outcomes and withdrawals that are not yet in the log."""
        with self._lock:
            slots = list(self._slots.values())
        for slot in slots:
            if slot.unlogged:
                with slot.lock:
                    self._append(slot, ())

    def _handle(self, call: Call, send: Send, calls: UpstreamCalls) -> None:
        slot = self._slot(call)
        try:
            with slot.lock:
                decision = self._decide(slot, call, send)
        except Exception:
            logger.exception('keyed call {} failed', call.call_id)
            decision = Refused(call.call_id, Reason.INTERNAL, _RETRY_MS)
        match decision:
            case Claim():
                self._run(slot, decision, call, send, calls)
            case Refused() | Lost():
                _log_refusal(call, decision.reason)
                send(decision)
            case StoredResponse():
                _log_refusal(call, Reason.RAN_BEFORE)
                _replay(decision, call.call_id, send)

    def _slot(self, call: Call) -> _Slot:
        stream = slot_stream(call.service, call.slot or 0)
        with self._lock:
            return self._slots.setdefault(stream, _Slot(stream))

    def _decide(
        self, slot: _Slot, call: Call, send: Send
    ) -> Claim | Refused | Lost | StoredResponse | None:
        """Decide what to do with a call; None if it joined a running one."""
        # While the log is unavailable, this side cannot know whether another
        # side has claimed the key. Calls are refused at once, rather than
        # each after a timeout of its own.
        backing_off = self._clock.elapsed() < self._log_backoff_until
        if backing_off or not self._ensure_owned(slot):
            return _refuse(call, Reason.LOG_UNAVAILABLE)
        key = call.key or b''
        previous = slot.ledger.key_state(key)
        if previous is not None and previous.claim_id not in slot.abandoned:
            if previous.fingerprint != call.fingerprint:
                # A retry would fail again, so no time to retry is given.
                return Refused(call.call_id, Reason.KEY_REUSED, 0)
            return self._handle_retry(slot, call, send, previous)
        return self._claim(slot, call, previous)

    def _handle_retry(
        self,
        slot: _Slot,
        call: Call,
        send: Send,
        previous: ClaimedKey | FinishedKey,
    ) -> Lost | StoredResponse | None:
        followers = slot.running.get(call.key or b'')
        if followers is not None:
            followers.append((call.call_id, send))
            return None
        if isinstance(previous, FinishedKey) and previous.answer is not None:
            return previous.answer
        # Either a previous owner claimed the key and how far its call came
        # is unknown, or the response was too large to store. Running the
        # call now could run it twice.
        return Lost(call.call_id, Reason.RAN_BEFORE)

    def _ensure_owned(self, slot: _Slot) -> bool:
        """Take over the slot if necessary, with an up-to-date ledger."""
        if slot.ledger.owner == self._incarnation:
            return True
        if self._catch_up(slot).is_err():
            return False
        if slot.ledger.owner == self._incarnation:
            return True
        epoch = slot.ledger.epoch + 1
        appended = self._append(slot, (SlotTakeover(self._incarnation, epoch),))
        if appended.is_err():
            return False
        log_decision('slot_taken', {'stream': slot.stream, 'epoch': epoch})
        return slot.ledger.owner == self._incarnation

    def _claim(
        self, slot: _Slot, call: Call, previous: ClaimedKey | FinishedKey | None
    ) -> Claim | Refused:
        claim = Claim(
            uuid.uuid4().hex,
            slot.ledger.epoch,
            call.key or b'',
            call.fingerprint or b'',
        )
        records: list[LedgerRecord] = [claim]
        if previous is not None:
            records.insert(0, WithdrawnClaim(previous.claim_id, claim.key))
        if self._append(slot, records).is_err():
            # The claim may be in the log or may still reach it. No call
            # runs under this claim, now or later, so that "not run" is the
            # true outcome. The claim is withdrawn so that it does not block
            # the key.
            slot.abandoned.add(claim.claim_id)
            slot.unlogged.append(WithdrawnClaim(claim.claim_id, claim.key))
            return _refuse(call, Reason.LOG_UNAVAILABLE)
        current = slot.ledger.key_state(claim.key)
        if current is None or current.claim_id != claim.claim_id:
            # Another side took over the slot before the claim was logged.
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
        recorded = _RecordedResponse()

        def relay(frame: Any) -> bool:  # noqa: WPS430
            _record_frame(recorded, frame)
            if isinstance(frame, Refused | Lost | End):
                self._finish(slot, claim, recorded, frame)
            return send(frame)

        calls.offer(call, relay)

    def _finish(
        self,
        slot: _Slot,
        claim: Claim,
        recorded: _RecordedResponse,
        last: Refused | Lost | End,
    ) -> None:
        with slot.lock:
            followers = slot.running.pop(claim.key, [])
            if isinstance(last, Refused):
                # Admission or the host of the upstream guarantees that the
                # call never started, so the key may be claimed again.
                slot.abandoned.add(claim.claim_id)
                slot.unlogged.append(WithdrawnClaim(claim.claim_id, claim.key))
            elif isinstance(last, End):
                done = RecordedOutcome(
                    claim.claim_id, claim.key, recorded.answer
                )
                slot.unlogged.append(done)
                slot.ledger.record_outcome(done)
        for call_id, send in followers:
            _send_outcome(call_id, send, last, recorded.answer)

    def _append(
        self, slot: _Slot, records: Iterable[LedgerRecord]
    ) -> Result[None, LogUnavailable]:
        batch = [*slot.unlogged, *records]
        frames = [CLAIMS_CODEC.encode(record) for record in batch]
        match self._log.append(slot.stream, frames):
            case Ok(offset):
                slot.unlogged.clear()
                slot.abandoned -= _withdrawn_ids(batch)
                if slot.ledger.fold_appended(offset, batch):
                    return Ok(None)
                return self._catch_up(slot)
            case Err() as failed:
                # The unlogged records remain for the next attempt: outcomes
                # and withdrawals may be in the log twice without harm.
                self._log_backoff_until = self._clock.elapsed() + _LOG_BACKOFF
                return failed

    def _catch_up(self, slot: _Slot) -> Result[None, LogUnavailable]:
        start = slot.ledger.next_offset
        match read_to_end(self._log, slot.stream, start):
            case Ok(page):
                return Ok(slot.ledger.fold_page(page))
            case Err() as failed:
                self._log_backoff_until = self._clock.elapsed() + _LOG_BACKOFF
                return failed


def _withdrawn_ids(batch: Iterable[LedgerRecord]) -> set[str]:
    return {each.claim_id for each in batch if isinstance(each, WithdrawnClaim)}


def _refuse(call: Call, reason: Reason) -> Refused:
    return Refused(call.call_id, reason, _RETRY_MS)


def _record_frame(recorded: _RecordedResponse, frame: Any) -> None:
    match frame:
        case Head(status=status, headers=headers):
            recorded.status = status
            recorded.headers = headers
        case Chunk(body=body) if len(recorded.body) <= MAX_STORED_BODY_BYTES:
            recorded.body += body
        case End():
            recorded.complete = True


def _replay(answer: StoredResponse, call_id: str, send: Send) -> None:
    send(Head(call_id, answer.status, answer.headers))
    send(Chunk(call_id, 0, answer.body))
    send(End(call_id, 1))


def _send_outcome(
    call_id: str,
    send: Send,
    last: Refused | Lost | End,
    answer: StoredResponse | None,
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
