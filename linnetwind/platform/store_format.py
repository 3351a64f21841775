"""Records and answers of the platform's store, as our types."""

import struct
from collections.abc import Iterator

from msgspec import Struct
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import Whole, decode_json
from linnetwind.record_store import KeyedRecord

_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class Element(Struct):
    """The newest record of a key; without a value the key is dropped."""

    key: str
    offset: Whole
    value: bytes | None = None


class Page(Struct, rename='camel'):
    """Some of the newest records, and the offset after the topic's last."""

    elements: tuple[Element, ...]
    has_more: bool
    end_offset: Whole


_PAGE_DECODER = Decoder(Page)


def decode_page(body: bytes) -> Page | BadFormat:
    """Decode a page of a topic's newest records.

    Args:
      body: The store's answer.

    Returns:
      The page, or what is wrong with it.
    """
    return decode_json(body, _PAGE_DECODER)


def decode_records(
    body: bytes, start: int
) -> tuple[KeyedRecord, ...] | BadFormat:
    """Decode records that were read from an offset on.

    A last record that was cut off is left for the next reading: half of an
    entry would count as a bad one, and its upstream would get no requests
    until its next change.

    Args:
      body: The store's answer: two offsets, then a length and so many bytes
        for each record.
      start: The offset of the first record.

    Returns:
      The whole records, or what is wrong if there is only a part of one.
    """
    if len(body) < _OFFSETS.size:
        return BadFormat('offsets', f'are cut off after {len(body)} bytes')
    found = list(_split(memoryview(body)[_OFFSETS.size :]))
    if not found and len(body) > _OFFSETS.size:
        return BadFormat('records', 'the first one is cut off')
    return tuple(
        _keyed(content, offset) for offset, content in enumerate(found, start)
    )


def encode_record(key: str, content: bytes | None) -> bytes:
    """Return a record as it is appended.

    Args:
      key: Its key, at most 255 bytes.
      content: Its content; None drops the key.

    Returns:
      The record after its length: the length of the key, the key, the content.
    """
    name = key.encode()
    record = bytes((len(name),)) + name + (content or b'')
    return _LENGTH.pack(len(record)) + record


def _split(rest: memoryview) -> Iterator[bytes]:
    while len(rest) >= _LENGTH.size:
        end = _LENGTH.size + _LENGTH.unpack_from(rest)[0]
        if len(rest) < end:
            return
        yield bytes(rest[_LENGTH.size : end])
        rest = rest[end:]


def _keyed(record: bytes, offset: int) -> KeyedRecord:
    """Return a record: the length of its key, the key, the content.

    Other writers may put anything there. A record whose key cannot be read
    keeps its place, so that those after it are found; no upstream has its key.
    """
    key_end = 1 + record[0] if record else 1
    if len(record) < key_end:
        return KeyedRecord('', offset, record)
    key = record[1:key_end].decode(errors='replace')
    return KeyedRecord(key, offset, record[key_end:] or None)
