"""The port to the platform's store."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, Protocol

from msgspec import Meta


class Topic(enum.Enum):
    """What the store keeps a newest record of for each key."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    QUARANTINE = 'quarantine'


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """A place in a topic.

    Offsets are in order within one `era` only: a store that comes back from an
    older copy gives those that it lost out again, and its era rises.
    """

    era: int
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record; `content` is None if it drops the key."""

    key: str
    offset: Annotated[int, Meta(ge=0)]
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Records:
    """Records in the order of their offsets, and the offset after the last.

    `era` is 0 where the store states none.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the place after the last record."""
        return Position(self.era, self.end)


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The records asked for are deleted; the newest ones are to be read."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer, or refused."""

    problem: str


class RecordStore(Protocol):
    """Reads records of the store, and writes those of the gateways."""

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Return the newest record of each key."""

    def read(
        self, topic: Topic, start: int, wait: timedelta
    ) -> Records | Trimmed | StoreUnavailable:
        """Return the records from an offset on, waiting for the first."""

    def append(
        self, topic: Topic, key: str, content: bytes | None
    ) -> StoreUnavailable | None:
        """Write a record; return None once the store has it.

        Without an answer it may still be written.
        """
