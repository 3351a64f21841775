"""An entry daemon's connection to one side daemon, shared by many calls."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result
from websockets.sync.client import ClientConnection, connect

from linnetwind.address import Address
from linnetwind.answer import Frame, LinkLost
from linnetwind.messages import (
    Call,
    Challenge,
    Chunk,
    End,
    Fate,
    FateQuery,
    Head,
    Lost,
    Refused,
)
from linnetwind.peer import (
    HANDSHAKE_SECONDS,
    MAX_FRAME_BYTES,
    Identity,
    PeerLost,
    greet,
    receive_message,
    send_message,
)

Notice = Callable[['Link', Any], None]
OnLost = Callable[['Link'], None]

_PING_SECONDS = 5.0


def _tell_nobody(link: 'Link') -> None:
    """Do nothing: who opened the link looks whether it is open."""


@dataclass(frozen=True)
class CallStream:
    """The frames of one call, in the order of their arrival."""

    call_id: str
    frames: 'queue.SimpleQueue[Frame]'


class Link:
    """One authenticated connection; every call has a queue of its own.

    Frames are told apart by call id, and call ids are never used twice in
    the life of an entry daemon, so a late frame cannot reach another call.
    """

    def __init__(
        self,
        socket: ClientConnection,
        peer: Challenge,
        notice: Notice,
        on_lost: OnLost,
    ) -> None:
        """Start receiving.

        Args:
          socket: The connection, after the handshake.
          peer: Who the other end proved to be.
          notice: Called with each message that belongs to no call.
          on_lost: Called once the connection has ended, before the calls on
            it are told, so that their second tries go elsewhere.
        """
        self.peer = peer
        self._socket = socket
        self._notice = notice
        self._on_lost = on_lost
        self._queues: dict[str, queue.SimpleQueue[Any]] = {}
        self._lock = threading.Lock()
        self._open = True
        threading.Thread(
            target=self._receive, name=f'link-{peer.name}', daemon=True
        ).start()

    @property
    def open(self) -> bool:
        """Return whether the connection is believed to work."""
        return self._open

    def start(self, call: Call) -> Result[CallStream, PeerLost]:
        """Send a call.

        Args:
          call: The call.

        Returns:
          The stream of its frames; or an error when the connection was
          closed before, so that no byte of the call has left.
        """
        frames: queue.SimpleQueue[Frame] = queue.SimpleQueue()
        with self._lock:
            if not self._open:
                return Err(PeerLost('closed'))
            self._queues[call.call_id] = frames
        if send_message(self._socket, call).is_err():
            # Part of the frame may have left, so the fate must be asked for.
            frames.put(LinkLost())
        return Ok(CallStream(call.call_id, frames))

    def forget(self, call_id: str) -> None:
        """Drop what still arrives for a call.

        Args:
          call_id: The call.
        """
        with self._lock:
            self._queues.pop(call_id, None)

    def post(self, message: Any) -> Result[None, PeerLost]:
        """Send a message that needs no answer.

        Args:
          message: The message.

        Returns:
          Nothing, or why it may not have been sent.
        """
        return send_message(self._socket, message)

    def ask_fate(self, call_id: str, timeout: float) -> Fate | None:
        """Ask whether a call started, and bar it if it has not.

        Args:
          call_id: The call.
          timeout: The longest wait in seconds.

        Returns:
          The fate, or None when there was no answer.
        """
        answers: queue.SimpleQueue[Any] = queue.SimpleQueue()
        asked = f'fate of {call_id}'
        with self._lock:
            self._queues[asked] = answers
        try:
            self.post(FateQuery(call_id))
            answer = answers.get(timeout=timeout)
        except queue.Empty:
            return None
        finally:
            self.forget(asked)
        return answer if isinstance(answer, Fate) else None

    def close(self) -> None:
        """Close the connection; calls in flight are lost."""
        self._socket.close()

    def _receive(self) -> None:
        while True:
            match receive_message(self._socket):
                case Ok(message):
                    self._deliver(message)
                case Err():
                    break
        with self._lock:
            self._open = False
            queues = list(self._queues.values())
        self._on_lost(self)
        for frames in queues:
            frames.put(LinkLost())
        self._socket.close()

    def _deliver(self, message: Any) -> None:
        match message:
            case Head() | Chunk() | End() | Refused() | Lost():
                self._put(message.call_id, message)
            case Fate(call_id):
                self._put(f'fate of {call_id}', message)
            case _:
                self._notice(self, message)

    def _put(self, name: str, message: Any) -> None:
        with self._lock:
            frames = self._queues.get(name)
        if frames is not None:
            frames.put(message)


def open_link(
    address: Address,
    identity: Identity,
    key: bytes,
    notice: Notice,
    on_lost: OnLost = _tell_nobody,
) -> Result[Link, PeerLost]:
    """Connect to a side daemon and prove who we are.

    Args:
      address: The side daemon's address.
      identity: Who this daemon is.
      key: The fleet key.
      notice: Called with each message that belongs to no call.
      on_lost: Called once the connection has ended.

    Returns:
      The link, or why there is none.
    """
    try:
        socket = connect(
            f'ws://{address}',
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=HANDSHAKE_SECONDS,
            ping_interval=_PING_SECONDS,
            ping_timeout=_PING_SECONDS,
            proxy=None,
            legacy=True,
        )
    except Exception as error:
        return Err(PeerLost(repr(error)))
    return greet(socket, identity, key).map(
        lambda peer: Link(socket, peer, notice, on_lost),
    )
