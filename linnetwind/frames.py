"""Length-prefixed frames on a TCP connection between daemons.

Websockets are not used here because `websockets.sync` needs 8.7 MB of
memory, and a rank agent runs on every upstream host; see docs/DESIGN.md.
"""

import socket
import struct

_LENGTH = struct.Struct('>I')
# Far above the size of any message between daemons, so that a greater length
# shows that the data is not a frame.
MAX_CONTENT_BYTES = 16_777_216


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
    if length > MAX_CONTENT_BYTES:
        raise ConnectionError(f'frame of {length} bytes is too large')
    return _receive(sock, length)


def _receive(sock: socket.socket, size: int) -> bytes:
    content = bytearray()
    while len(content) < size:
        chunk = sock.recv(size - len(content))
        if not chunk:
            raise ConnectionError('the connection was closed')
        content += chunk
    return bytes(content)
