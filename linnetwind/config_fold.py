"""The configuration as a fold over the records of one log stream.

Every process folds the same records in offset order with `fold`, so all
processes reach the same state. A publish is accepted if each part that it
changes is based on the revision in force for that part, and if the resulting
deployment, the base with all overlays, has no errors. Of two conflicting
publishes the one with the lower offset wins.

A snapshot contains the state after all records below the offset `covers`, so
that a process that starts after older records have expired can still fold the
remaining ones (`rebuild`).
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
EVACUATED_PART = 'evacuated'


@dataclass(frozen=True, slots=True)
class PartUpdate:
    """A new document for one part, and the revision that it is based on.

    `document` is the part as compressed CBOR. `based_on` is 0 for a new part.
    """

    name: str
    based_on: int
    document: bytes


@dataclass(frozen=True, slots=True)
class Publish:
    """An operator's atomic change of one or more parts."""

    publish_id: str
    operator: str
    updates: tuple[PartUpdate, ...]


@dataclass(frozen=True, slots=True)
class PartState:
    """A part in force and the revision that last changed it."""

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
    """The configuration after folding all records below `next_offset`."""

    next_offset: int = 0
    revision: int = 0
    parts: Mapping[str, PartState] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    deployment: Deployment | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The publish took effect as this revision."""

    publish_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The publish is rejected: another one changed the part first."""

    publish_id: str
    part: str
    based_on: int
    in_force: int

    def describe(self) -> str:
        """Return the part and the two revisions."""
        return (
            f'{self.part}: builds on revision {self.based_on}, '
            f'but revision {self.in_force} is in force'
        )


@dataclass(frozen=True, slots=True)
class Invalid:
    """The publish is rejected: the resulting deployment has errors."""

    publish_id: str
    errors: tuple[ConfigError, ...]

    def describe(self) -> str:
        """Return all the errors, separated by semicolons."""
        return '; '.join(error.describe() for error in self.errors)


Verdict = Accepted | Conflict | Invalid


@dataclass(frozen=True, slots=True)
class Expired:
    """Older records have expired and no snapshot covers them."""

    first: int

    def describe(self) -> str:
        """Return the lowest offset that the log still keeps."""
        return f'no snapshot covers the records before offset {self.first}'


def pack_part(plain: Any) -> bytes:
    """Return a part's document: compressed CBOR.

    Args:
      plain: The part as maps, lists and scalars.

    Returns:
      The document.
    """
    return zlib.compress(cbor2.dumps(plain, canonical=True))


def unpack_part(document: bytes) -> Any:
    """Return the plain data of a part's document.

    Args:
      document: The result of `pack_part`.

    Returns:
      Maps, lists and scalars.
    """
    return cbor2.loads(zlib.decompress(document))


def split_deployment(deployment: Deployment) -> dict[str, bytes]:
    """Return the documents of a deployment's parts by part name.

    Args:
      deployment: The base and the overlays.

    Returns:
      A document for the base and one for each overlay; none for the
      evacuations, which are not changed with the operators' files.
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
            # A process that has folded the records that a snapshot covers
            # learns nothing from it. Applying the snapshot would even restore
            # an old state if its writer was paused before appending it.
            return after, None


def rebuild(page: Page) -> Result[ConfigState, Expired]:
    """Fold a stream from the first record that the log still keeps.

    Args:
      page: All records that the log still keeps.

    Returns:
      The state at the end of the page, or an error if records have expired
      that no snapshot covers.
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
    """Return a snapshot of a state.

    Args:
      state: The state.

    Returns:
      The snapshot.
    """
    parts = tuple(state.parts[name] for name in sorted(state.parts))
    return Snapshot(state.next_offset, state.revision, parts)


def state_from_snapshot(snapshot: Snapshot) -> ConfigState:
    """Return the state that a snapshot contains.

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
    # An older copy from a peer daemon or from a paused thread must not win, or
    # a configuration that is already in force would be reverted.
    return other if other.next_offset > mine.next_offset else mine


def encode_state(state: ConfigState) -> bytes:
    """Encode a state for a peer daemon.

    Args:
      state: The state.

    Returns:
      A frame in the format that snapshots have in the log.
    """
    return CONFIG_CODEC.encode(make_snapshot(state))


def decode_state(copy: bytes) -> Result[ConfigState, BadFrame]:
    """Decode the state that a peer daemon sent.

    Args:
      copy: The result of `encode_state`.

    Returns:
      The state, or the reason why the copy is invalid.
    """
    match CONFIG_CODEC.decode(copy):
        case Ok(Snapshot() as snapshot):
            return Ok(state_from_snapshot(snapshot))
        case Err() as bad:
            return bad
        case _:
            return Err(BadFrame('not a snapshot'))


def _latest_usable_snapshot(page: Page) -> ConfigState | None:
    # Between a snapshot that ends below the first kept record and that record,
    # publishes may have expired. Folding from it would lose an accepted
    # configuration, so only snapshots without such a gap are usable.
    usable = [
        snapshot
        for snapshot in _snapshots(page)
        if snapshot.covers >= page.first
    ]
    if not usable:
        return None
    return state_from_snapshot(
        max(usable, key=lambda candidate: candidate.covers)
    )


def _snapshots(page: Page) -> Iterable[Snapshot]:
    for entry in page.entries:
        record = CONFIG_CODEC.decode(entry.record).unwrap_or(None)
        if isinstance(record, Snapshot):
            yield record


def _fold_publish(
    state: ConfigState, publish: Publish
) -> tuple[ConfigState, Verdict]:
    conflict = _find_conflict(state, publish)
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


def _find_conflict(state: ConfigState, publish: Publish) -> Conflict | None:
    # Offset order alone decides: of two publishes based on the same revision
    # the second in the log is rejected, so it never overwrites the first. The
    # same check makes a record harmless that was stored twice because the
    # reply to the first append was lost.
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
    deployment: dict[str, Any] = {'overlays': []}
    for part in sorted(parts, key=lambda part_state: part_state.name):
        try:
            plain = unpack_part(part.document)
        except (zlib.error, cbor2.CBORDecodeError):
            plain = None
        if part.name == BASE_PART:
            deployment['base'] = plain
        elif part.name == EVACUATED_PART:
            deployment['evacuated'] = plain
        else:
            deployment['overlays'].append(plain)
    return deployment_from_plain(deployment)
