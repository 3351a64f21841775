"""Serves the requests on one caller's connection, one after another."""

from collections.abc import Callable
from socket import socket

from linnetwind.admission.memory_budget import MemoryBudget
from linnetwind.bytes_in_hand import BytesInHand
from linnetwind.call_types import Headers
from linnetwind.caller_connection import (
    BadRequest,
    CallerConnection,
    ConnectionEnded,
    ReadResult,
)
from linnetwind.gateway_events import BodyRefused
from linnetwind.relay import Relay
from linnetwind.request_context import GatewayContext, retry_after_header
from linnetwind.routes import CallerLimits

# Requests for readiness and metrics need no body, so only small ones are read.
_PROBE_BODIES = BytesInHand(MemoryBudget(0))


def read_probe(connection: CallerConnection) -> ReadResult:
    """Read a request for readiness or metrics.

    Args:
      connection: The connection.

    Returns:
      The request, or why there is none.
    """
    with _PROBE_BODIES.holder() as held:
        return connection.read_request(held)


def serve_caller(
    sock: socket,
    tools: GatewayContext,
    limits: Callable[[], CallerLimits],
) -> None:
    """Serve a connection until the caller closes it or the daemon stops.

    Args:
      sock: The connection, which the calling code closes afterwards.
      tools: The shared services.
      limits: Returns the current limits on callers' requests.
    """
    stop = tools.stop
    connection = CallerConnection(
        sock, limits, stop.is_draining, tools.clock, tools.idle
    )
    # The connection is counted before the stop is checked. In the other order
    # the process could find no open connection and exit while this thread is
    # between the two steps.
    with tools.open_work.connection():
        # The first request of a connection always gets a response, because a
        # caller whose connection is closed without one receives no
        # `Retry-After`. Later requests are not read once the daemon drains.
        # A response that started before the stop has no `Connection: close`;
        # its connection is closed after it all the same.
        may_continue = _serve_next(connection, tools)
        while may_continue and not stop.is_draining():
            may_continue = _serve_next(connection, tools)


def _serve_next(connection: CallerConnection, tools: GatewayContext) -> bool:
    """Serve the next request; return whether another may follow."""
    # The body is counted until the response is complete, however this ends.
    with tools.bytes_in_hand.holder() as held:
        reading = connection.read_request(held)
        match reading:
            case ConnectionEnded():
                return False
            case BadRequest():
                held.release()
                _reject(connection, tools, reading)
                return False
        return Relay(tools, connection, reading).run()


def _reject(
    connection: CallerConnection, tools: GatewayContext, bad: BadRequest
) -> None:
    """Answer a request that was not read completely.

    No other request can follow on the connection, since the position of the
    next one is not known.
    """
    headers: Headers = ((b'Connection', b'close'),)
    if bad.retry_after is not None:
        headers = (*headers, retry_after_header(bad.retry_after))
        in_hand = tools.bytes_in_hand.total
        tools.log.event(BodyRefused(in_hand, bad.problem, bad.retry_after))
    if connection.answer(bad.status, headers, b''):
        connection.discard_rest()
