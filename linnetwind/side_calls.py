"""The calls at one upstream of a side daemon."""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from loguru import logger

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.gate import Action, Gate, Refuse, Start
from linnetwind.messages import Call, End, Fate, Head, Lost, Refused
from linnetwind.outcome import Reason
from linnetwind.upstream_http import UpstreamRun, backoff_asked

Send = Callable[[Any], bool]

_MS = timedelta(milliseconds=1)


@dataclass
class _Pending:
    call: Call
    send: Send
    run: UpstreamRun | None = None


class UpstreamCalls:
    """Admits calls, runs them at the upstream and sends the answers."""

    def __init__(
        self, address: Address, gate: Gate, executor: Executor, clock: Clock
    ) -> None:
        """Start with no calls.

        Args:
          address: The upstream's address.
          gate: Decides which calls start.
          executor: Runs the calls that start.
          clock: Measures their time.
        """
        self._address = address
        self._gate = gate
        self._executor = executor
        self._clock = clock
        self._pending: dict[str, _Pending] = {}
        self._lock = threading.RLock()

    @property
    def gate(self) -> Gate:
        """Return the gate, for reports."""
        return self._gate

    @property
    def busy(self) -> bool:
        """Return whether any call waits or runs."""
        return bool(self._pending)

    def offer(self, call: Call, send: Send) -> None:
        """Take a call from an entry daemon.

        Args:
          call: The call.
          send: Sends an answer back; false once the connection is gone.
        """
        with self._lock:
            actions = self._gate.offer(
                call.call_id, call.priority, call.timeout_ms * _MS
            )
            if call.call_id not in self._pending:
                self._pending[call.call_id] = _Pending(call, send)
                self._perform(actions)

    def withdraw(self, call_id: str) -> Fate:
        """Answer what became of a call, and bar it if it has not started.

        Args:
          call_id: The call.

        Returns:
          Its fate.
        """
        with self._lock:
            started = self._gate.withdraw(call_id)
            if not started:
                self._pending.pop(call_id, None)
            return Fate(call_id, started)

    def cancel(self, call_id: str) -> None:
        """Stop a call whose caller has gone.

        A call that may not be repeated is left to run to its end: stopping
        it halfway would leave nobody knowing what it did.

        Args:
          call_id: The call.
        """
        with self._lock:
            self.withdraw(call_id)
            pending = self._pending.get(call_id)
            if pending and pending.run and pending.call.repeatable:
                pending.run.cancel()

    def expire(self) -> None:
        """Refuse the waiting calls whose deadline has passed."""
        with self._lock:
            self._perform(self._gate.expire())

    def leave(self) -> None:
        """Refuse waiting and new calls; running ones go on."""
        with self._lock:
            self._perform(self._gate.leave())

    def come_back(self) -> None:
        """Take new calls again."""
        with self._lock:
            self._gate.come_back()

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Start(call_id):
                    self._executor.submit(self._run, self._pending[call_id])
                case Refuse():
                    self._refuse(action)

    def _refuse(self, refusal: Refuse) -> None:
        pending = self._pending.pop(refusal.call_id, None)
        if pending is not None:
            wait_ms = refusal.retry_after // _MS
            pending.send(Refused(refusal.call_id, refusal.reason, wait_ms))

    def _run(self, pending: _Pending) -> None:
        call = pending.call
        started = self._clock.elapsed()
        pending.run = UpstreamRun(self._address, call)
        whole = False
        try:
            whole = self._relay(pending, pending.run)
        except Exception:
            logger.exception('call {} failed', call.call_id)
            pending.send(Lost(call.call_id, Reason.INTERNAL))
        finally:
            self._finish(call, self._clock.elapsed() - started, whole=whole)

    def _relay(self, pending: _Pending, run: UpstreamRun) -> bool:
        delivered = True
        whole = False
        for answer in run.answers():
            if isinstance(answer, Head):
                self._note_backoff(answer)
            # A call that may not be repeated is followed to its end even if
            # nobody listens: its outcome must be known to the next repeat.
            reached = pending.send(answer)
            delivered = delivered and reached
            if not delivered and pending.call.repeatable:
                run.cancel()
                return False
            whole = isinstance(answer, End)
        return whole

    def _note_backoff(self, head: Head) -> None:
        backoff = backoff_asked(head)
        if backoff is None:
            return
        logger.info('upstream {} wants no calls for {}', self._address, backoff)
        with self._lock:
            self._perform(self._gate.back_off(backoff))

    def _finish(self, call: Call, took: timedelta, *, whole: bool) -> None:
        with self._lock:
            self._pending.pop(call.call_id, None)
            self._perform(
                self._gate.finish(call.call_id, took if whole else None)
            )
