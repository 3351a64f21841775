"""A group's log stream: which side daemon coordinates, and the target map.

The epoch is one more than the offset of the accepted record of type
`CoordinatorTakeover`. It therefore grows with each change of the
coordinator, and no two coordinators share one. The log is needed to become
coordinator and to publish a map, but never to complete a switch.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

import cbor2

from linnetwind.codec import Codec
from linnetwind.log_port import Entry
from linnetwind.placement_types import ExpertMap


@dataclass(frozen=True, slots=True)
class CoordinatorTakeover:
    """The side daemon `holder` takes over the coordinator's role.

    It has seen no activity of the coordinator with the epoch
    `replaced_epoch`, which is 0 if there was none.
    """

    holder: str
    replaced_epoch: int


@dataclass(frozen=True, slots=True)
class Target:
    """The map that the coordinator of `epoch` wants the group to use."""

    epoch: int
    map_id: str
    packed: bytes


@dataclass(frozen=True, slots=True)
class CoordinatorRenewal:
    """The coordinator renews its role before the older records expire."""

    holder: str
    epoch: int


GROUP_CODEC = Codec((CoordinatorTakeover, Target, CoordinatorRenewal))


@dataclass(frozen=True)
class GroupRole:
    """The state folded from a group's stream.

    `next_offset` is the offset of the next record to read. `holder` is the
    coordinator, an empty string if there is none.
    """

    next_offset: int = 0
    holder: str = ''
    epoch: int = 0
    target: Target | None = None


def fold_role(role: GroupRole, entries: Iterable[Entry]) -> GroupRole:
    """Fold log records into the state.

    Args:
      role: The state before.
      entries: The records, in offset order.

    Returns:
      The state after.
    """
    for entry in entries:
        record = GROUP_CODEC.decode(entry.record).unwrap_or(None)
        epoch = entry.offset + 1
        match record:
            # A record with a higher epoch than the known one means that the
            # records in between expired before this reader started; it is
            # accepted. A record with a lower epoch is ignored: it comes from
            # a coordinator that was replaced, or from the second of two side
            # daemons that took over at the same time.
            case CoordinatorTakeover(holder, previous) if (
                previous >= role.epoch
            ):
                role = replace(role, holder=holder, epoch=epoch)
            case CoordinatorRenewal(holder, held_epoch) if (
                held_epoch >= role.epoch
            ):
                role = replace(role, holder=holder, epoch=held_epoch)
            case Target(epoch=target_epoch) if target_epoch >= role.epoch:
                role = replace(role, target=record)
        role = replace(role, next_offset=entry.offset + 1)
    return role


def pack_map(expert_map: ExpertMap) -> bytes:
    """Encode a map as compressed CBOR.

    Args:
      expert_map: The map.

    Returns:
      The bytes for the field `packed` of a `Target`.
    """
    layers = [list(layer) for layer in expert_map.layers]
    plain = [expert_map.slots_per_rank, layers]
    return zlib.compress(cbor2.dumps(plain))


def unpack_map(packed: bytes) -> ExpertMap:
    """Decode the map of a `Target`.

    Args:
      packed: The bytes returned by `pack_map`.

    Returns:
      The map.
    """
    slots_per_rank, layers = cbor2.loads(zlib.decompress(packed))
    return ExpertMap(slots_per_rank, tuple(tuple(layer) for layer in layers))


def stream_of_group(group: str) -> str:
    """Return the name of a group's log stream.

    Args:
      group: The group's name.

    Returns:
      The stream's name.
    """
    return f'group-{group}'
