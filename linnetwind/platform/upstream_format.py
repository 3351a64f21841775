"""The platform's entries of upstreams, as our types."""

import re
from datetime import timedelta
from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType
from msgspec.json import Decoder

from linnetwind.address import parse_address
from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import (
    Born,
    Count,
    Milliseconds,
    Text,
    Whole,
    decode_json,
    stated,
)
from linnetwind.platform.rank_format import Group
from linnetwind.record_store import KeyedRecord
from linnetwind.upstream_list import Registered, Upstream

_DRAINING = 'draining'
# Far more requests than any worker runs at once. A larger number would draw
# all requests to the one that states it.
_MOST_SLOTS = 1_000_000
# An instance goes out in a header with each request: a line break in it would
# begin another header. A record's key has at most 255 bytes.
_INSTANCE = re.compile('[!-~]{1,255}')


class _Entry(Struct, rename='camel'):
    """An entry. What is not used here tells that an entry is whole."""

    service: Text
    address: str
    zone: Text
    version: Text
    slots: Annotated[int, Meta(ge=1, le=_MOST_SLOTS)]
    state: Literal['ready', 'draining']
    cold_remaining_ms: Milliseconds
    sequence: Whole
    stage: str | UnsetType = UNSET
    models: tuple[dict[str, Any], ...] | UnsetType = UNSET
    group: Group | UnsetType = UNSET
    size: Count | UnsetType = UNSET
    born: Born = UNSET


_DECODER = Decoder(_Entry)


def decode_upstream(record: KeyedRecord) -> Registered | BadFormat:
    """Decode an upstream's entry.

    Args:
      record: A record of the upstreams' topic.

    Returns:
      The entry, or what is wrong with it.
    """
    if not record.content:
        return Registered(record.key, record.offset, None)
    if _INSTANCE.fullmatch(record.key) is None:
        return BadFormat('key', 'is not 1 to 255 printable ASCII characters')
    entry = decode_json(record.content, _DECODER)
    if isinstance(entry, BadFormat):
        return entry
    upstream = _upstream(record.key, entry)
    if isinstance(upstream, BadFormat):
        return upstream
    return Registered(record.key, record.offset, upstream)


def _upstream(instance: str, entry: _Entry) -> Upstream | BadFormat:
    try:
        address = parse_address(entry.address)
    except ValueError as error:
        return BadFormat('address', str(error))
    return Upstream(
        instance=instance,
        service=entry.service,
        address=address,
        site=entry.zone,
        slots=entry.slots,
        draining=entry.state == _DRAINING,
        cold=timedelta(milliseconds=entry.cold_remaining_ms),
        born_ms=stated(entry.born),
    )
