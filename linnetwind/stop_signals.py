"""Signals that stop a daemon or reload its settings."""

import os
import signal
from collections.abc import Callable

_MAX_SIGNALS = 64
_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
_HANDLED_SIGNALS = _STOP_SIGNALS | {signal.SIGHUP}


def hold_signals() -> None:
    """Hold the signals of a daemon back until it has a `StopSignals`.

    Without a handler, SIGHUP ends the process, and callers that wait in the
    queue of its port are reset. Loading the program takes a third of a second.
    Call this in the main thread, before any other thread starts.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)


class StopSignals:
    """Receives signals from its construction on.

    Python runs a signal handler in the main thread, but the kernel may deliver
    the signal to any thread, and then nothing wakes the main thread. A SIGTERM
    that arrived while the process was frozen was never handled, and the process
    was killed with its requests in flight. Therefore the thread that gets a
    signal also writes it to a pipe, and the main thread reads the pipe.
    """

    def __init__(self) -> None:
        """Install handlers for SIGTERM, SIGINT and SIGHUP; main thread only."""
        reader, writer = os.pipe()
        self._reader = reader
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer)
        for number in _HANDLED_SIGNALS:
            # Without a handler the signal would not be written to the pipe.
            signal.signal(number, _do_nothing)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _HANDLED_SIGNALS)

    def wait(self, on_reload: Callable[[], None]) -> None:
        """Wait for SIGTERM or SIGINT.

        Args:
          on_reload: Called for each SIGHUP before that.
        """
        while True:  # noqa: WPS457
            for number in os.read(self._reader, _MAX_SIGNALS):
                if number in _STOP_SIGNALS:
                    return
                if number == signal.SIGHUP:
                    on_reload()


def _do_nothing(_number: int, _frame: object) -> None:
    """Ignore a signal here, since it is read from the pipe."""
