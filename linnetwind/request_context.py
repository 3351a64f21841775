"""The state of one caller's request, and the services that all requests use."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.idle_connections import IdleConnections
from linnetwind.admission.stream_work import StreamWork
from linnetwind.bytes_in_hand import BytesInHand
from linnetwind.call_policy import FailedAttempt
from linnetwind.call_types import (
    CallerRequest,
    Dialect,
    Header,
    Headers,
    RequestFacts,
)
from linnetwind.caller_connection import CallerConnection
from linnetwind.clock import Clock
from linnetwind.event_log import EventLog
from linnetwind.fingerprint import Fingerprint, fingerprint_request
from linnetwind.gateway_state import GatewayState
from linnetwind.gateway_stop import GatewayStop
from linnetwind.open_work import OpenWork
from linnetwind.prompt_parts import PromptPart
from linnetwind.routes import Route, RoutedService, RouteTable
from linnetwind.stream_durations import StreamDurations
from linnetwind.upstream_call import (
    BrokenCall,
    CallerDisconnected,
    CallOpener,
    Head,
    TimedOut,
)
from linnetwind.upstreams.upstream_list import Upstream


def _notify_no_peers() -> None:
    """Do nothing; the default for a gateway without peers."""


def _store_no_quarantine(request: Fingerprint) -> None:
    """Do nothing; the default for a gateway without a store."""


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """The daemon's shared services that every request uses.

    `idle` are the callers' connections that may be closed to make room, None
    without a bound on them. `advertise_to_peers` sends this daemon's state to
    its peers at once. `persist_quarantine` writes a quarantine to the store.
    """

    state: GatewayState
    dialect: Dialect
    clock: Clock
    log: EventLog
    open_call: CallOpener
    stop: GatewayStop
    runs: StreamDurations = field(default_factory=StreamDurations)
    stream_work: StreamWork = field(default_factory=StreamWork)
    open_work: OpenWork = field(default_factory=OpenWork)
    bytes_in_hand: BytesInHand = field(default_factory=BytesInHand)
    idle: IdleConnections | None = None
    advertise_to_peers: Callable[[], None] = _notify_no_peers
    persist_quarantine: Callable[[Fingerprint], None] = _store_no_quarantine


@dataclass(slots=True)
class RequestContext:
    """The state of a request between its reception and its final response.

    `until` is the monotonic time by which the final response is due.
    `acquired` is the upstream at which the request is already counted before
    its first attempt, and `current_upstream` the one that it was sent to last.
    `sent_to` lists the instances that received the request; `tried` holds
    those that are excluded from further attempts.
    `last_event_id` is the id of the last event that the caller received, and
    `response_started` says that the caller received part of the response.
    `failure` is an upstream's error response, which goes to the caller if no
    other upstream gives a better one.
    """

    request: CallerRequest
    facts: RequestFacts
    table: RouteTable
    until: timedelta
    route: Route | None = None
    customer: str | None = None
    service: RoutedService | None = None
    queued: timedelta = timedelta()
    acquired: Upstream | None = None
    current_upstream: Upstream | None = None
    sent_to: list[str] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    first_byte: timedelta | None = None
    last_event_id: int | None = None
    last_event_at: timedelta | None = None
    longest_pause: timedelta = timedelta()
    events: int = 0
    response_started: bool = False
    failure: tuple[Head, bytes] | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint that all retries of this request share."""
        request = self.request
        return fingerprint_request(
            self.customer or '', request.method, request.target, request.body
        )

    @property
    def prompt_parts(self) -> tuple[PromptPart, ...]:
        """Return the shareable parts of the prompt, as known to its service.

        A part that crashes the upstreams of one service may be answered by
        those of another.
        """
        service = self.service.name
        return tuple(
            PromptPart(f'{service}/{part}') for part in self.facts.prompt_parts
        )


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of a request, as the log records it.

    `retry_after` is the delay in the `Retry-After` header that the caller
    received, None without that header.
    """

    outcome: str
    status: int
    reason: str = ''
    retry_after: timedelta | None = None


CALLER_LEFT = RequestResult('caller left', 0)


def as_failed_attempt(
    failure: BrokenCall | TimedOut | CallerDisconnected,
) -> RequestResult | FailedAttempt:
    """Convert the failure of a call into the result of an attempt.

    Args:
      failure: How the call ended.

    Returns:
      The end of the request if the caller disconnected, else the failed
      attempt.
    """
    match failure:
        case BrokenCall(problem):
            return FailedAttempt(problem, may_have_run=True, reached=True)
        case TimedOut():
            return FailedAttempt(
                'no answer in time',
                may_have_run=True,
                reached=True,
                out_of_time=True,
            )
        case CallerDisconnected():
            return CALLER_LEFT


def respond_to_caller(
    tools: GatewayContext,
    connection: CallerConnection,
    status: int,
    headers: Headers,
    body: bytes = b'',
) -> None:
    """Write a complete response to the caller.

    Args:
      tools: The shared services; they say whether the daemon is stopping.
      connection: The caller's connection.
      status: The HTTP status.
      headers: The headers, without Content-Length and Transfer-Encoding.
      body: The body.
    """
    connection.answer(status, with_connection_close(tools, headers), body)


def retry_after_header(delay: timedelta) -> Header:
    """Return the header that tells a caller when to come back.

    Args:
      delay: The time after which to come back.

    Returns:
      The header.
    """
    return (b'Retry-After', f'{delay.total_seconds():.2f}'.encode())


def with_connection_close(tools: GatewayContext, headers: Headers) -> Headers:
    """Add `Connection: close` to a response's headers if the daemon stops.

    Every response needs it, those of streams too. Otherwise callers that keep
    a connection alive send requests to the stopping daemon until its process
    ends, which cuts off the last one.

    Args:
      tools: The shared services; they say whether the daemon is stopping.
      headers: The response's headers.

    Returns:
      The headers, with `Connection: close` if the daemon is stopping.
    """
    if not tools.stop.is_stopping():
        return headers
    return (*headers, (b'Connection', b'close'))
