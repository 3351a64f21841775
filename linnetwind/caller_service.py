"""Serves the requests of one caller's connection, one after the other."""

from collections.abc import Callable
from socket import socket

from linnetwind.caller_connection import (
    BadRequest,
    CallerConnection,
    CallerGone,
)
from linnetwind.journey import GatewayTools
from linnetwind.relay import Relay
from linnetwind.routes import CallerLimits


def serve_caller(
    sock: socket,
    tools: GatewayTools,
    limits: Callable[[], CallerLimits],
) -> None:
    """Serve a connection until its caller or the daemon's stop ends it.

    Args:
      sock: The connection; the caller of this function closes it.
      tools: What every request needs.
      limits: Returns what a caller may send at present.
    """
    stop = tools.stop
    connection = CallerConnection(sock, limits, stop.is_draining, tools.clock)
    # Counted before the stop is looked at: in the other order the process
    # could find nothing open and end while a connection passes this point.
    with tools.open_work.connection():
        # The first request of a connection is always read and answered: a
        # caller whose connection is closed unread is not told when to come
        # back. An answer that was begun before the stop has not told its
        # caller of it; its connection ends with it.
        goes_on = _serve_next(connection, tools)
        while goes_on and not stop.is_draining():
            goes_on = _serve_next(connection, tools)


def _serve_next(connection: CallerConnection, tools: GatewayTools) -> bool:
    """Serve the next request; return whether another may follow."""
    asked = connection.read_request()
    match asked:
        case CallerGone():
            return False
        case BadRequest(status):
            close = ((b'Connection', b'close'),)
            connection.answer(status, close, b'')
            return False
    return Relay(tools, connection, asked).run()
