"""The side daemon's websocket server: whom it trusts and what it answers."""

import threading
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from loguru import logger
from result import Err, Ok
from websockets.sync.server import Server, ServerConnection, serve

from linnetwind.address import Address
from linnetwind.follower import Follower
from linnetwind.messages import (
    Call,
    Cancel,
    ConfigCopy,
    ConfigQuery,
    Demand,
    Fate,
    FateQuery,
    GroupNote,
    Hello,
    Leaving,
    Load,
    Refused,
)
from linnetwind.outcome import Reason
from linnetwind.peer import (
    MAX_FRAME_BYTES,
    Identity,
    receive_message,
    send_message,
    welcome,
)
from linnetwind.side_calls import Send, UpstreamCalls

_RETRY_MS = 1000

DemandHandler = Callable[[Demand], Any]
NoteHandler = Callable[[GroupNote], None]
KeyedHandler = Callable[[Call, Send, UpstreamCalls], None]


@dataclass(frozen=True)
class SideHandlers:
    """What the server hands to the other parts of the side daemon."""

    demand: DemandHandler
    note: NoteHandler
    keyed: KeyedHandler


@dataclass
class _Peer:
    """Who is at the other end, and how many calls came from there."""

    hello: Hello
    taken: Counter[str] = field(default_factory=Counter)


class SideServer:
    """Serves entry daemons, other sides and operators' commands."""

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        upstreams: Mapping[str, UpstreamCalls],
        follower: Follower,
        handlers: SideHandlers,
    ) -> None:
        """Prepare the server; nothing is bound yet.

        Args:
          identity: Who this daemon is.
          key: The fleet key.
          upstreams: The calls at each upstream of this host.
          follower: The configuration in force.
          handlers: The parts that answer other messages.
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
        """Bind the address and serve in a thread.

        Args:
          address: Where to listen; port 0 takes any.

        Returns:
          The port.
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
        """Close the server and its connections."""
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

    def report(self, load: Load) -> None:
        """Send an upstream's load to every entry daemon.

        Args:
          load: The report; the number of calls received on each entry
            daemon's connection is filled in here.
        """
        for socket, peer in self._entries():
            taken = peer.taken[load.upstream]
            send_message(socket, replace(load, acknowledged=taken))

    def _entries(self) -> list[tuple[ServerConnection, '_Peer']]:
        with self._lock:
            return [
                (socket, peer)
                for socket, peer in self._peers.items()
                if peer.hello.role == 'entry'
            ]

    def _serve(self, socket: ServerConnection) -> None:
        offset = self._follower.state.next_offset
        match welcome(socket, self._identity, self._key, offset):
            case Ok(hello):
                self._serve_peer(socket, _Peer(hello))
            case Err(lost):
                logger.warning('caller turned away: {}', lost.describe())

    def _serve_peer(self, socket: ServerConnection, peer: '_Peer') -> None:
        with self._lock:
            self._peers[socket] = peer
        self._announce(socket)
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
                    peer.taken[call.upstream] += 1
                    self._call(call, send)
                case Ok(message):
                    self._dispatch(message, send)
                case Err():
                    return

    def _announce(self, socket: ServerConnection) -> None:
        leaving = tuple(
            name
            for name, calls in self._upstreams.items()
            if calls.gate.leaving
        )
        if leaving:
            send_message(socket, Leaving(leaving))

    def _dispatch(self, message: Any, send: Send) -> None:
        match message:
            case Cancel(call_id):
                for calls in self._upstreams.values():
                    calls.cancel(call_id)
            case FateQuery(call_id):
                send(self._fate(call_id))
            case ConfigQuery(offset):
                self._config(offset, send)
            case ConfigCopy(state=state):
                self._follower.adopt(state)
            case Demand():
                send(self._handlers.demand(message))
            case GroupNote():
                self._handlers.note(message)
            case _:
                logger.warning('unexpected message {}', type(message))

    def _call(self, call: Call, send: Send) -> None:
        calls = self._upstreams.get(call.upstream)
        if calls is None:
            # The host list lagged behind a replaced host.
            send(Refused(call.call_id, Reason.NO_UPSTREAM, _RETRY_MS))
        elif call.slot is None:
            calls.offer(call, send)
        else:
            self._handlers.keyed(call, send, calls)

    def _fate(self, call_id: str) -> Fate:
        fates = [
            calls.withdraw(call_id).started
            for calls in self._upstreams.values()
        ]
        return Fate(call_id, any(fates))

    def _config(self, offset: int, send: Send) -> None:
        state = self._follower.state
        if state.next_offset > offset and state.revision > 0:
            send(ConfigCopy(state.next_offset, self._follower.copy()))
