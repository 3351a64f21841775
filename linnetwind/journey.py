"""How far a caller's request is, and what every request needs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.call_policy import AttemptLost
from linnetwind.call_types import (
    CallerRequest,
    CallFacts,
    Dialect,
    Headers,
)
from linnetwind.caller_connection import CallerConnection
from linnetwind.clock import Clock
from linnetwind.fingerprint import Fingerprint, fingerprint_request
from linnetwind.gateway_state import GatewayState
from linnetwind.gateway_stop import GatewayStop
from linnetwind.open_work import OpenWork
from linnetwind.routes import Route, RoutedService, RouteTable
from linnetwind.run_times import RunTimes
from linnetwind.step_log import StepLog
from linnetwind.upstream_call import (
    Broken,
    CallerLeft,
    CallOpener,
    Head,
    OutOfTime,
)
from linnetwind.upstream_list import Upstream


def _tell_nobody() -> None:
    """Do nothing: a gateway without peers."""


def _keep_nowhere(request: Fingerprint) -> None:
    """Do nothing: a gateway without a store."""


@dataclass(frozen=True, slots=True)
class GatewayTools:
    """What every request needs.

    `tell_peers` sends them this daemon's state at once, `keep_quarantine` has
    the store keep that a request is not sent on.
    """

    state: GatewayState
    dialect: Dialect
    clock: Clock
    log: StepLog
    open_call: CallOpener
    stop: GatewayStop
    runs: RunTimes = field(default_factory=RunTimes)
    open_work: OpenWork = field(default_factory=OpenWork)
    tell_peers: Callable[[], None] = _tell_nobody
    keep_quarantine: Callable[[Fingerprint], None] = _keep_nowhere


@dataclass(slots=True)
class Journey:
    """How far a request is.

    `until` is the monotonic time of its final answer at the latest. `claimed`
    is the upstream at which its place is counted already, `at` the one that
    has it now. `sent_to`
    are the instances that got it, `tried` those that are not tried again.
    `last_event` is the id of the last event that the caller has, `started`
    says that the caller has a part of the answer. `failure` is an upstream's
    own failure, kept in case no other upstream does better.
    """

    request: CallerRequest
    facts: CallFacts
    table: RouteTable
    until: timedelta
    route: Route | None = None
    customer: str | None = None
    service: RoutedService | None = None
    queued: timedelta = timedelta()
    claimed: Upstream | None = None
    at: Upstream | None = None
    sent_to: list[str] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    first_byte: timedelta | None = None
    last_event: int | None = None
    last_event_at: timedelta | None = None
    longest_pause: timedelta = timedelta()
    events: int = 0
    started: bool = False
    failure: tuple[Head, bytes] | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return what all tries of this request have in common."""
        request = self.request
        return fingerprint_request(
            self.customer or '', request.method, request.target, request.body
        )


@dataclass(frozen=True, slots=True)
class Done:
    """The request has ended; what the log says of it.

    `retry_after` is when the caller was told to come back.
    """

    outcome: str
    status: int
    reason: str = ''
    retry_after: timedelta | None = None


CALLER_LEFT = Done('caller left', 0)


def as_lost(failure: Broken | OutOfTime | CallerLeft) -> Done | AttemptLost:
    """Return what a call that ended early means for its request.

    Args:
      failure: How the call ended.

    Returns:
      That the request has ended, or that the attempt is lost.
    """
    match failure:
        case Broken(problem):
            return AttemptLost(problem, may_have_run=True, reached=True)
        case OutOfTime():
            return AttemptLost(
                'no answer in time',
                may_have_run=True,
                reached=True,
                out_of_time=True,
            )
        case CallerLeft():
            return CALLER_LEFT


def answer_caller(
    tools: GatewayTools,
    connection: CallerConnection,
    status: int,
    headers: Headers,
    body: bytes = b'',
) -> None:
    """Write a whole answer to the caller.

    Args:
      tools: Says whether the daemon is stopping.
      connection: The caller's connection.
      status: The status.
      headers: The headers, without any that frame the body.
      body: The body.
    """
    connection.answer(status, with_close(tools, headers), body)


def with_close(tools: GatewayTools, headers: Headers) -> Headers:
    """Return the headers of an answer, with the word that it is the last.

    Without it on every answer, streams too, callers that keep a connection
    send requests to a stopping daemon until it ends, and the last is cut.

    Args:
      tools: Says whether the daemon is stopping.
      headers: The headers.

    Returns:
      The headers, with `Connection: close` if the daemon stops soon.
    """
    if not tools.stop.is_begun():
        return headers
    return (*headers, (b'Connection', b'close'))
