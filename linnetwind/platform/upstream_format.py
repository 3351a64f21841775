"""Decodes the platform's entries of upstreams."""

import re
from datetime import timedelta
from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType
from msgspec.json import Decoder

from linnetwind.address import parse_address
from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import (
    DurationMs,
    NonEmptyText,
    NonNegativeInteger,
    OptionalStartMs,
    PositiveInteger,
    decode_json,
    unset_to_none,
)
from linnetwind.platform.rank_format import GroupMembership
from linnetwind.record_store import KeyedRecord
from linnetwind.upstreams.upstream_list import Upstream, UpstreamRecord

_DRAINING_STATE = 'draining'
# Far more concurrent requests than any worker runs. An upstream that states a
# larger number would attract all requests.
_MAX_SLOTS = 1_000_000
# The instance name is sent in a header of each request, where a line break
# would inject another header. A record's key has at most 255 bytes.
_INSTANCE_NAME = re.compile('[!-~]{1,255}')


class _Entry(Struct, rename='camel'):
    """An upstream's entry.

    Fields that the gateway does not use are checked too, so that an incomplete
    entry or another writer's entry is rejected.
    """

    service: NonEmptyText
    address: str
    zone: NonEmptyText
    version: NonEmptyText
    slots: Annotated[int, Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal['ready', 'draining']
    cold_remaining_ms: DurationMs
    sequence: NonNegativeInteger
    stage: str | UnsetType = UNSET
    models: tuple[dict[str, Any], ...] | UnsetType = UNSET
    group: GroupMembership | UnsetType = UNSET
    size: PositiveInteger | UnsetType = UNSET
    born: OptionalStartMs = UNSET


_DECODER = Decoder(_Entry)


def decode_upstream(record: KeyedRecord) -> UpstreamRecord | BadFormat:
    """Decode an upstream's entry.

    Args:
      record: A record of the topic of upstreams.

    Returns:
      The record of the upstream, without an upstream if the record deletes
      its key, or a description of the first error.
    """
    if not record.content:
        return UpstreamRecord(record.key, record.offset, None)
    if _INSTANCE_NAME.fullmatch(record.key) is None:
        return BadFormat('key', 'is not 1 to 255 printable ASCII characters')
    entry = decode_json(record.content, _DECODER)
    if isinstance(entry, BadFormat):
        return entry
    upstream = _to_upstream(record.key, entry)
    if isinstance(upstream, BadFormat):
        return upstream
    return UpstreamRecord(record.key, record.offset, upstream)


def _to_upstream(instance: str, entry: _Entry) -> Upstream | BadFormat:
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
        draining=entry.state == _DRAINING_STATE,
        cold=timedelta(milliseconds=entry.cold_remaining_ms),
        born_ms=unset_to_none(entry.born),
    )
