"""The interface to the platform's record store."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, Protocol

from msgspec import Meta


class Topic(enum.Enum):
    """A topic of the store, which keeps the newest record of each key."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    QUARANTINE = 'quarantine'


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """A position in a topic, ordered by era and then by offset.

    Offsets are ordered within one `era` only: a store that is restored from an
    older copy assigns the offsets of the lost records again, and its era rises.
    """

    era: int
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a key; `content` is None if the record deletes the key."""

    key: str
    offset: Annotated[int, Meta(ge=0)]
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Records:
    """Records in offset order, and the offset after the last one.

    `era` is 0 if the store does not report one.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position after the last record."""
        return Position(self.era, self.end)


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The requested records are deleted; read the newest ones instead."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not respond, or refused the request."""

    problem: str


class RecordStore(Protocol):
    """A client that reads records and writes the records of the gateways."""

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Return the newest record of each key."""

    def read(
        self, topic: Topic, start: int, wait: timedelta
    ) -> Records | Trimmed | StoreUnavailable:
        """Return the records from an offset on.

        Waits up to `wait` if there is no such record yet.
        """

    def append(
        self, topic: Topic, key: str, content: bytes | None
    ) -> StoreUnavailable | None:
        """Write a record; return None once the store has acknowledged it.

        If the store does not respond, the record may still have been written.
        """
