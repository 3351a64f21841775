"""Polls sockets for received bytes."""

import select
import socket
from datetime import timedelta

_MS = timedelta(milliseconds=1)
_AT_ONCE = timedelta()


def is_readable(sock: socket.socket, within: timedelta = _AT_ONCE) -> bool:
    """Return whether a read from a socket would not block.

    Unlike `select.select`, this works with any file descriptor: a daemon with
    thousands of connections has some above 1,023.

    Args:
      sock: The socket.
      within: The longest time to wait for that.

    Returns:
      Whether bytes have arrived or the peer has closed the connection.
    """
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(within / _MS))
