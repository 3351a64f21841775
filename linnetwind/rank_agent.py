"""A small daemon on a rank's host that serves planners from its engine.

Reading a rank's counts from another host is expensive and makes its whole
group pause; on the rank's own host it costs nothing. The agent makes no
decisions. Its only state is the counts last sent on each connection, so it
may be killed and restarted at any time.
"""

import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from result import Err, Ok

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.daemon_events import Started, Stopped, Stopping
from linnetwind.daemon_threads import DaemonThreads
from linnetwind.event_log import EventLog
from linnetwind.frames import receive_frame, send_frame
from linnetwind.rank_messages import (
    RANK_CODEC,
    OrderReply,
    PackedPrepare,
    RankQuery,
    RankSnapshot,
    make_lane_counts,
    pack_snapshot,
    unpack_order,
)
from linnetwind.rank_packing import UnpackError
from linnetwind.rank_types import LaneCounts, RankOrder, RankPort
from linnetwind.stop_signals import StopSignals

# There is one planner at a time, or a few while the leader changes.
_MAX_PLANNER_CONNECTIONS = 8
_STACK_BYTES = 131_072
# A planner that sends nothing for this long is considered gone; its
# connection is closed.
_IDLE_TIMEOUT_SECONDS = 20


class RankAgent:
    """Serves planners with the state of the engine on its own host."""

    def __init__(
        self,
        name: str,
        listen: Address,
        open_rank: Callable[[], RankPort],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Open the listening socket.

        Args:
          name: The daemon's name.
          listen: The address on which planners connect.
          open_rank: Returns a client of the engine; called once for each
            connection of a planner.
          clock: The clock.
          log: The log of the daemon's events.
        """
        threading.stack_size(_STACK_BYTES)
        self._name = name
        self._address = listen
        self._open_rank = open_rank
        self._clock = clock
        self._log = log
        self._listener = socket.create_server((listen.ip, listen.port))
        self._stop = threading.Event()

    def run(self) -> None:
        """Serve until SIGTERM."""
        signals = StopSignals()
        self._log.event(Started('rank', str(self._address), '', self._name))
        DaemonThreads(self._log).accept(
            self._listener, self._serve, 'planner', _MAX_PLANNER_CONNECTIONS
        )
        signals.wait(_ignore_reload)
        self._stop.set()
        self._log.event(Stopping(0))
        self._log.event(Stopped(0, timedelta()))

    def _serve(self, sock: socket.socket) -> None:
        rank = self._open_rank()
        sock.settimeout(_IDLE_TIMEOUT_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A closed or broken connection ends the loop. Nothing else in the
        # agent depends on the planner.
        last_sent: LaneCounts | None = None
        with suppress(OSError):
            while not self._stop.is_set():
                last_sent = _serve_request(sock, rank, last_sent)


def _ignore_reload() -> None:
    """Ignore SIGHUP: an agent's addresses do not change while it runs."""


def _serve_request(
    sock: socket.socket, rank: RankPort, last_sent: LaneCounts | None
) -> LaneCounts | None:
    """Serve one request; return the counts last sent on the connection."""
    match RANK_CODEC.decode(receive_frame(sock)):
        case Ok(RankQuery(with_counts, with_experts)):
            counts = make_lane_counts(rank.counts()) if with_counts else None
            experts = rank.experts() if with_experts else None
            reply = pack_snapshot(
                RankSnapshot(rank.report(), counts, experts), last_sent
            )
            last_sent = counts or last_sent
        case Ok(message):
            reply = OrderReply(
                rank.order(_unpack_order(message)), rank.report()
            )
        case Err(problem):
            raise ConnectionError(problem.describe())
    send_frame(sock, RANK_CODEC.encode(reply))
    return last_sent


def _unpack_order(message: RankOrder | PackedPrepare) -> RankOrder:
    try:
        return unpack_order(message)
    except UnpackError as error:
        raise ConnectionError(str(error)) from error
