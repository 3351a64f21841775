"""Assembles the response of one call from its frames, as a state machine.

Frames may arrive late, twice or out of order. The caller receives each chunk
once and in order. The response is complete only when the end frame and all
the chunks that it counts have arrived.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.messages import Chunk, End, Head, Headers, Lost, Refused
from linnetwind.outcome import NotRun, Reason, Unknown

# The limit on chunks that are buffered while an earlier one is missing. Beyond
# it the call fails, which bounds the memory of the entry daemon.
MAX_BUFFERED_CHUNKS = 1024

_MS = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection to the side daemon broke during the call."""


@dataclass(frozen=True, slots=True)
class Opened:
    """The status and headers, which are relayed once."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class Body:
    """The next part of the body."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """The response is complete."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The response cannot be completed."""

    outcome: NotRun | Unknown


Frame = Head | Chunk | End | Refused | Lost | LinkLost
Step = Opened | Body | Finished | Failed


class _Phase(enum.Enum):
    WAITING = enum.auto()
    OPEN = enum.auto()
    DONE = enum.auto()


class ResponseAssembler:
    """The state of one call's response."""

    def __init__(self) -> None:
        """Start before the first frame."""
        self._phase = _Phase.WAITING
        self._next_seq = 0
        self._chunk_count: int | None = None
        self._buffered: dict[int, bytes] = {}

    @property
    def done(self) -> bool:
        """Return whether the response is complete or has failed."""
        return self._phase is _Phase.DONE

    def accept(self, frame: Frame) -> tuple[Step, ...]:
        """Process the next frame of this call.

        Args:
          frame: The frame that arrived next, in or out of order.

        Returns:
          The steps that are ready for the caller now.
        """
        if self.done:
            return ()
        match frame:
            case Head(status=status, headers=headers):
                return self._start_response(status, headers)
            case Chunk(seq=seq, body=body):
                return self._add_chunk(seq, body)
            case End(chunks=chunks):
                self._chunk_count = chunks
                return self._deliver_in_order()
            case Refused():
                return self._handle_refusal(frame)
            case Lost(reason=reason):
                return self._fail(Unknown(reason))
            case LinkLost():
                return self._fail(Unknown(Reason.CONNECTION_LOST))

    def _start_response(
        self, status: int, headers: Headers
    ) -> tuple[Step, ...]:
        if self._phase is not _Phase.WAITING:
            return ()
        self._phase = _Phase.OPEN
        return (Opened(status, headers), *self._deliver_in_order())

    def _add_chunk(self, seq: int, body: bytes) -> tuple[Step, ...]:
        if seq >= self._next_seq:
            self._buffered[seq] = body
        if len(self._buffered) > MAX_BUFFERED_CHUNKS:
            return self._fail(Unknown(Reason.INCOMPLETE_ANSWER))
        return self._deliver_in_order()

    def _deliver_in_order(self) -> tuple[Step, ...]:
        if self._phase is not _Phase.OPEN:
            return ()
        steps: list[Step] = []
        while self._next_seq in self._buffered:
            steps.append(Body(self._buffered.pop(self._next_seq)))
            self._next_seq += 1
        if (
            self._chunk_count is not None
            and self._next_seq >= self._chunk_count
        ):
            self._phase = _Phase.DONE
            steps.append(Finished())
        return tuple(steps)

    def _handle_refusal(self, refused: Refused) -> tuple[Step, ...]:
        if self._phase is _Phase.OPEN:
            # A refusal after the start of the response is contradictory. The
            # request may have run, so the outcome is unknown, not "not run".
            return self._fail(Unknown(Reason.INTERNAL))
        wait = refused.retry_after_ms * _MS
        return self._fail(NotRun(refused.reason, wait))

    def _fail(self, outcome: NotRun | Unknown) -> tuple[Step, ...]:
        self._phase = _Phase.DONE
        return (Failed(outcome),)
