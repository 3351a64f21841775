"""Threads of a daemon that go on whatever happens in one round."""

import threading
import traceback
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from socket import socket

from linnetwind.step_log import StepLog


@dataclass(frozen=True, slots=True)
class RoundFailed:
    """Work in the background raised what nobody expected."""

    work: str
    problem: str


class DaemonThreads:
    """Starts threads, and logs what they raise.

    A thread that ends by an exception is not missed by anybody: the daemon
    would go on with an old configuration or list of upstreams for ever. Each
    round is therefore guarded by itself.
    """

    def __init__(self, log: StepLog) -> None:
        """Start without threads.

        Args:
          log: Told of rounds that fail.
        """
        self._log = log
        self._pause = threading.Event()

    def once(self, work: Callable[[], None], name: str) -> None:
        """Run something in a thread that does not keep the process alive.

        Args:
          work: What to run.
          name: The thread's name.
        """
        threading.Thread(
            target=self.guarded, args=(work, name), name=name, daemon=True
        ).start()

    def for_ever(self, work: Callable[[], timedelta | None], name: str) -> None:
        """Repeat something in a thread until the process ends.

        Args:
          work: One round; returns how long to wait before the next.
          name: The thread's name.
        """
        threading.Thread(
            target=self._repeat, args=(work, name), name=name, daemon=True
        ).start()

    def accept(
        self,
        listener: socket,
        serve: Callable[[socket], None],
        name: str,
        most: int,
    ) -> None:
        """Serve each connection to a listener in a thread of a pool.

        Args:
          listener: A listening socket.
          serve: Serves one connection; it is closed afterwards.
          name: The threads' name.
          most: The connections that are served at once.
        """
        pool = ThreadPoolExecutor(most, name)

        def accept_one() -> None:  # noqa: WPS430
            sock, _peer = listener.accept()
            pool.submit(self._serve, serve, sock, name)

        self.for_ever(accept_one, f'{name}-accept')

    def guarded(self, work: Callable[[], timedelta | None], name: str) -> None:
        """Run one round; log what it raises and return.

        Args:
          work: The round.
          name: What to call it in the log.
        """
        self._round(work, name)

    def _serve(
        self, serve: Callable[[socket], None], sock: socket, name: str
    ) -> None:
        with sock:
            self.guarded(lambda: serve(sock), name)

    def _repeat(self, work: Callable[[], timedelta | None], name: str) -> None:
        while True:  # noqa: WPS457
            pause = self._round(work, name)
            if pause is not None:
                self._pause.wait(pause.total_seconds())

    def _round(
        self, work: Callable[[], timedelta | None], name: str
    ) -> timedelta | None:
        try:
            return work()
        except Exception:
            self._log.event(RoundFailed(name, traceback.format_exc()))
            return timedelta(seconds=0.1)
