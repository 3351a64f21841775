"""Decodes responses of the platform's store and encodes appended records."""

import struct
from collections.abc import Iterator

from msgspec import Struct
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import NonNegativeInteger, decode_json
from linnetwind.record_store import KeyedRecord

_OFFSETS_HEADER = struct.Struct('>QQ')
_FRAME_LENGTH = struct.Struct('>I')


class Element(Struct):
    """The newest record of a key; a missing value means a deleted key."""

    key: str
    offset: NonNegativeInteger
    value: bytes | None = None


class Page(Struct, rename='camel'):
    """One page of the newest records of a topic.

    `end_offset` is the offset after the last record of the topic.
    """

    elements: tuple[Element, ...]
    has_more: bool
    end_offset: NonNegativeInteger


_PAGE_DECODER = Decoder(Page)


def decode_page(body: bytes) -> Page | BadFormat:
    """Decode a page of a topic's newest records.

    Args:
      body: The body of the store's response.

    Returns:
      The page, or a description of the first error.
    """
    return decode_json(body, _PAGE_DECODER)


def decode_records(
    body: bytes, start: int
) -> tuple[KeyedRecord, ...] | BadFormat:
    """Decode consecutive records of a topic.

    A truncated last record is left out and read again by the next call. If
    half of an entry were decoded, it would count as a bad entry and its
    upstream would get no requests until the entry changed again.

    Args:
      body: The body of the store's response: two 64-bit offsets, then for
        each record its length as a 32-bit integer and its bytes.
      start: The offset of the first record.

    Returns:
      The complete records, or an error if the body is too short for its
      header or contains only part of one record.
    """
    if len(body) < _OFFSETS_HEADER.size:
        return BadFormat('offsets', f'are cut off after {len(body)} bytes')
    frames = list(_split_frames(memoryview(body)[_OFFSETS_HEADER.size :]))
    if not frames and len(body) > _OFFSETS_HEADER.size:
        return BadFormat('records', 'the first one is cut off')
    return tuple(
        _parse_record(frame, offset)
        for offset, frame in enumerate(frames, start)
    )


def encode_record(key: str, content: bytes | None) -> bytes:
    """Encode a record in the format of the store's append call.

    Args:
      key: The record's key, at most 255 bytes in UTF-8.
      content: The record's content; None deletes the key.

    Returns:
      The length of the record as a 32-bit integer, then the record: the
      length of the key as one byte, the key and the content.
    """
    name = key.encode()
    record = bytes((len(name),)) + name + (content or b'')
    return _FRAME_LENGTH.pack(len(record)) + record


def _split_frames(remaining: memoryview) -> Iterator[bytes]:
    while len(remaining) >= _FRAME_LENGTH.size:
        end = _FRAME_LENGTH.size + _FRAME_LENGTH.unpack_from(remaining)[0]
        if len(remaining) < end:
            return
        yield bytes(remaining[_FRAME_LENGTH.size : end])
        remaining = remaining[end:]


def _parse_record(record: bytes, offset: int) -> KeyedRecord:
    """Parse a record: the length of its key as one byte, the key, the content.

    Other writers to the topic may append arbitrary bytes. A record whose key
    cannot be read is kept, under a key that no upstream has, because dropping
    it would shift the offsets of the records that follow.
    """
    key_end = 1 + record[0] if record else 1
    if len(record) < key_end:
        return KeyedRecord('', offset, record)
    key = record[1:key_end].decode(errors='replace')
    return KeyedRecord(key, offset, record[key_end:] or None)
