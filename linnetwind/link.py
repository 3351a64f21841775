"""An entry daemon's connection to one side daemon, shared by many calls."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result
from websockets.sync.client import ClientConnection, connect

from linnetwind.address import Address
from linnetwind.messages import (
    Call,
    CallStatus,
    CallStatusQuery,
    Challenge,
    Chunk,
    End,
    Head,
    Lost,
    Refused,
)
from linnetwind.peer_connection import (
    HANDSHAKE_SECONDS,
    MAX_FRAME_BYTES,
    Identity,
    PeerLost,
    connect_handshake,
    receive_message,
    send_message,
)
from linnetwind.response_assembler import Frame, LinkLost

MessageHandler = Callable[['Link', Any], None]
LossHandler = Callable[['Link'], None]

_PING_SECONDS = 5.0


def _ignore_loss(link: 'Link') -> None:
    """Do nothing; the opener of the link checks `Link.open` instead."""


@dataclass(frozen=True)
class CallStream:
    """The received frames of one call, in the order of their arrival."""

    call_id: str
    frames: 'queue.SimpleQueue[Frame]'


class Link:
    """An authenticated connection that demultiplexes frames by call ID.

    Each call has a queue of received frames. An incarnation of an entry
    daemon never uses a call ID twice, so a late frame cannot be delivered to
    another call.
    """

    def __init__(
        self,
        socket: ClientConnection,
        peer: Challenge,
        on_message: MessageHandler,
        on_lost: LossHandler,
    ) -> None:
        """Start a thread that receives frames.

        Args:
          socket: The connection, after the handshake.
          peer: The authenticated identity of the side daemon.
          on_message: Called with each message that belongs to no call.
          on_lost: Called once the connection has ended, before the calls on
            it receive `LinkLost`, so that their retries go elsewhere.
        """
        self.peer = peer
        self._socket = socket
        self._on_message = on_message
        self._on_lost = on_lost
        self._queues: dict[str, queue.SimpleQueue[Any]] = {}
        self._lock = threading.Lock()
        self._open = True
        threading.Thread(
            target=self._receive, name=f'link-{peer.name}', daemon=True
        ).start()

    @property
    def open(self) -> bool:
        """Return whether the end of the connection was not yet detected."""
        return self._open

    def start(self, call: Call) -> Result[CallStream, PeerLost]:
        """Send a call.

        Args:
          call: The call.

        Returns:
          The stream of its frames, or an error if the connection was
          already closed, so that no byte of the call was sent.
        """
        frames: queue.SimpleQueue[Frame] = queue.SimpleQueue()
        with self._lock:
            if not self._open:
                return Err(PeerLost('closed'))
            self._queues[call.call_id] = frames
        if send_message(self._socket, call).is_err():
            # Part of the frame may have been sent, so the caller of this
            # method has to query whether the call started.
            frames.put(LinkLost())
        return Ok(CallStream(call.call_id, frames))

    def discard_call(self, call_id: str) -> None:
        """Drop the frames that still arrive for a call.

        Args:
          call_id: The ID of the call.
        """
        with self._lock:
            self._queues.pop(call_id, None)

    def post(self, message: Any) -> Result[None, PeerLost]:
        """Send a message without waiting for a reply.

        Args:
          message: The message.

        Returns:
          Nothing, or the reason why the message may not have been sent.
        """
        return send_message(self._socket, message)

    def query_call_status(
        self, call_id: str, timeout: float
    ) -> CallStatus | None:
        """Query whether a call started, and bar it if it has not.

        Args:
          call_id: The ID of the call.
          timeout: The timeout in seconds.

        Returns:
          Whether the call started, or None if no reply arrived in time.
        """
        replies: queue.SimpleQueue[Any] = queue.SimpleQueue()
        query_key = f'status of {call_id}'
        with self._lock:
            self._queues[query_key] = replies
        try:
            self.post(CallStatusQuery(call_id))
            reply = replies.get(timeout=timeout)
        except queue.Empty:
            return None
        finally:
            self.discard_call(query_key)
        return reply if isinstance(reply, CallStatus) else None

    def close(self) -> None:
        """Close the connection; calls in flight receive `LinkLost`."""
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
            case CallStatus(call_id):
                self._put(f'status of {call_id}', message)
            case _:
                self._on_message(self, message)

    def _put(self, key: str, message: Any) -> None:
        with self._lock:
            frames = self._queues.get(key)
        if frames is not None:
            frames.put(message)


def open_link(
    address: Address,
    identity: Identity,
    key: bytes,
    on_message: MessageHandler,
    on_lost: LossHandler = _ignore_loss,
) -> Result[Link, PeerLost]:
    """Connect to a side daemon and authenticate with the fleet key.

    Args:
      address: The address of the side daemon.
      identity: The identity of this daemon.
      key: The fleet key.
      on_message: Called with each message that belongs to no call.
      on_lost: Called once the connection has ended.

    Returns:
      The link, or the reason why the connection or handshake failed.
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
    return connect_handshake(socket, identity, key).map(
        lambda peer: Link(socket, peer, on_message, on_lost),
    )
