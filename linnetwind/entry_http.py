"""The callers' HTTP server of an entry daemon, with graceful shutdown."""

import socket
import time
from datetime import timedelta

from loguru import logger
from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import WSGITask

from linnetwind.background import in_background
from linnetwind.clock import Clock
from linnetwind.entry_app import EntryApp
from linnetwind.settings import EntrySettings

MAX_BODY_BYTES = 16_777_216

# The connection of a caller that sends nothing for this long is closed.
_CHANNEL_TIMEOUT_SECONDS = 30
_TICK_SECONDS = 0.05


class EntryServer:
    """Serves the callers of an entry daemon with waitress."""

    def __init__(
        self, app: EntryApp, settings: EntrySettings, clock: Clock
    ) -> None:
        """Open the listening socket.

        Args:
          app: The application that serves the requests.
          settings: The settings of the daemon.
          clock: The clock for the time limit of the shutdown.
        """
        self._app = app
        self._clock = clock
        self._server = create_server(
            app,
            host=settings.listen.ip,
            port=settings.listen.port,
            threads=settings.threads,
            max_request_body_size=MAX_BODY_BYTES,
            channel_timeout=_CHANNEL_TIMEOUT_SECONDS,
            ident='linnetwind',
            clear_untrusted_proxy_headers=False,
        )
        self._server.channel_class = _Channel

    def start(self) -> None:
        """Start serving in a background thread."""
        in_background(self._server.run, 'http')

    def finish(self, limit: timedelta) -> None:
        """Stop accepting connections and requests; finish requests in flight.

        Callers that send requests on a keep-alive connection without a pause
        would otherwise keep the daemon from stopping until it is killed,
        together with its requests in flight. Their new requests are refused
        as not run and with `Connection: close`, so that they go elsewhere.
        Requests in flight end by their own timeouts.

        Args:
          limit: The time after which remaining requests are aborted.
        """
        deadline = self._clock.elapsed() + limit
        self._server.accepting = False
        self._server.socket.shutdown(socket.SHUT_RDWR)
        self._app.refuse_new()
        while self._is_busy() and self._clock.elapsed() < deadline:
            time.sleep(_TICK_SECONDS)
        # Idle connections are closed cleanly, so that their callers do not
        # send requests on a connection that is about to be reset.
        for channel in list(self._server.active_channels.values()):
            channel.close_when_flushed = True
        self._server.pull_trigger()
        while self._server.active_channels and self._clock.elapsed() < deadline:
            time.sleep(_TICK_SECONDS)
        if self._is_busy():
            logger.warning('{} responses are aborted', self._app.in_flight)

    def _is_busy(self) -> bool:
        # The application finishes before the server has flushed its buffers;
        # exiting between the two would truncate a response.
        channels = list(self._server.active_channels.values())
        unsent = any(
            channel.requests or channel.total_outbufs_len
            for channel in channels
        )
        return unsent or self._app.in_flight > 0


class _Task(WSGITask):
    """Writes a response; during draining, it closes the connection."""

    def build_response_header(self) -> bytes:
        """Return the status line and headers of the response."""
        if self.channel.server.application.is_draining:
            # WSGI applications must not set `Connection` themselves, so this
            # acts as if the caller had requested it.
            self.request.headers['CONNECTION'] = 'close'
        return super().build_response_header()


class _Channel(HTTPChannel):
    """The connection of a caller."""

    task_class = _Task
