"""Messages between entry and side daemons on a websocket, and the handshake.

Both ends prove that they know the fleet key by a keyed digest over the nonces
of both. Not all upstreams authenticate their clients, so a side daemon must
know that its client belongs to the fleet before it accepts any call.
"""

import hashlib
import hmac
import os
from dataclasses import dataclass, replace
from typing import Any, Protocol

from result import Err, Ok, Result
from websockets.exceptions import WebSocketException

from linnetwind.messages import Challenge, Hello, Proof, Welcome
from linnetwind.wire import PEER_CODEC, PROTOCOL_VERSION

HANDSHAKE_SECONDS = 3.0
MAX_FRAME_BYTES = 33_554_432

_NONCE_BYTES = 16
_TRANSPORT_ERRORS = (WebSocketException, OSError, EOFError, TimeoutError)


class Socket(Protocol):
    """The interface of a websocket connection that is used here."""

    def send(self, message: bytes) -> None:
        """Send one frame."""

    def recv(self, timeout: float | None = None) -> Any:
        """Wait for one frame."""

    def close(self) -> None:
        """Close the connection."""


@dataclass(frozen=True)
class Identity:
    """The identity of a daemon; each restart has another `incarnation`."""

    role: str
    name: str
    incarnation: str


@dataclass(frozen=True)
class PeerLost:
    """The connection was lost, or the other end violated the protocol."""

    problem: str

    def describe(self) -> str:
        """Return the problem."""
        return f'peer lost: {self.problem}'


def send_message(socket: Socket, message: Any) -> Result[None, PeerLost]:
    """Send one message.

    Args:
      socket: The connection.
      message: An instance of one of the types of `PEER_CODEC`.

    Returns:
      Nothing, or why the message may not have been sent.
    """
    try:
        socket.send(PEER_CODEC.encode(message))
    except _TRANSPORT_ERRORS as error:
        return Err(PeerLost(repr(error)))
    return Ok(None)


def receive_message(
    socket: Socket, timeout: float | None = None
) -> Result[Any, PeerLost]:
    """Wait for one message.

    Args:
      socket: The connection.
      timeout: The longest wait in seconds, or None to wait without limit.

    Returns:
      The message, or why there is none.
    """
    try:
        frame = socket.recv(timeout)
    except _TRANSPORT_ERRORS as error:
        return Err(PeerLost(repr(error)))
    if not isinstance(frame, bytes):
        return Err(PeerLost('a text frame'))
    return PEER_CODEC.decode(frame).map_err(
        lambda bad: PeerLost(bad.describe()),
    )


def connect_handshake(
    socket: Socket, identity: Identity, key: bytes
) -> Result[Challenge, PeerLost]:
    """Perform the handshake of the end that connects.

    Args:
      socket: The new connection.
      identity: The identity of this daemon.
      key: The fleet key.

    Returns:
      The listener's challenge, which holds its identity, or why it is not
      trusted.
    """
    hello = Hello(
        PROTOCOL_VERSION,
        identity.role,
        identity.name,
        identity.incarnation,
        os.urandom(_NONCE_BYTES),
    )
    send_message(socket, hello)
    match receive_message(socket, HANDSHAKE_SECONDS):
        case Ok(Challenge() as challenge):
            return _answer_challenge(socket, hello, challenge, key)
        case Err() as peer_lost:
            return peer_lost
        case _:
            return Err(PeerLost('no challenge'))


def accept_handshake(
    socket: Socket, identity: Identity, key: bytes, config_offset: int
) -> Result[Hello, PeerLost]:
    """Perform the handshake of the end that listens.

    Args:
      socket: The new connection.
      identity: The identity of this daemon.
      key: The fleet key.
      config_offset: The offset up to which this daemon has folded the
        configuration.

    Returns:
      The caller's hello, which holds its identity, or why it is not trusted.
    """
    match receive_message(socket, HANDSHAKE_SECONDS):
        case Ok(Hello(version=version) as hello):
            if version != PROTOCOL_VERSION:
                return Err(PeerLost(f'protocol version {version}'))
            return _challenge(socket, hello, identity, key, config_offset)
        case Err() as peer_lost:
            return peer_lost
        case _:
            return Err(PeerLost('no hello'))


def _answer_challenge(
    socket: Socket, hello: Hello, challenge: Challenge, key: bytes
) -> Result[Challenge, PeerLost]:
    expected = _listener_proof(key, hello, challenge)
    if not hmac.compare_digest(expected, challenge.proof):
        return Err(PeerLost('wrong fleet key'))
    send_message(socket, Proof(_caller_proof(key, hello, challenge)))
    match receive_message(socket, HANDSHAKE_SECONDS):
        case Ok(Welcome()):
            return Ok(challenge)
        case Err() as peer_lost:
            return peer_lost
        case _:
            return Err(PeerLost('no welcome'))


def _challenge(
    socket: Socket,
    hello: Hello,
    identity: Identity,
    key: bytes,
    config_offset: int,
) -> Result[Hello, PeerLost]:
    unproven = Challenge(
        PROTOCOL_VERSION,
        identity.name,
        identity.incarnation,
        os.urandom(_NONCE_BYTES),
        b'',
        config_offset,
    )
    challenge = replace(unproven, proof=_listener_proof(key, hello, unproven))
    send_message(socket, challenge)
    match receive_message(socket, HANDSHAKE_SECONDS):
        case Ok(Proof(proof=proof)):
            expected = _caller_proof(key, hello, challenge)
            if not hmac.compare_digest(expected, proof):
                return Err(PeerLost('wrong fleet key'))
            return send_message(socket, Welcome()).map(
                lambda _nothing: hello,
            )
        case Err() as peer_lost:
            return peer_lost
        case _:
            return Err(PeerLost('no proof'))


def _listener_proof(key: bytes, hello: Hello, challenge: Challenge) -> bytes:
    return _digest(key, b'listener', hello, challenge)


def _caller_proof(key: bytes, hello: Hello, challenge: Challenge) -> bytes:
    return _digest(key, b'caller', hello, challenge)


def _digest(
    key: bytes, label: bytes, hello: Hello, challenge: Challenge
) -> bytes:
    identities = (
        hello.role,
        hello.name,
        hello.incarnation,
        challenge.name,
        challenge.incarnation,
    )
    text = '\n'.join(identities).encode()
    signed = b'\n'.join((label, hello.nonce, challenge.nonce, text))
    return hmac.new(key, signed, hashlib.sha256).digest()
