"""A group's log stream: who coordinates, and which map is wanted.

The epoch is the offset of the latest `Coordinate` record, so it grows with
each change of the coordinator and no two have the same. The log is needed
to become coordinator and to publish a map; never to finish a switch.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

import cbor2

from linnetwind.codec import Codec
from linnetwind.log_port import Entry
from linnetwind.placement_types import ExpertMap


@dataclass(frozen=True, slots=True)
class Coordinate:
    """A side takes the group over, because it saw no sign of `after`."""

    holder: str
    after: int


@dataclass(frozen=True, slots=True)
class Target:
    """The map that the coordinator of this epoch wants."""

    epoch: int
    map_id: str
    packed: bytes


@dataclass(frozen=True, slots=True)
class Held:
    """The coordinator repeats its role, before the older records expire."""

    holder: str
    epoch: int


GROUP_CODEC = Codec((Coordinate, Target, Held))


@dataclass(frozen=True)
class GroupRole:
    """The fold over a group's stream."""

    next_offset: int = 0
    holder: str = ''
    epoch: int = 0
    target: Target | None = None


def fold_role(role: GroupRole, entries: Iterable[Entry]) -> GroupRole:
    """Fold records into the role.

    Args:
      role: The role before.
      entries: The records, in offset order.

    Returns:
      The role after.
    """
    for entry in entries:
        record = GROUP_CODEC.decode(entry.record).unwrap_or(None)
        epoch = entry.offset + 1
        match record:
            # A higher epoch than the known one is met only by a reader whose
            # earlier records have expired; it goes along with it. A lower
            # one is of a coordinator that was replaced, or of the second of
            # two sides that took over at once.
            case Coordinate(holder, after) if after >= role.epoch:
                role = replace(role, holder=holder, epoch=epoch)
            case Held(holder, held) if held >= role.epoch:
                role = replace(role, holder=holder, epoch=held)
            case Target(epoch=wanted_by) if wanted_by >= role.epoch:
                role = replace(role, target=record)
        role = replace(role, next_offset=entry.offset + 1)
    return role


def pack_map(expert_map: ExpertMap) -> bytes:
    """Return a map as compressed CBOR.

    Args:
      expert_map: The map.

    Returns:
      The bytes of a `Target`.
    """
    layers = [list(layer) for layer in expert_map.layers]
    plain = [expert_map.slots_per_rank, layers]
    return zlib.compress(cbor2.dumps(plain))


def unpack_map(packed: bytes) -> ExpertMap:
    """Return the map of a `Target`.

    Args:
      packed: What `pack_map` gave.

    Returns:
      The map.
    """
    slots_per_rank, layers = cbor2.loads(zlib.decompress(packed))
    return ExpertMap(slots_per_rank, tuple(tuple(layer) for layer in layers))


def stream_of_group(group: str) -> str:
    """Return the name of a group's stream.

    Args:
      group: The group's name.

    Returns:
      The name.
    """
    return f'group-{group}'
