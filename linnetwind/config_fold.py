"""The configuration as a fold over the records of one log stream.

Every process folds the same records in offset order through `fold`, so all
of them come to the same state. A publish is accepted when each part that it
brings builds on the revision in force for that part, and when the whole,
base with every overlay, has no errors. The first in offset order wins.

A snapshot repeats the state as of `covers`, so that a process which starts
after older records have expired can still fold the rest (`rebuild`).
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import cbor2
import msgspec
from result import Err, Ok, Result

from linnetwind.codec import BadFrame, Codec
from linnetwind.config import Deployment
from linnetwind.config_loader import deployment_from_plain
from linnetwind.errors import ConfigError
from linnetwind.log_port import Entry, Page

CONFIG_STREAM = 'config'
BASE_PART = 'base'
OVERLAY_PREFIX = 'overlay/'


@dataclass(frozen=True, slots=True)
class PartUpdate:
    """A new text for one part, and the revision that it builds on.

    `document` is the part as compressed CBOR. `based_on` is 0 for a part
    that is new.
    """

    name: str
    based_on: int
    document: bytes


@dataclass(frozen=True, slots=True)
class Publish:
    """An operator's change of one or more parts, all or none."""

    publish_id: str
    operator: str
    updates: tuple[PartUpdate, ...]


