"""The callers' HTTP server of an entry daemon: waitress, and how it stops."""

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

LARGEST_BODY = 16_777_216

# A caller that sends nothing of a request for this long is closed.
_HALF_SENT_SECONDS = 30
_TICK_SECONDS = 0.05


class EntryServer:
    """Serves an entry daemon's callers."""

    def __init__(
        self, app: EntryApp, settings: EntrySettings, clock: Clock
    ) -> None:
        """Open the listening socket.

        Args:
          app: Answers the requests.
          settings: The daemon's own settings.
          clock: For the time that stopping may take.
        """
        self._app = app
        self._clock = clock
        self._server = create_server(
            app,
            host=settings.listen.ip,
            port=settings.listen.port,
            threads=settings.threads,
            max_request_body_size=LARGEST_BODY,
            channel_timeout=_HALF_SENT_SECONDS,
            ident='linnetwind',
            clear_untrusted_proxy_headers=False,
        )
        self._server.channel_class = _Channel

    def start(self) -> None:
        """Serve in a thread of its own."""
        in_background(self._server.run, 'http')

    def finish(self, limit: timedelta) -> None:
        """Take no more connections and requests, and finish what runs.

        Callers that keep a connection and never pause kept a daemon from
        stopping, until it was killed with whatever ran then. Refused as not
        run, and told that the connection ends, they go elsewhere; what runs
        ends by its own time limit.

        Args:
          limit: The time after which what is left is given up.
        """
        over = self._clock.elapsed() + limit
        self._server.accepting = False
        self._server.socket.shutdown(socket.SHUT_RDWR)
        self._app.refuse_new()
        while self._is_busy() and self._clock.elapsed() < over:
            time.sleep(_TICK_SECONDS)
        # Idle connections are closed in order, so that their callers do not
        # send into a connection that is about to be reset.
        for channel in list(self._server.active_channels.values()):
            channel.close_when_flushed = True
        self._server.pull_trigger()
        while self._server.active_channels and self._clock.elapsed() < over:
            time.sleep(_TICK_SECONDS)
        if self._is_busy():
            logger.warning('{} answers are cut', self._app.in_flight)

    def _is_busy(self) -> bool:
        # The application is done before the server has written its buffers;
        # exiting then would cut the end of an answer.
        channels = list(self._server.active_channels.values())
        unsent = any(
            channel.requests or channel.total_outbufs_len
            for channel in channels
        )
        return unsent or self._app.in_flight > 0


class _Task(WSGITask):
    """Writes an answer: the last of its connection while the daemon drains."""

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        if self.channel.server.application.is_draining:
            # As if the caller had asked for it; applications may not set the
            # header themselves.
            self.request.headers['CONNECTION'] = 'close'
        return super().build_response_header()


class _Channel(HTTPChannel):
    """A caller's connection."""

    task_class = _Task
