"""Signals that stop a daemon or reload its settings."""

import os
import signal
from collections.abc import Callable

_MAX_SIGNALS = 64
_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))


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
        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            # Without a handler the signal would not be written to the pipe.
            signal.signal(number, _do_nothing)

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
