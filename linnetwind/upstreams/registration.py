"""Registered upstreams and their records, and how restarts are told apart."""

from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.upstream_incarnation import (
    UpstreamIncarnation,
    name_incarnation,
)


@dataclass(frozen=True, slots=True)
class Upstream:
    """A registered upstream.

    `instance` is the name under which the process registers, also after a
    restart. `born_ms` is the Unix time in ms of its start, None if the entry
    lacks it. `slots` is the number of requests that it runs at once, `cold` the
    time that it still needs to warm up. `life` identifies the incarnation,
    computed once: each event of each stream reads it for a group's members.
    """

    instance: str
    service: str
    address: Address
    site: str
    slots: int
    draining: bool
    cold: timedelta
    born_ms: int | None = None
    life: UpstreamIncarnation = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        """Compute the identifier of the incarnation."""
        life = name_incarnation(self.instance, self.born_ms)
        object.__setattr__(self, 'life', life)


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """The newest record of a key; `upstream` is None if the key was deleted."""

    instance: str
    offset: int
    upstream: Upstream | None


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The incarnation before the one that is registered now.

    `late_offset` is the offset of a record of it that was written after the
    first record of its successor; None if there is no such record.
    """

    life: UpstreamIncarnation
    late_offset: int | None = None


def is_restart(record: UpstreamRecord, before: UpstreamRecord | None) -> bool:
    if record.upstream is None or before is None or before.upstream is None:
        return False
    return record.upstream.life != before.upstream.life


def is_late(
    record: UpstreamRecord,
    before: UpstreamRecord | None,
    previous: Predecessor | None,
) -> bool:
    """Return whether a record is a late write of the previous incarnation.

    A write in flight when the upstream crashed may be applied seconds later,
    after the first entry of the next incarnation. Without this check, calls
    would be counted for the dead incarnation until the next heartbeat. Only one
    such record is ignored: an incarnation that writes twice is alive, and the
    host's clock went back. A record that says "draining" is
    never ignored: a draining upstream must not be sent requests.
    """
    if previous is None or not is_restart(record, before):
        return False
    born = (record.upstream.born_ms, before.upstream.born_ms)
    if None in born or record.upstream.draining:
        return False
    first = previous.late_offset in {None, record.offset}
    return first and record.upstream.life == previous.life and born[0] < born[1]
