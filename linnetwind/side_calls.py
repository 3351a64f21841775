"""Admission and execution of calls at one upstream of a side daemon."""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from loguru import logger

from linnetwind.address import Address
from linnetwind.call_admission import Action, CallAdmission, Refuse, StartCall
from linnetwind.clock import Clock
from linnetwind.messages import Call, CallStatus, End, Head, Lost, Refused
from linnetwind.outcome import Reason
from linnetwind.upstream_http import UpstreamHttpCall, requested_backoff

Send = Callable[[Any], bool]

_MS = timedelta(milliseconds=1)


@dataclass
class _PendingCall:
    call: Call
    send: Send
    run: UpstreamHttpCall | None = None


class UpstreamCalls:
    """Admits calls, runs them at the upstream and sends back the responses."""

    def __init__(
        self,
        address: Address,
        admission: CallAdmission,
        executor: Executor,
        clock: Clock,
    ) -> None:
        """Create the state for an upstream without calls.

        Args:
          address: The address of the upstream.
          admission: The admission control, which decides which calls start.
          executor: The executor that runs the started calls.
          clock: The clock that measures the duration of calls.
        """
        self._address = address
        self._admission = admission
        self._executor = executor
        self._clock = clock
        self._pending: dict[str, _PendingCall] = {}
        self._lock = threading.RLock()

    @property
    def admission(self) -> CallAdmission:
        """Return the admission control, whose figures go into load reports."""
        return self._admission

    @property
    def busy(self) -> bool:
        """Return whether any call is queued or running."""
        return bool(self._pending)

    def offer(self, call: Call, send: Send) -> None:
        """Start, queue or refuse a call from an entry daemon.

        Args:
          call: The call.
          send: A function that sends a frame back to the entry daemon, and
            returns False once the connection is closed.
        """
        with self._lock:
            actions = self._admission.offer(
                call.call_id, call.priority, call.timeout_ms * _MS
            )
            if call.call_id not in self._pending:
                self._pending[call.call_id] = _PendingCall(call, send)
                self._execute(actions)

    def withdraw(self, call_id: str) -> CallStatus:
        """Bar a call from starting unless it has started already.

        Args:
          call_id: The ID of the call.

        Returns:
          Whether the call has started.
        """
        with self._lock:
            started = self._admission.withdraw(call_id)
            if not started:
                self._pending.pop(call_id, None)
            return CallStatus(call_id, started)

    def cancel(self, call_id: str) -> None:
        """Cancel a call whose caller has disconnected.

        A call that is not repeatable runs to its end: if it were cancelled
        halfway, nobody would know which effects it had.

        Args:
          call_id: The ID of the call.
        """
        with self._lock:
            self.withdraw(call_id)
            pending = self._pending.get(call_id)
            if pending and pending.run and pending.call.repeatable:
                pending.run.cancel()

    def expire(self) -> None:
        """Refuse the queued calls whose deadline has passed."""
        with self._lock:
            self._execute(self._admission.expire())

    def stop_accepting(self) -> None:
        """Refuse queued calls and all new ones; running calls continue."""
        with self._lock:
            self._execute(self._admission.stop_accepting())

    def resume_accepting(self) -> None:
        """Accept new calls again after `stop_accepting`."""
        with self._lock:
            self._admission.resume_accepting()

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case StartCall(call_id):
                    self._executor.submit(self._run, self._pending[call_id])
                case Refuse():
                    self._refuse(action)

    def _refuse(self, refusal: Refuse) -> None:
        pending = self._pending.pop(refusal.call_id, None)
        if pending is not None:
            wait_ms = refusal.retry_after // _MS
            pending.send(Refused(refusal.call_id, refusal.reason, wait_ms))

    def _run(self, pending: _PendingCall) -> None:
        call = pending.call
        started = self._clock.elapsed()
        pending.run = UpstreamHttpCall(self._address, call)
        complete = False
        try:
            complete = self._relay(pending, pending.run)
        except Exception:
            logger.exception('call {} failed', call.call_id)
            pending.send(Lost(call.call_id, Reason.INTERNAL))
        finally:
            self._finish(
                call, self._clock.elapsed() - started, complete=complete
            )

    def _relay(self, pending: _PendingCall, run: UpstreamHttpCall) -> bool:
        delivered = True
        complete = False
        for frame in run.answers():
            if isinstance(frame, Head):
                self._apply_backoff(frame)
            # The response to a call that is not repeatable is read to its
            # end even if the caller has disconnected: a later retry with the
            # same idempotency key needs the outcome.
            sent = pending.send(frame)
            delivered = delivered and sent
            if not delivered and pending.call.repeatable:
                run.cancel()
                return False
            complete = isinstance(frame, End)
        return complete

    def _apply_backoff(self, head: Head) -> None:
        backoff = requested_backoff(head)
        if backoff is None:
            return
        logger.info(
            'upstream {} requests no calls for {}', self._address, backoff
        )
        with self._lock:
            self._execute(self._admission.back_off(backoff))

    def _finish(
        self, call: Call, duration: timedelta, *, complete: bool
    ) -> None:
        with self._lock:
            self._pending.pop(call.call_id, None)
            self._execute(
                self._admission.finish(
                    call.call_id, duration if complete else None
                )
            )
