"""Follows one call from its sending to the end of its response."""

import queue
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.fleet import Fleet
from linnetwind.link import CallStream, Link
from linnetwind.link_pool import LinkPool
from linnetwind.messages import Cancel, Headers
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.response_assembler import (
    Body,
    Failed,
    Finished,
    Frame,
    Opened,
    ResponseAssembler,
    Step,
)

STATUS_QUERY_SECONDS = 1.0
MAX_BUFFERED_BYTES = 65_536

# Failures that count against the health of the upstream or its host.
_UPSTREAM_FAULTS = frozenset(
    (
        Reason.CONNECTION_LOST,
        Reason.UPSTREAM_REFUSED,
        Reason.UPSTREAM_CRASHED,
        Reason.INCOMPLETE_ANSWER,
    )
)
_MIN_WAIT_S = 0.001
_SECOND = timedelta(seconds=1)


@dataclass(frozen=True)
class OpenResponse:
    """A response whose head and first part have arrived."""

    status: int
    headers: Headers
    body: Iterator[bytes]


@dataclass(frozen=True)
class SentCall:
    """A call that was sent, its link, and its deadline in monotonic time."""

    upstream: str
    link: Link
    stream: CallStream
    deadline: timedelta


class InterruptedResponse(Exception):  # noqa: N818
    """The response broke off after its head was sent to the caller."""

    def __init__(self, outcome: NotRun | Unknown) -> None:
        """Store the outcome.

        Args:
          outcome: The outcome of the request.
        """
        super().__init__(outcome.reason)
        self.outcome = outcome


class InFlightCall:
    """One call in flight."""

    def __init__(
        self,
        sent_call: SentCall,
        fleet: Fleet,
        links: LinkPool,
        clock: Clock,
        *,
        streamed: bool,
    ) -> None:
        """Start following a call.

        Args:
          sent_call: The call, its link and its deadline.
          fleet: Records when the upstream sent a frame and how calls ended.
          links: Opens a new link if the call's link is lost.
          clock: The clock for the deadline.
          streamed: Whether to relay each part as it arrives.
        """
        self._sent_call = sent_call
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._min_buffered_bytes = 1 if streamed else MAX_BUFFERED_BYTES
        self._assembler = ResponseAssembler()

    def open(self) -> OpenResponse | NotRun | Unknown:
        """Wait until the response starts or the call fails.

        Returns:
          The open response, or the outcome if there is none.
        """
        # The head of a stream is buffered until its first part has arrived,
        # that of another response until the response is complete or reaches
        # MAX_BUFFERED_BYTES. Until then nothing was sent to the caller, so
        # that a repeatable request can still be retried elsewhere and a
        # failure can be reported with its own HTTP status.
        opened: Opened | None = None
        buffered: list[bytes] = []
        steps = self._read_steps()
        for step in steps:
            match step:
                case Opened():
                    opened = step
                case Failed(outcome):
                    return outcome
                case Body(body):
                    buffered.append(body)
            has_enough = (
                sum(len(body) for body in buffered) >= self._min_buffered_bytes
            )
            if opened is not None and (
                has_enough or isinstance(step, Finished)
            ):
                remaining_body = self._body(buffered, steps)
                return OpenResponse(
                    opened.status, opened.headers, remaining_body
                )
        return Unknown(Reason.INTERNAL)

    def _body(
        self, buffered: list[bytes], steps: Iterator[Step]
    ) -> Iterator[bytes]:
        try:
            yield from buffered
            yield from _body_parts(steps)
        finally:
            if not self._assembler.done:
                # The caller disconnected.
                self._sent_call.link.post(
                    Cancel(self._sent_call.stream.call_id)
                )
                self._record_call_end(None)

    def _read_steps(self) -> Iterator[Step]:
        while not self._assembler.done:
            frame = self._next_frame()
            if frame is None:
                outcome = self._query_outcome(Reason.DEADLINE)
                self._record_call_end(outcome.reason)
                yield Failed(outcome)
                return
            with self._links.lock:
                self._fleet.record_frame_received(self._sent_call.upstream)
            for step in self._assembler.accept(frame):
                yield self._record_failure_or_end(step)

    def _record_failure_or_end(self, step: Step) -> Step:
        match step:
            case Failed(Unknown(Reason.CONNECTION_LOST)):
                outcome = self._query_outcome(Reason.CONNECTION_LOST)
                self._record_call_end(Reason.CONNECTION_LOST)
                return Failed(outcome)
            case Failed(outcome):
                self._record_call_end(outcome.reason)
            case Finished():
                self._record_call_end(None)
        return step

    def _next_frame(self) -> Frame | None:
        time_left = self._sent_call.deadline - self._clock.elapsed()
        try:
            return self._sent_call.stream.frames.get(
                timeout=max(time_left.total_seconds(), _MIN_WAIT_S)
            )
        except queue.Empty:
            return None

    def _query_outcome(self, reason: Reason) -> NotRun | Unknown:
        """Query the side daemon whether a call without a response started."""
        sent_call = self._sent_call
        call_id = sent_call.stream.call_id
        link = self._links.fresh_link_to(sent_call.upstream)
        # Only the process that received the call can confirm that it did not
        # start the call. A process that was restarted since then has no
        # record of it.
        if (
            link is None
            or link.peer.incarnation != sent_call.link.peer.incarnation
        ):
            return Unknown(reason)
        call_status = link.query_call_status(call_id, STATUS_QUERY_SECONDS)
        if call_status is None or call_status.started:
            link.post(Cancel(call_id))
            return Unknown(reason)
        return NotRun(reason, _SECOND)

    def _record_call_end(self, reason: Reason | None) -> None:
        self._sent_call.link.discard_call(self._sent_call.stream.call_id)
        with self._links.lock:
            self._fleet.record_call_end(
                self._sent_call.upstream, failed=reason in _UPSTREAM_FAULTS
            )


def _body_parts(steps: Iterator[Step]) -> Iterator[bytes]:
    for step in steps:
        match step:
            case Body(body):
                yield body
            case Failed(outcome):
                raise InterruptedResponse(outcome)
