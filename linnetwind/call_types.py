"""Data types of a request and its response as the gateway relays them."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from linnetwind.prompt_parts import PromptPart

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request.

    `received` is the monotonic time at which its head was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received: timedelta


@dataclass(frozen=True, slots=True)
class TokenCounts:
    """The tokens of a prompt, and the maximum number in its answer."""

    prompt: int
    answer: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """The metadata in a request's headers, independent of the header format.

    `call_id` identifies one attempt of a caller. `time_limit` is how long the
    caller will wait, None if it does not say. `subject` names the session or
    subject of a prompt; a caller's retry of the request has the same one.
    `prompt_parts` are the parts of a prompt that other requests may share.
    """

    call_id: str
    host: str
    path: str
    time_limit: timedelta | None
    api_key: str | None
    tokens: TokenCounts | None
    subject: str
    prompt_parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class Forwarding:
    """The metadata that the gateway adds to a request for an upstream.

    `customer` is None for an anonymous call. `resume_after` is the id of the
    last event that the caller received; the upstream resumes the stream after
    it. It is None if the stream starts from its beginning.
    """

    instance: str
    customer: str | None
    time_left: timedelta
    resume_after: int | None


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """The metadata in a response's head, independent of the header format.

    `signed` says that an upstream generated the response, and `not_executed`
    that it did not run the request. `misdirected` says that the request
    expected another instance at this address; `instance` then names the one
    that responded. `call_id` is None if the response names no call.
    `max_per_s` is the upstream's limit on the requests per second of all
    daemons together, None if it states no limit. `backoff` is how long it
    accepts no more requests from this daemon, None if it requests no backoff.
    `leaving` says that it is shutting down and accepts no new requests.
    """

    signed: bool
    call_id: str | None
    not_executed: bool
    misdirected: bool
    instance: str | None
    max_per_s: float | None = None
    backoff: timedelta | None = None
    leaving: bool = False


class Dialect(Protocol):
    """Translates the header format of the platform that the gateway runs on."""

    def read_call(self, request: CallerRequest) -> RequestFacts:
        """Return the metadata in a request's headers."""

    def write_forward(
        self, request: CallerRequest, forwarding: Forwarding
    ) -> Headers:
        """Return the headers with which a request is sent to an upstream."""

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Return the metadata in a response's head."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of a response that are relayed to the caller."""
