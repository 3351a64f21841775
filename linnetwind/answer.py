"""Putting one call's answer together from its frames, as a state machine.

Frames may come late, twice or out of order; the caller gets each chunk
once, in order, and the answer counts as whole only when the end mark and
all the chunks that it counts have come.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.messages import Chunk, End, Head, Headers, Lost, Refused
from linnetwind.outcome import NotRun, Reason, Unknown

# Chunks kept while an earlier one is missing; beyond it the stream is
# broken rather than the memory of the entry daemon.
MAX_HELD_CHUNKS = 1024

_MS = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection to the side daemon broke during the call."""


@dataclass(frozen=True, slots=True)
class Opened:
    """The status and headers, to be passed on once."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class Body:
    """The next part of the body."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer is whole."""


@dataclass(frozen=True, slots=True)
class Failed:
    """There will be no whole answer."""

    outcome: NotRun | Unknown


Frame = Head | Chunk | End | Refused | Lost | LinkLost
Step = Opened | Body | Finished | Failed


class _Phase(enum.Enum):
    WAITING = enum.auto()
    OPEN = enum.auto()
    DONE = enum.auto()


class ResponseAssembler:
    """The state of one call's answer."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self._phase = _Phase.WAITING
        self._next = 0
        self._expected: int | None = None
        self._held: dict[int, bytes] = {}

    @property
    def done(self) -> bool:
        """Return whether the answer has finished or failed."""
        return self._phase is _Phase.DONE

    def accept(self, frame: Frame) -> tuple[Step, ...]:
        """Take the next frame of this call.

        Args:
          frame: A frame, in whatever order it arrived.

        Returns:
          What to pass on now.
        """
        if self.done:
            return ()
        match frame:
            case Head(status=status, headers=headers):
                return self._open(status, headers)
            case Chunk(seq=seq, body=body):
                return self._take(seq, body)
            case End(chunks=chunks):
                self._expected = chunks
                return self._release()
            case Refused():
                return self._refused(frame)
            case Lost(reason=reason):
                return self._fail(Unknown(reason))
            case LinkLost():
                return self._fail(Unknown(Reason.CONNECTION_LOST))

    def _open(self, status: int, headers: Headers) -> tuple[Step, ...]:
        if self._phase is not _Phase.WAITING:
            return ()
        self._phase = _Phase.OPEN
        return (Opened(status, headers), *self._release())

    def _take(self, seq: int, body: bytes) -> tuple[Step, ...]:
        if seq >= self._next:
            self._held[seq] = body
        if len(self._held) > MAX_HELD_CHUNKS:
            return self._fail(Unknown(Reason.INCOMPLETE_ANSWER))
        return self._release()

    def _release(self) -> tuple[Step, ...]:
        if self._phase is not _Phase.OPEN:
            return ()
        steps: list[Step] = []
        while self._next in self._held:
            steps.append(Body(self._held.pop(self._next)))
            self._next += 1
        if self._expected is not None and self._next >= self._expected:
            self._phase = _Phase.DONE
            steps.append(Finished())
        return tuple(steps)

    def _refused(self, refused: Refused) -> tuple[Step, ...]:
        if self._phase is _Phase.OPEN:
            # A refusal after the answer began contradicts itself; "not run"
            # would be a lie, so the fate counts as unknown.
            return self._fail(Unknown(Reason.INTERNAL))
        wait = refused.retry_after_ms * _MS
        return self._fail(NotRun(refused.reason, wait))

    def _fail(self, outcome: NotRun | Unknown) -> tuple[Step, ...]:
        self._phase = _Phase.DONE
        return (Failed(outcome),)