@dataclass(frozen=True, slots=True)
class PartState:
    """A part in force and the revision that brought it."""

    name: str
    revision: int
    document: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after folding all records below the offset `covers`."""

    covers: int
    revision: int
    parts: tuple[PartState, ...]


CONFIG_CODEC = Codec((Publish, Snapshot))


@dataclass(frozen=True)
class ConfigState:
    """What is in force after folding all records below `next_offset`."""

    next_offset: int = 0
    revision: int = 0
    parts: Mapping[str, PartState] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    deployment: Deployment | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The publish is in force as this revision."""

    publish_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another publish changed the part first."""

    publish_id: str
    part: str
    based_on: int
    in_force: int

    def describe(self) -> str:
        """Return the part, and the two revisions."""
        return (
            f'{self.part}: builds on revision {self.based_on}, '
            f'but revision {self.in_force} is in force'
        )


@dataclass(frozen=True, slots=True)
class Invalid:
    """The whole would have errors."""

    publish_id: str
    errors: tuple[ConfigError, ...]

    def describe(self) -> str:
        """Return all the errors, separated by semicolons."""
        return '; '.join(error.describe() for error in self.errors)


Verdict = Accepted | Conflict | Invalid


@dataclass(frozen=True, slots=True)
class Expired:
    """Older records are gone and no snapshot covers them."""

    first: int

    def describe(self) -> str:
        """Return the lowest offset that is left."""
        return f'no snapshot covers the records before offset {self.first}'


def pack_part(plain: Any) -> bytes:
    """Return a part's document: compressed CBOR.

    Args:
      plain: Maps, lists and scalars.

    Returns:
      The document.
    """
    return zlib.compress(cbor2.dumps(plain, canonical=True))


def unpack_part(document: bytes) -> Any:
    """Return the plain data of a part's document.

    Args:
      document: What `pack_part` gave.

    Returns:
      Maps, lists and scalars.
    """
    return cbor2.loads(zlib.decompress(document))


def split_deployment(deployment: Deployment) -> dict[str, bytes]:
    """Return the documents of a deployment's parts by name.

    Args:
      deployment: The base and the overlays.

    Returns:
      A document for the base and one for each overlay.
    """
    plain = msgspec.to_builtins(deployment)
    documents = {BASE_PART: pack_part(plain['base'])}
    for overlay in plain['overlays']:
        name = f'{OVERLAY_PREFIX}{overlay["site"]}'
        documents[name] = pack_part(overlay)
    return documents


def fold(
    state: ConfigState, entry: Entry
) -> tuple[ConfigState, Verdict | None]:
    """Fold one record into the state.

    Args:
      state: The state after all records before this one.
      entry: The record and its offset.

    Returns:
      The new state, and the verdict if the record is a publish.
    """
    after = replace(state, next_offset=entry.offset + 1)
    match CONFIG_CODEC.decode(entry.record):
        case Ok(Publish() as publish):
            return _fold_publish(after, publish)
        case _:
            # A snapshot adds nothing to the state of who folded the records
            # that it covers. Taking it in would bring back an old state if
            # its writer was paused before appending it.
            return after, None


def rebuild(page: Page) -> Result[ConfigState, Expired]:
    """Fold a stream from its first kept record on.

    Args:
      page: All records that the log still keeps.

    Returns:
      The state at the end of the page.
    """
    state = ConfigState()
    if page.first > 0:
        start = _latest_usable_snapshot(page)
        if start is None:
            return Err(Expired(page.first))
        state = start
    for entry in page.entries:
        if entry.offset >= state.next_offset:
            state, _verdict = fold(state, entry)
    return Ok(replace(state, next_offset=max(state.next_offset, page.end)))


def make_snapshot(state: ConfigState) -> Snapshot:
    """Return the record that repeats a state.

    Args:
      state: The state to repeat.

    Returns:
      The snapshot.
    """
    parts = tuple(state.parts[name] for name in sorted(state.parts))
    return Snapshot(state.next_offset, state.revision, parts)


def state_from_snapshot(snapshot: Snapshot) -> ConfigState:
    """Return the state that a snapshot repeats.

    Args:
      snapshot: The snapshot.

    Returns:
      The state as of `snapshot.covers`.
    """
    parts = {part.name: part for part in snapshot.parts}
    deployment, _errors = _assemble(parts.values())
    return ConfigState(
        snapshot.covers,
        snapshot.revision,
        MappingProxyType(parts),
        deployment,
    )


def newer(mine: ConfigState, other: ConfigState) -> ConfigState:
    """Return whichever state has folded more of the stream.

    Args:
      mine: A state of this stream.
      other: Another state of the same stream.

    Returns:
      The one with the higher offset; `mine` when they are equal.
    """
    # An older copy from a neighbour or a paused thread must not win, or a
    # configuration in force would be taken back.
    return other if other.next_offset > mine.next_offset else mine


def encode_state(state: ConfigState) -> bytes:
    """Return a state as bytes for a neighbour.

    Args:
      state: The state to copy.

    Returns:
      The same frame that a snapshot has in the log.
    """
    return CONFIG_CODEC.encode(make_snapshot(state))


def decode_state(copy: bytes) -> Result[ConfigState, BadFrame]:
    """Return the state that a neighbour sent.

    Args:
      copy: What `encode_state` gave.

    Returns:
      The state, or what is wrong with the copy.
    """
    match CONFIG_CODEC.decode(copy):
        case Ok(Snapshot() as snapshot):
            return Ok(state_from_snapshot(snapshot))
        case Err() as bad:
            return bad
        case _:
            return Err(BadFrame('not a snapshot'))


def _latest_usable_snapshot(page: Page) -> ConfigState | None:
    # A snapshot that covers less than up to the first kept record may lack
    # a publish that has expired since; folding from it would take back an
    # accepted configuration. So only a snapshot without a gap is used.
    usable = [
        snapshot
        for snapshot in _snapshots(page)
        if snapshot.covers >= page.first
    ]
    if not usable:
        return None
    return state_from_snapshot(max(usable, key=lambda found: found.covers))


def _snapshots(page: Page) -> Iterable[Snapshot]:
    for entry in page.entries:
        record = CONFIG_CODEC.decode(entry.record).unwrap_or(None)
        if isinstance(record, Snapshot):
            yield record


def _fold_publish(
    state: ConfigState, publish: Publish
) -> tuple[ConfigState, Verdict]:
    conflict = _conflict(state, publish)
    if conflict is not None:
        return state, conflict
    revision = state.revision + 1
    parts = dict(state.parts)
    for update in publish.updates:
        parts[update.name] = PartState(update.name, revision, update.document)
    deployment, errors = _assemble(parts.values())
    if deployment is None:
        return state, Invalid(publish.publish_id, tuple(errors))
    folded = ConfigState(
        state.next_offset, revision, MappingProxyType(parts), deployment
    )
    return folded, Accepted(publish.publish_id, revision)


def _conflict(state: ConfigState, publish: Publish) -> Conflict | None:
    # Settled by offset order alone: of two operators who build on the same
    # revision the second to reach the log is told so, and nothing of the
    # first is overwritten. It also makes a record harmless that was stored
    # twice after a lost reply.
    for update in publish.updates:
        part = state.parts.get(update.name)
        in_force = part.revision if part else 0
        if update.based_on != in_force:
            return Conflict(
                publish.publish_id, update.name, update.based_on, in_force
            )
    return None


def _assemble(
    parts: Iterable[PartState],
) -> tuple[Deployment | None, list[ConfigError]]:
    whole: dict[str, Any] = {'overlays': []}
    for part in sorted(parts, key=lambda found: found.name):
        try:
            plain = unpack_part(part.document)
        except (zlib.error, cbor2.CBORDecodeError):
            plain = None
        if part.name == BASE_PART:
            whole['base'] = plain
        else:
            whole['overlays'].append(plain)
    return deployment_from_plain(whole)
