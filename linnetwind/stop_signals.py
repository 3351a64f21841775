"""Waiting for the signals that stop a daemon or reload its settings."""

import os
import signal
from collections.abc import Callable

_MOST_BYTES = 64
_STOP = frozenset((signal.SIGTERM, signal.SIGINT))


class StopSignals:
    """Hears signals from the moment at which it is made.

    Python runs a signal's handler in the main thread, but the kernel may give
    the signal to any thread, and then nothing wakes the main thread: a SIGTERM
    that came while the process was frozen was never heard, and the process
    was killed with its requests. Each signal is therefore also written to a
    pipe, by whichever thread gets it, and the main thread reads the pipe.
    """

    def __init__(self) -> None:
        """Take over SIGTERM, SIGINT and SIGHUP; in the main thread only."""
        reader, writer = os.pipe()
        self._reader = reader
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer)
        for number in (*_STOP, signal.SIGHUP):
            # Without a handler the signal would not be written to the pipe.
            signal.signal(number, _do_nothing)

    def wait(self, on_reload: Callable[[], None]) -> None:
        """Wait until the daemon is to stop.

        Args:
          on_reload: Called at each SIGHUP before that.
        """
        while True:  # noqa: WPS457
            for number in os.read(self._reader, _MOST_BYTES):
                if number in _STOP:
                    return
                if number == signal.SIGHUP:
                    on_reload()


def _do_nothing(_number: int, _frame: object) -> None:
    """Handle a signal that is read from the pipe."""
