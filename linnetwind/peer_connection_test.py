"""Tests of the handshake: both ends must know the fleet key."""

import queue
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest

from linnetwind.messages import Call, Hello, Proof
from linnetwind.peer_connection import (
    Identity,
    accept_handshake,
    connect_handshake,
    receive_message,
    send_message,
)
from linnetwind.wire import PEER_CODEC, PROTOCOL_VERSION

ENTRY = Identity('entry', 'entry-0', 'life-1')
SIDE = Identity('side', 'side-0', 'life-2')
KEY = b'fleet'


@dataclass
class Pipe:
    """One end of a connection in memory."""

    inbox: queue.Queue = field(default_factory=queue.Queue)
    other: 'Pipe | None' = None

    def send(self, message):
        self.other.inbox.put(message)

    def recv(self, timeout=None):
        try:
            return self.inbox.get(timeout=0.5)
        except queue.Empty:
            raise TimeoutError from None

    def close(self):
        """Nothing to close."""


def pipes():
    one, two = Pipe(), Pipe()
    one.other, two.other = two, one
    return one, two


def shake_hands(entry_key, side_key):
    one, two = pipes()
    with ThreadPoolExecutor(2) as pool:
        greeted = pool.submit(connect_handshake, one, ENTRY, entry_key)
        welcomed = pool.submit(accept_handshake, two, SIDE, side_key, 42)
        return greeted.result(), welcomed.result()


def test_both_ends_learn_the_identity_of_the_other():
    greeted, welcomed = shake_hands(KEY, KEY)
    assert greeted.unwrap().name == 'side-0'
    assert greeted.unwrap().config_offset == 42
    assert welcomed.unwrap().incarnation == 'life-1'


def test_caller_without_the_key_is_rejected():
    # A caller that does not check the listener's proof still has to send its
    # own.
    one, two = pipes()
    with ThreadPoolExecutor(1) as pool:
        welcomed = pool.submit(accept_handshake, two, SIDE, KEY, 0)
        hello = Hello(PROTOCOL_VERSION, 'entry', 'x', 'y', b'nonce')
        send_message(one, hello)
        receive_message(one, 1)
        send_message(one, Proof(b'guess'))
        assert welcomed.result().is_err()


def test_listener_without_the_key_is_not_trusted():
    # Another process listens at the address of a side daemon. It must not
    # receive any call.
    greeted, _welcomed = shake_hands(KEY, b'another')
    assert greeted.unwrap_err().problem == 'wrong fleet key'


def test_other_protocol_version_is_rejected():
    one, two = pipes()
    send_message(one, Hello(PROTOCOL_VERSION + 1, 'entry', 'x', 'y', b'n'))
    assert accept_handshake(two, SIDE, KEY, 0).is_err()


BAD_FRAMES = [
    b'',
    b'\xff',
    b'\x80',
    b'\x82\x18\xff\x01',
    PEER_CODEC.encode(Hello(1, 'a', 'b', 'c', b'd'))[:-3],
    'text',
]


@pytest.mark.parametrize('frame', BAD_FRAMES)
def test_malformed_frame_is_a_lost_peer(frame):
    one, two = pipes()
    one.send(frame)
    assert receive_message(two, 1).is_err()


def test_call_is_decoded_as_it_was_encoded():
    call = Call(
        'c',
        'r',
        'up',
        'POST',
        '/p',
        (('a', 'b'),),
        b'body',
        'cust',
        5,
        1000,
        False,
        True,
        's',
        3,
        b'key',
        b'print',
    )
    assert PEER_CODEC.decode(PEER_CODEC.encode(call)).unwrap() == call
