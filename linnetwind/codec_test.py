"""Tests of frames: any bytes decode to a message or an error."""

from dataclasses import dataclass

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from linnetwind.codec import Codec
from linnetwind.record_store import KeyedRecord
from standins.bad_messages import plain_json


@dataclass(frozen=True, slots=True)
class _Query:
    """A message."""

    number: int


@dataclass(frozen=True, slots=True)
class _Copy:
    """A message with records of a list, as peers send them."""

    records: tuple[KeyedRecord, ...]
    end: int


CODEC = Codec((_Query, _Copy))
COPY = _Copy((KeyedRecord('a', 3, b'\xff'), KeyedRecord('b', 4, None)), 5)


def test_a_message_is_decoded_as_it_was_encoded():
    assert CODEC.decode(CODEC.encode(COPY)) == Ok(COPY)
    assert CODEC.decode(CODEC.encode(_Query(7))) == Ok(_Query(7))


@pytest.mark.parametrize(
    'frame',
    [
        # A tag that is negative, or that equals an integer without being one,
        # would decode the fields as a type that the sender did not mean.
        [-1, [], 5],
        [-2, 7],
        [True, [], 5],
        [False, 7],
        [0.0, 7],
        ['0', 7],
        [2, 7],
        [10**30, 7],
        [],
        {},
        {0: 7},
        None,
        7,
        [0],
        [0, '7'],
        [0, True],
        [1, [['a', 3, b'']], 5],
        [1, [{'key': 'a', 'offset': -3, 'content': b''}], 5],
        [1, [{'key': 'a', 'offset': '3', 'content': b''}], 5],
        [1, [{'key': 3, 'offset': 3, 'content': b''}], 5],
        [1, [{'key': 'a', 'offset': 3, 'content': [1]}], 5],
        [1, [{'key': 'a', 'content': b''}], 5],
    ],
)
def test_a_frame_that_resembles_a_message_is_an_error(frame):
    assert isinstance(CODEC.decode(cbor2.dumps(frame)), Err)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=60) | plain_json().map(cbor2.dumps))
def test_any_frame_is_a_message_or_an_error(frame):
    match CODEC.decode(frame):
        case Ok(_Query(number)):
            assert type(number) is int
        case Ok(_Copy(records, end)):
            assert type(end) is int
            assert all(each.offset >= 0 for each in records)
        case Err(problem):
            assert problem.describe()


@pytest.mark.parametrize('opening', [b'\x81', b'\xa1\x00', b'\xc1', b'\x9f'])
def test_a_frame_that_nests_deeply_is_an_error(opening):
    assert isinstance(CODEC.decode(opening * 100_000), Err)
