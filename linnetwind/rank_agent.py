"""The small daemon beside a rank: its planner's hands on the rank's host.

Reading a rank's counts from another host is dear, and makes its whole group
pause; on the rank's own host it is free. The agent decides nothing, and
keeps nothing but the counts that it has told on each connection, so that it
may be killed and started at any time.
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
from linnetwind.frames import receive_frame, send_frame
from linnetwind.rank_messages import (
    RANK_CODEC,
    Look,
    Obeyed,
    PackedPrepare,
    Seen,
    count_lanes,
    pack_seen,
    unpack_order,
)
from linnetwind.rank_packing import NotPacked
from linnetwind.rank_types import CountLanes, RankOrder, RankPort
from linnetwind.step_log import StepLog
from linnetwind.stop_signals import StopSignals

# Planners that ask at once: one, or a few while they change.
_MOST_PLANNERS = 8
_STACK_BYTES = 131_072
# A planner that asks nothing for this long has gone without a word.
_IDLE_S = 20


class RankAgent:
    """Answers planners from the engine on its own host."""

    def __init__(
        self,
        name: str,
        listen: Address,
        open_rank: Callable[[], RankPort],
        clock: Clock,
        log: StepLog,
    ) -> None:
        """Open the socket.

        Args:
          name: The daemon's name.
          listen: Where planners reach it.
          open_rank: Returns a client of the engine, one for each planner.
          clock: The clock.
          log: The log.
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
            self._listener, self._serve, 'planner', _MOST_PLANNERS
        )
        signals.wait(_keep_settings)
        self._stop.set()
        self._log.event(Stopping(0))
        self._log.event(Stopped(0, timedelta()))

    def _serve(self, sock: socket.socket) -> None:
        rank = self._open_rank()
        sock.settimeout(_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A planner that goes ends this; nothing here depends on it.
        told: CountLanes | None = None
        with suppress(OSError):
            while not self._stop.is_set():
                told = _answer_one(sock, rank, told)


def _keep_settings() -> None:
    """Go on at SIGHUP: an agent's addresses do not change while it runs."""


def _answer_one(
    sock: socket.socket, rank: RankPort, told: CountLanes | None
) -> CountLanes | None:
    """Answer a planner; return the counts that it has now been told."""
    match RANK_CODEC.decode(receive_frame(sock)):
        case Ok(Look(with_counts, with_experts)):
            counts = count_lanes(rank.counts()) if with_counts else None
            experts = rank.experts() if with_experts else None
            answer = pack_seen(Seen(rank.report(), counts, experts), told)
            told = counts or told
        case Ok(message):
            answer = Obeyed(rank.order(_order(message)), rank.report())
        case Err(problem):
            raise ConnectionError(problem.describe())
    send_frame(sock, RANK_CODEC.encode(answer))
    return told


def _order(message: RankOrder | PackedPrepare) -> RankOrder:
    try:
        return unpack_order(message)
    except NotPacked as error:
        raise ConnectionError(str(error)) from error
