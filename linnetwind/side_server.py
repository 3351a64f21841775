"""The side daemon's websocket server for entry daemons and other sides."""

import threading
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from loguru import logger
from result import Err, Ok
from websockets.sync.server import Server, ServerConnection, serve

from linnetwind.address import Address
from linnetwind.config_follower import ConfigFollower
from linnetwind.messages import (
    Call,
    CallStatus,
    CallStatusQuery,
    Cancel,
    ConfigCopy,
    ConfigQuery,
    Demand,
    GroupNote,
    Hello,
    Leaving,
    LoadReport,
    Refused,
)
from linnetwind.outcome import Reason
from linnetwind.peer_connection import (
    MAX_FRAME_BYTES,
    Identity,
    accept_handshake,
    receive_message,
    send_message,
)
from linnetwind.side_calls import Send, UpstreamCalls

_RETRY_MS = 1000

DemandHandler = Callable[[Demand], Any]
NoteHandler = Callable[[GroupNote], None]
KeyedHandler = Callable[[Call, Send, UpstreamCalls], None]


@dataclass(frozen=True)
class SideHandlers:
    """The handlers of messages that other components reply to."""

    demand: DemandHandler
    note: NoteHandler
    keyed: KeyedHandler


@dataclass
class _Peer:
    """The peer of a connection, and the calls received on it by upstream."""

    hello: Hello
    received_calls: Counter[str] = field(default_factory=Counter)


class SideServer:
    """Serves connections of entry daemons and of other side daemons."""

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        upstreams: Mapping[str, UpstreamCalls],
        follower: ConfigFollower,
        handlers: SideHandlers,
    ) -> None:
        """Create the server without binding an address.

        Args:
          identity: The identity of this daemon.
          key: The fleet key.
          upstreams: The calls of each upstream of this host, by name.
          follower: The follower, which holds the configuration in force.
          handlers: The handlers of messages for other components.
        """
        self._identity = identity
        self._key = key
        self._upstreams = upstreams
        self._follower = follower
        self._handlers = handlers
        self._server: Server | None = None
        self._peers: dict[ServerConnection, _Peer] = {}
        self._lock = threading.Lock()

    def start(self, address: Address) -> int:
        """Bind the address and serve in a background thread.

        Args:
          address: The address to listen on; port 0 selects a free port.

        Returns:
          The port in use.
        """
        self._server = serve(
            self._serve,
            address.ip,
            address.port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
        )
        threading.Thread(
            target=self._server.serve_forever, name='side-server', daemon=True
        ).start()
        return self._server.socket.getsockname()[1]

    def stop(self) -> None:
        """Stop the server and close its connections."""
        if self._server is not None:
            self._server.shutdown()
        with self._lock:
            sockets = list(self._peers)
        for socket in sockets:
            socket.close()

    def broadcast(self, message: Any) -> None:
        """Send a message to every entry daemon.

        Args:
          message: The message.
        """
        for socket, _peer in self._entries():
            send_message(socket, message)

    def report(self, load: LoadReport) -> None:
        """Send the load report of an upstream to every entry daemon.

        Args:
          load: The report; `acknowledged` is set here for each connection.
        """
        for socket, peer in self._entries():
            received_calls = peer.received_calls[load.upstream]
            send_message(socket, replace(load, acknowledged=received_calls))

    def _entries(self) -> list[tuple[ServerConnection, '_Peer']]:
        with self._lock:
            return [
                (socket, peer)
                for socket, peer in self._peers.items()
                if peer.hello.role == 'entry'
            ]

    def _serve(self, socket: ServerConnection) -> None:
        offset = self._follower.state.next_offset
        match accept_handshake(socket, self._identity, self._key, offset):
            case Ok(hello):
                self._serve_peer(socket, _Peer(hello))
            case Err(lost):
                logger.warning('connection rejected: {}', lost.describe())

    def _serve_peer(self, socket: ServerConnection, peer: '_Peer') -> None:
        with self._lock:
            self._peers[socket] = peer
        self._send_leaving(socket)
        try:
            self._receive(socket, peer)
        finally:
            with self._lock:
                self._peers.pop(socket, None)

    def _receive(self, socket: ServerConnection, peer: '_Peer') -> None:
        def send(answer: Any) -> bool:  # noqa: WPS430
            return send_message(socket, answer).is_ok()

        while True:
            match receive_message(socket):
                case Ok(Call() as call):
                    peer.received_calls[call.upstream] += 1
                    self._handle_call(call, send)
                case Ok(message):
                    self._handle_message(message, send)
                case Err():
                    return

    def _send_leaving(self, socket: ServerConnection) -> None:
        leaving = tuple(
            name
            for name, calls in self._upstreams.items()
            if calls.admission.leaving
        )
        if leaving:
            send_message(socket, Leaving(leaving))

    def _handle_message(self, message: Any, send: Send) -> None:
        match message:
            case Cancel(call_id):
                for calls in self._upstreams.values():
                    calls.cancel(call_id)
            case CallStatusQuery(call_id):
                send(self._query_status(call_id))
            case ConfigQuery(offset):
                self._send_configuration(offset, send)
            case ConfigCopy(state=state):
                self._follower.adopt(state)
            case Demand():
                send(self._handlers.demand(message))
            case GroupNote():
                self._handlers.note(message)
            case _:
                logger.warning('unexpected message {}', type(message))

    def _handle_call(self, call: Call, send: Send) -> None:
        calls = self._upstreams.get(call.upstream)
        if calls is None:
            # The sender's host list is older than the replacement of this
            # host.
            send(Refused(call.call_id, Reason.NO_UPSTREAM, _RETRY_MS))
        elif call.slot is None:
            calls.offer(call, send)
        else:
            self._handlers.keyed(call, send, calls)

    def _query_status(self, call_id: str) -> CallStatus:
        started_flags = [
            calls.withdraw(call_id).started
            for calls in self._upstreams.values()
        ]
        return CallStatus(call_id, any(started_flags))

    def _send_configuration(self, offset: int, send: Send) -> None:
        state = self._follower.state
        if state.next_offset > offset and state.revision > 0:
            send(ConfigCopy(state.next_offset, self._follower.copy()))
