"""A loopback proxy that delays, resets, silences or cuts connections."""

import select
import socket
import struct
import threading
import time
from contextlib import suppress
from dataclasses import dataclass

# Makes close() reset the connection.
_RESET = struct.pack('ii', 1, 0)
_PIECE = 65_536
_LOOK_S = 0.05


@dataclass(frozen=True)
class Link:
    """How the proxy treats bytes.

    `delay_s` is added to each piece; `refuse` closes new connections at once;
    `reset` resets all there are; `silent` lets nothing pass, without a word;
    `one_way` lets only what the caller sends pass.
    """

    delay_s: float = 0
    refuse: bool = False
    reset: bool = False
    silent: bool = False
    one_way: bool = False


SOUND = Link()


class SoakProxy:
    """Forwards connections to one port while its link lets it."""

    def __init__(self, target: int):
        """Listen.

        Args:
          target: The port on the loopback interface to forward to.
        """
        self.target = target
        self.link = SOUND
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self._start(self._accept)

    def change(self, link: Link) -> None:
        """Treat all connections so from now on."""
        self.link = link
        if link.reset:
            for sock in tuple(self._open):
                _reset(sock)

    def close(self) -> None:
        """Stop listening and reset what is open."""
        # A thread that waits in accept() keeps a closed socket listening.
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.change(Link(reset=True))

    def _start(self, work, *args) -> None:
        threading.Thread(target=work, args=args, daemon=True).start()

    def _accept(self) -> None:
        # Ends when the listener is closed.
        with suppress(OSError):
            while True:
                caller, _peer = self._listener.accept()
                self._start(self._serve, caller)

    def _serve(self, caller: socket.socket) -> None:
        if self.link.refuse:
            _reset(caller)
            return
        try:
            target = socket.create_connection(('127.0.0.1', self.target), 5)
        except OSError:
            _reset(caller)
            return
        ends = {caller, target}
        self._open |= ends
        with suppress(OSError):
            self._pump(caller, target)
        self._open -= ends
        for sock in ends:
            sock.close()

    def _pump(self, caller: socket.socket, target: socket.socket) -> None:
        poller = select.poll()
        other = {caller.fileno(): target, target.fileno(): caller}
        source = {caller.fileno(): caller, target.fileno(): target}
        for number in other:
            poller.register(number, select.POLLIN)
        while other:
            for number, _events in poller.poll(_LOOK_S * 1000):
                link = self.link
                blocked = link.silent or (
                    link.one_way and number == target.fileno()
                )
                if blocked:
                    time.sleep(_LOOK_S)
                    continue
                piece = source[number].recv(_PIECE)
                time.sleep(link.delay_s)
                if piece:
                    other[number].sendall(piece)
                    continue
                # One side has ended: what the other side still says goes on.
                poller.unregister(number)
                other.pop(number).shutdown(socket.SHUT_WR)


def _reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        # Unlike close(), this also wakes a thread that polls the socket.
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()
