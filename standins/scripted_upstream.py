"""An upstream on the loopback interface that does as a script says."""

import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import h11

# Makes close() reset the connection.
_RESET = struct.pack('ii', 1, 0)


@dataclass
class SeenRequest:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class ScriptedUpstream:
    """Serves each connection by `script(connection, request)`."""

    script: Callable[['UpstreamConnection', SeenRequest], None]
    requests: list[SeenRequest] = field(default_factory=list)
    left: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self):
        """Start to listen."""
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        serve_in_threads(self._listener, self._serve)

    def close(self) -> None:
        """Stop listening."""
        # A thread that waits in accept() keeps a closed socket listening.
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            request = _read(sock)
            if request is None:
                return
            self.requests.append(request)
            # The gateway may close before a script has said all.
            with suppress(OSError):
                self.script(UpstreamConnection(sock, self), request)


def serve_in_threads(
    listener: socket.socket, serve: Callable[[socket.socket], None]
) -> None:
    """Serve each connection in a thread, until the listener is closed."""

    def accept() -> None:
        while True:
            try:
                sock, _peer = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


class UpstreamConnection:
    """What a script can do with a connection."""

    def __init__(self, sock: socket.socket, upstream: ScriptedUpstream):
        """Take over a connection whose request was read."""
        self._sock = sock
        self._upstream = upstream

    def send(self, text: str) -> None:
        """Send text as it is, with CRLF for each line end of the head."""
        self._sock.sendall(text.encode())

    def head(self, request: SeenRequest, status: int = 200, **headers) -> None:
        """Send a signed head."""
        lines = [f'HTTP/1.1 {status} X']
        named = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Response-Seal': 'seal',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        lines.extend(f'{name}: {text}' for name, text in named.items() if text)
        self.send('\r\n'.join([*lines, '', '']))

    def answer(self, request, body='answer', status=200, **headers) -> None:
        """Send a whole signed answer."""
        headers.setdefault('Content_Length', str(len(body)))
        self.head(request, status, **headers)
        self.send(body)

    def chunk(self, text: str) -> None:
        """Send one chunk of a body."""
        self.send(f'{len(text):x}\r\n{text}\r\n')

    def reset(self) -> None:
        """Reset the connection."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._sock.close()

    def crash(self) -> None:
        """End as a process does that crashes: nobody listens any more."""
        self._upstream.close()
        self.reset()

    def wait_for_end(self) -> None:
        """Wait until the gateway closes the connection."""
        try:
            while self._sock.recv(1024):
                continue
        except OSError:
            pass  # noqa: WPS420
        self._upstream.left.set()


def _read(sock: socket.socket) -> SeenRequest | None:
    """Read a request; None if the connection ended before its head."""
    http = h11.Connection(h11.SERVER)
    head = None
    body = b''
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(sock.recv(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif head is None:
            return None
        else:
            headers = {
                name.decode(): text.decode() for name, text in head.headers
            }
            return SeenRequest(
                head.method.decode(), head.target.decode(), headers, body
            )
