"""Decodes a worker's reports on its rank and encodes orders to the worker."""

from typing import Any, Literal

from msgspec import UNSET, Struct
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import (
    NonEmptyText,
    NonNegativeInteger,
    OptionalStartMs,
    PositiveFloat,
    PositiveInteger,
    decode_json,
    unset_to_none,
)
from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankOrder,
    RankReport,
    ReleasePass,
)

_EPOCH = 'epoch'


class GroupMembership(Struct):
    """A worker's membership in a rank group, and the state of that group."""

    name: NonEmptyText
    epoch: NonNegativeInteger
    rank: NonNegativeInteger
    state: Literal['open', 'broken']


class _ArmedMap(Struct):
    version: NonNegativeInteger
    step: NonNegativeInteger


class _Report(Struct, rename='camel'):
    group: GroupMembership
    size: PositiveInteger
    step: NonNegativeInteger
    sequence: NonNegativeInteger
    busy: bool
    mapping: NonNegativeInteger
    active_requests: NonNegativeInteger
    queue_depth: NonNegativeInteger
    preloaded: NonNegativeInteger | None = None
    armed: _ArmedMap | None = None
    held: NonNegativeInteger | None = None
    pace: PositiveFloat = 1
    born: OptionalStartMs = UNSET


class _ExpertCounts(Struct):
    epoch: NonNegativeInteger
    step: NonNegativeInteger
    counts: tuple[NonNegativeInteger, ...]
    born: OptionalStartMs = UNSET


class _Mapping(Struct):
    version: NonNegativeInteger
    experts: tuple[tuple[NonNegativeInteger, ...], ...]


class _ExpertLists(Struct):
    epoch: NonNegativeInteger
    mapping: _Mapping
    born: OptionalStartMs = UNSET


_REPORT_DECODER = Decoder(_Report)
_COUNTS_DECODER = Decoder(_ExpertCounts)
_EXPERTS_DECODER = Decoder(_ExpertLists)


def decode_report(body: bytes) -> RankReport | BadFormat:
    """Decode a report of the state of a rank.

    Args:
      body: The body of the worker's response.

    Returns:
      The report, or a description of the first error.
    """
    decoded = decode_json(body, _REPORT_DECODER)
    if isinstance(decoded, BadFormat):
        return decoded
    if decoded.group.rank >= decoded.size:
        return BadFormat('group.rank', f'is not below the size, {decoded.size}')
    armed = decoded.armed
    return RankReport(
        group=decoded.group.name,
        rank=decoded.group.rank,
        size=decoded.size,
        epoch=decoded.group.epoch,
        is_open=decoded.group.state == 'open',
        step=decoded.step,
        sequence=decoded.sequence,
        is_copying=decoded.busy,
        map_version=decoded.mapping,
        prepared=decoded.preloaded,
        armed=None if armed is None else armed.version,
        armed_step=None if armed is None else armed.step,
        held=decoded.held,
        pace=decoded.pace,
        running=decoded.active_requests,
        waiting=decoded.queue_depth,
        born_ms=unset_to_none(decoded.born),
    )


def decode_counts(body: bytes) -> RankCounts | BadFormat:
    """Decode how often each expert was chosen.

    Args:
      body: The body of the worker's response.

    Returns:
      The counts, or a description of the first error.
    """
    decoded = decode_json(body, _COUNTS_DECODER)
    if isinstance(decoded, BadFormat):
        return decoded
    return RankCounts(
        decoded.epoch, decoded.step, decoded.counts, unset_to_none(decoded.born)
    )


def decode_experts(body: bytes) -> RankExperts | BadFormat:
    """Decode the lists of the experts that a rank holds.

    Args:
      body: The body of the worker's response.

    Returns:
      The experts, or a description of the first error.
    """
    decoded = decode_json(body, _EXPERTS_DECODER)
    if isinstance(decoded, BadFormat):
        return decoded
    mapping = decoded.mapping
    return RankExperts(
        decoded.epoch,
        mapping.version,
        mapping.experts,
        unset_to_none(decoded.born),
    )


def order_fields(order: RankOrder) -> dict[str, Any]:
    """Convert an order to the fields of the platform's JSON format.

    Args:
      order: The order to a rank's worker.

    Returns:
      The fields by their names on the wire.
    """
    match order:
        case PrepareMap(version, epoch, expect, maps):
            return {
                'operation': 'prepare',
                'version': version,
                'mapping': maps,
                _EPOCH: epoch,
                'expect': expect,
            }
        case ArmMap(version, step, epoch, expect):
            return {
                'operation': 'arm',
                'version': version,
                'step': step,
                _EPOCH: epoch,
                'expect': expect,
            }
        case DisarmMap(version, epoch):
            return {
                'operation': 'disarm',
                'version': version,
                _EPOCH: epoch,
            }
        case HoldPass(step, epoch, expect):
            return {
                'operation': 'hold',
                'step': step,
                _EPOCH: epoch,
                'expect': expect,
            }
        case ReleasePass(step, epoch):
            return {'operation': 'go', 'step': step, _EPOCH: epoch}
