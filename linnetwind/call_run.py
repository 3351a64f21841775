"""Following one call from its sending to the end of its answer."""

import queue
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.answer import (
    Body,
    Failed,
    Finished,
    Frame,
    Opened,
    ResponseAssembler,
    Step,
)
from linnetwind.clock import Clock
from linnetwind.fleet import Fleet
from linnetwind.link import CallStream, Link
from linnetwind.link_pool import LinkPool
from linnetwind.messages import Cancel, Headers
from linnetwind.outcome import NotRun, Reason, Unknown

STATUS_QUERY_SECONDS = 1.0
MAX_BUFFERED_BYTES = 65_536

# Failures that say something about the upstream's or its host's health.
_BLAMED = frozenset(
    (
        Reason.CONNECTION_LOST,
        Reason.UPSTREAM_REFUSED,
        Reason.UPSTREAM_CRASHED,
        Reason.INCOMPLETE_ANSWER,
    )
)
_SHORTEST_WAIT = 0.001
_SECOND = timedelta(seconds=1)


@dataclass(frozen=True)
class OpenAnswer:
    """An answer whose head and first part have come."""

    status: int
    headers: Headers
    body: Iterator[bytes]


@dataclass(frozen=True)
class SentCall:
    """Where a call is, and until when its caller waits."""

    upstream: str
    link: Link
    stream: CallStream
    deadline: timedelta


class BrokenAnswer(Exception):  # noqa: N818
    """The answer broke after its head went out to the caller."""

    def __init__(self, outcome: NotRun | Unknown) -> None:
        """Keep the outcome.

        Args:
          outcome: What is known of the request.
        """
        super().__init__(outcome.reason)
        self.outcome = outcome


class InFlightCall:
    """One call under way."""

    def __init__(
        self,
        place: SentCall,
        fleet: Fleet,
        links: LinkPool,
        clock: Clock,
        *,
        streamed: bool,
    ) -> None:
        """Start following.

        Args:
          place: Where the call was sent.
          fleet: Is told of signs of life and of the end.
          links: Gives a new link when the old one broke.
          clock: For the deadline.
          streamed: Whether the caller wants each part as it comes.
        """
        self._place = place
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._most_held = 1 if streamed else MAX_BUFFERED_BYTES
        self._assembler = ResponseAssembler()

    def open(self) -> OpenAnswer | NotRun | Unknown:
        """Wait until the answer begins, or the call has failed.

        Returns:
          The open answer, or the outcome without one.
        """
        # The head of a stream is held until its first part has come, that
        # of another answer until it is whole or large: until then nothing
        # went out to the caller, a repeatable request can still be tried
        # elsewhere, and a failure has a status of its own.
        opened: Opened | None = None
        held: list[bytes] = []
        steps = self._steps()
        for step in steps:
            match step:
                case Opened():
                    opened = step
                case Failed(outcome):
                    return outcome
                case Body(body):
                    held.append(body)
            enough = sum(len(body) for body in held) >= self._most_held
            if opened is not None and (enough or isinstance(step, Finished)):
                rest = self._body(held, steps)
                return OpenAnswer(opened.status, opened.headers, rest)
        return Unknown(Reason.INTERNAL)

    def _body(
        self, held: list[bytes], steps: Iterator[Step]
    ) -> Iterator[bytes]:
        try:
            yield from held
            yield from _bodies(steps)
        finally:
            if not self._assembler.done:
                # The caller has gone away.
                self._place.link.post(Cancel(self._place.stream.call_id))
                self._conclude(None)

    def _steps(self) -> Iterator[Step]:
        while not self._assembler.done:
            frame = self._next_frame()
            if frame is None:
                outcome = self._resolve(Reason.DEADLINE)
                self._conclude(outcome.reason)
                yield Failed(outcome)
                return
            with self._links.lock:
                self._fleet.sign_of_life(self._place.upstream)
            for step in self._assembler.accept(frame):
                yield self._settle(step)

    def _settle(self, step: Step) -> Step:
        match step:
            case Failed(Unknown(Reason.CONNECTION_LOST)):
                outcome = self._resolve(Reason.CONNECTION_LOST)
                self._conclude(Reason.CONNECTION_LOST)
                return Failed(outcome)
            case Failed(outcome):
                self._conclude(outcome.reason)
            case Finished():
                self._conclude(None)
        return step

    def _next_frame(self) -> Frame | None:
        left = self._place.deadline - self._clock.elapsed()
        try:
            return self._place.stream.frames.get(
                timeout=max(left.total_seconds(), _SHORTEST_WAIT)
            )
        except queue.Empty:
            return None

    def _resolve(self, reason: Reason) -> NotRun | Unknown:
        """Find out whether a call whose answer is missing has started."""
        place = self._place
        call_id = place.stream.call_id
        link = self._links.fresh_link_to(place.upstream)
        # Only the very process that took the call can say that it did not
        # start it; one that was restarted meanwhile knows nothing.
        if link is None or link.peer.incarnation != place.link.peer.incarnation:
            return Unknown(reason)
        fate = link.ask_fate(call_id, STATUS_QUERY_SECONDS)
        if fate is None or fate.started:
            link.post(Cancel(call_id))
            return Unknown(reason)
        return NotRun(reason, _SECOND)

    def _conclude(self, reason: Reason | None) -> None:
        self._place.link.forget(self._place.stream.call_id)
        with self._links.lock:
            self._fleet.call_ended(
                self._place.upstream, failed=reason in _BLAMED
            )


def _bodies(steps: Iterator[Step]) -> Iterator[bytes]:
    for step in steps:
        match step:
            case Body(body):
                yield body
            case Failed(outcome):
                raise BrokenAnswer(outcome)
