"""Frames on a TCP connection between daemons: a length and the content.

Plain frames instead of websockets: `websockets.sync` takes 8.7 MB of own
memory, and there is a rank agent on every upstream host; see docs/DESIGN.md.
"""

import socket
import struct

_LENGTH = struct.Struct('>I')
# No message between daemons is near this; a longer one is not a frame.
MOST_BYTES = 16_777_216


def send_frame(sock: socket.socket, content: bytes) -> None:
    """Send a frame.

    Args:
      sock: A connection, blocking with a timeout.
      content: The content.

    Raises:
      OSError: The connection failed.
    """
    sock.sendall(_LENGTH.pack(len(content)) + content)


def receive_frame(sock: socket.socket) -> bytes:
    """Receive a frame.

    Args:
      sock: A connection, blocking with a timeout.

    Returns:
      The content.

    Raises:
      OSError: The connection failed, ended, or sent no frame.
    """
    length = _LENGTH.unpack(_receive(sock, _LENGTH.size))[0]
    if length > MOST_BYTES:
        raise ConnectionError(f'a frame of {length} bytes')
    return _receive(sock, length)


def _receive(sock: socket.socket, size: int) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        part = sock.recv(size - len(parts))
        if not part:
            raise ConnectionError('the connection was closed')
        parts += part
    return bytes(parts)
