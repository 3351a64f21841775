"""Threads of a daemon that survive an exception in one of their rounds."""

import threading
import traceback
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from socket import socket

from linnetwind.event_log import EventLog


@dataclass(frozen=True, slots=True)
class RoundFailed:
    """A round of background work raised an unexpected exception.

    `work` names the thread, `problem` is the traceback.
    """

    work: str
    problem: str


class DaemonThreads:
    """Starts threads, and logs the exceptions that they raise.

    A thread that ends with an exception would go unnoticed: the daemon would
    keep serving with an old configuration or list of upstreams. Therefore each
    round of a thread catches and logs all exceptions.
    """

    def __init__(self, log: EventLog) -> None:
        """Start without threads.

        Args:
          log: Receives an event for each round that fails.
        """
        self._log = log
        self._pause = threading.Event()

    def run_in_thread(self, work: Callable[[], None], name: str) -> None:
        """Run a function in a thread that does not keep the process alive.

        Args:
          work: The function.
          name: The name of the thread.
        """
        threading.Thread(
            target=self.guarded, args=(work, name), name=name, daemon=True
        ).start()

    def repeat_forever(
        self, work: Callable[[], timedelta | None], name: str
    ) -> None:
        """Call a function repeatedly in a thread until the process ends.

        Args:
          work: Runs one round and returns the time to wait before the next, or
            None not to wait.
          name: The name of the thread.
        """
        threading.Thread(
            target=self._repeat, args=(work, name), name=name, daemon=True
        ).start()

    def accept(
        self,
        listener: socket,
        serve: Callable[[socket], None],
        name: str,
        max_connections: int,
        make_room: Callable[[], bool] | None = None,
    ) -> None:
        """Accept connections and serve each one in a thread of a pool.

        Args:
          listener: A listening socket.
          serve: Serves one connection, which is closed afterwards.
          name: The name of the threads.
          max_connections: The connections that are served at once.
          make_room: Ends one of them soon, and returns whether it could;
            otherwise the new one is closed at once. Without it, further
            connections wait for a thread.
        """
        pool = ThreadPoolExecutor(max_connections, name)
        served: set[Future[None]] = set()

        def accept_one() -> None:  # noqa: WPS430
            sock, _peer = listener.accept()
            is_full = len(served) >= max_connections
            if is_full and make_room is not None and not make_room():
                sock.close()
                return
            work = pool.submit(self._serve, serve, sock, name)
            served.add(work)
            work.add_done_callback(served.discard)

        self.repeat_forever(accept_one, f'{name}-accept')

    def guarded(self, work: Callable[[], timedelta | None], name: str) -> None:
        """Run one round, and log an exception instead of raising it.

        Args:
          work: The round.
          name: The name of the work in the log.
        """
        self._run_round(work, name)

    def _serve(
        self, serve: Callable[[socket], None], sock: socket, name: str
    ) -> None:
        with sock:
            self.guarded(lambda: serve(sock), name)

    def _repeat(self, work: Callable[[], timedelta | None], name: str) -> None:
        while True:  # noqa: WPS457
            pause = self._run_round(work, name)
            if pause is not None:
                self._pause.wait(pause.total_seconds())

    def _run_round(
        self, work: Callable[[], timedelta | None], name: str
    ) -> timedelta | None:
        try:
            return work()
        except Exception:
            self._log.event(RoundFailed(name, traceback.format_exc()))
            return timedelta(seconds=0.1)
