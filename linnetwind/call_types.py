"""A caller's request on its way through the gateway, as data types."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that was read whole; `received` is when its head was."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received: timedelta


@dataclass(frozen=True, slots=True)
class TokenCounts:
    """The tokens of a prompt, and the most tokens of its answer."""

    prompt: int
    answer: int


@dataclass(frozen=True, slots=True)
class CallFacts:
    """What a request's headers say, in the project's terms.

    `call_id` names one try of a caller, `time_limit` is how long the caller
    will wait, `subject` names the session or subject of a prompt, which a
    repeat of the request shares.
    """

    call_id: str
    host: str
    path: str
    time_limit: timedelta | None
    api_key: str | None
    tokens: TokenCounts | None
    subject: str


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What the gateway itself tells an upstream of a request.

    `customer` is None for an anonymous call; `resume_after` is the id of the
    last event that the caller has, when a stream is resumed.
    """

    instance: str
    customer: str | None
    time_left: timedelta
    resume_after: int | None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an answer's head says, in the project's terms.

    `signed` says that an upstream made the answer, `not_executed` that it
    did not run the request, `misdirected` that another instance was expected
    there; `instance` then names the one that answered. `call_id` is None if
    the answer names no call. `most_per_s` is how many requests a second the
    upstream takes from all daemons together, None if it names no limit.
    `backoff` is for how long it wants nothing more from this daemon, None if it
    does not say so. `leaving` says that it will end and takes no new work.
    """

    signed: bool
    call_id: str | None
    not_executed: bool
    misdirected: bool
    instance: str | None
    most_per_s: float | None = None
    backoff: timedelta | None = None
    leaving: bool = False


class Dialect(Protocol):
    """How requests and answers are written where the gateway runs."""

    def read_call(self, request: CallerRequest) -> CallFacts:
        """Return what a request's headers say."""

    def write_forward(
        self, request: CallerRequest, forwarding: Forwarding
    ) -> Headers:
        """Return the headers with which a request goes to an upstream."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what an answer's head says."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that go on to the caller."""
