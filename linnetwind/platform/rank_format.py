"""What a worker of the platform says of its rank, and its orders."""

from typing import Any, Literal

from msgspec import UNSET, Struct
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import (
    Born,
    Count,
    PositiveFigure,
    Text,
    Whole,
    decode_json,
    stated,
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


class Group(Struct):
    """Where a worker stands among the ranks of its group."""

    name: Text
    epoch: Whole
    rank: Whole
    state: Literal['open', 'broken']


class _Armed(Struct):
    version: Whole
    step: Whole


class _Report(Struct, rename='camel'):
    group: Group
    size: Count
    step: Whole
    sequence: Whole
    busy: bool
    mapping: Whole
    active_requests: Whole
    queue_depth: Whole
    preloaded: Whole | None = None
    armed: _Armed | None = None
    held: Whole | None = None
    pace: PositiveFigure = 1
    born: Born = UNSET


class _Picked(Struct):
    epoch: Whole
    step: Whole
    counts: tuple[Whole, ...]
    born: Born = UNSET


class _Mapping(Struct):
    version: Whole
    experts: tuple[tuple[Whole, ...], ...]


class _Lists(Struct):
    epoch: Whole
    mapping: _Mapping
    born: Born = UNSET


_REPORT_DECODER = Decoder(_Report)
_PICKED_DECODER = Decoder(_Picked)
_LISTS_DECODER = Decoder(_Lists)


def decode_report(body: bytes) -> RankReport | BadFormat:
    """Decode the state of a rank.

    Args:
      body: The worker's answer.

    Returns:
      The state, or what is wrong with the answer.
    """
    found = decode_json(body, _REPORT_DECODER)
    if isinstance(found, BadFormat):
        return found
    if found.group.rank >= found.size:
        return BadFormat('group.rank', f'is not below the size, {found.size}')
    armed = found.armed
    return RankReport(
        group=found.group.name,
        rank=found.group.rank,
        size=found.size,
        epoch=found.group.epoch,
        is_open=found.group.state == 'open',
        step=found.step,
        sequence=found.sequence,
        is_copying=found.busy,
        map_version=found.mapping,
        prepared=found.preloaded,
        armed=None if armed is None else armed.version,
        armed_step=None if armed is None else armed.step,
        held=found.held,
        pace=found.pace,
        running=found.active_requests,
        waiting=found.queue_depth,
        born_ms=stated(found.born),
    )


def decode_counts(body: bytes) -> RankCounts | BadFormat:
    """Decode how often each expert was chosen.

    Args:
      body: The worker's answer.

    Returns:
      The counts, or what is wrong with the answer.
    """
    found = decode_json(body, _PICKED_DECODER)
    if isinstance(found, BadFormat):
        return found
    return RankCounts(found.epoch, found.step, found.counts, stated(found.born))


def decode_experts(body: bytes) -> RankExperts | BadFormat:
    """Decode which experts a rank holds.

    Args:
      body: The worker's answer.

    Returns:
      The experts, or what is wrong with the answer.
    """
    found = decode_json(body, _LISTS_DECODER)
    if isinstance(found, BadFormat):
        return found
    mapping = found.mapping
    return RankExperts(
        found.epoch, mapping.version, mapping.experts, stated(found.born)
    )


def order_fields(order: RankOrder) -> dict[str, Any]:
    """Return an order in the platform's fields.

    Args:
      order: The order.

    Returns:
      The fields, for JSON.
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
