"""Serves the requests on one caller's connection, one after another."""

from collections.abc import Callable
from socket import socket

from linnetwind.caller_connection import (
    BadRequest,
    CallerConnection,
    ConnectionEnded,
)
from linnetwind.relay import Relay
from linnetwind.request_context import GatewayContext
from linnetwind.routes import CallerLimits


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
    connection = CallerConnection(sock, limits, stop.is_draining, tools.clock)
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
    reading = connection.read_request()
    match reading:
        case ConnectionEnded():
            return False
        case BadRequest(status):
            close = ((b'Connection', b'close'),)
            connection.answer(status, close, b'')
            return False
    return Relay(tools, connection, reading).run()
