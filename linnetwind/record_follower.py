"""Keeps up with a topic of the store, from peers while the store is away."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from linnetwind.clock import Clock
from linnetwind.gateway_events import DependencyBack, DependencyLost
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    RecordStore,
    StoreUnavailable,
    Topic,
    Trimmed,
)
from linnetwind.step_log import StepLog
from linnetwind.store_pace import StorePace

# The pause between two tries while the store is away, at random within this,
# so that all daemons do not return to it together.
_RETRY_PAUSE_MS = 300
RETRY_PAUSE = timedelta(milliseconds=_RETRY_PAUSE_MS)


@dataclass(frozen=True, slots=True)
class News:
    """Records that were read.

    `whole` says that these are the newest records of all keys, `after_outage`
    that the store was away before; `source` is for the log.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    whole: bool
    after_outage: bool
    source: str


class PeerCopies(Protocol):
    """Asks other daemons for what they have read."""

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Return a peer's newest records of a topic."""


class RecordFollower:
    """Reads one topic for ever and hands on what is new."""

    def __init__(
        self,
        topic: Topic,
        store: RecordStore,
        peers: PeerCopies,
        take: Callable[[News], None],
        pace: Callable[[], StorePace],
        clock: Clock,
        log: StepLog,
    ) -> None:
        """Start with nothing read.

        Args:
          topic: The topic.
          store: The store.
          peers: Asked while the store does not answer.
          take: Given what is read.
          pace: Returns how often to read, which bounds the calls.
          clock: For outages.
          log: Told of outages.
        """
        self._topic = topic
        self._name = f'store-{topic.value}'
        self._store = store
        self._peers = peers
        self._take = take
        self._pace = pace
        self._clock = clock
        self._log = log
        self._newest: dict[str, KeyedRecord] = {}
        self._end: int | None = None
        self._away_since: timedelta | None = None

    @property
    def is_away(self) -> bool:
        """Return whether the store does not answer this daemon."""
        return self._away_since is not None

    def copy(self) -> Records | None:
        """Return the newest records that are known here, for a peer."""
        if self._end is None:
            return None
        return Records(tuple(self._newest.values()), self._end)

    def follow_once(self) -> timedelta:
        """Read once.

        Returns:
          How long to wait before the next reading.
        """
        whole = self._end is None or self.is_away
        if whole:
            found = self._store.newest(self._topic)
        else:
            wait = self._pace().wait
            found = self._store.read(self._topic, self._end, wait)
        match found:
            case Records(records, end):
                self._take_news(records, end, whole=whole)
                return self._pace().rest
            case Trimmed():
                self._end = None
                return timedelta()
            case StoreUnavailable(problem):
                self._note_away(problem)
                self._ask_peers()
        return RETRY_PAUSE * random.uniform(0.5, 1)

    def _take_news(
        self, records: tuple[KeyedRecord, ...], end: int, *, whole: bool
    ) -> None:
        after_outage = self.is_away
        if self._away_since is not None:
            away = self._clock.elapsed() - self._away_since
            self._log.event(DependencyBack(self._name, away))
            self._away_since = None
        self._keep(records, end, whole=whole)
        if records or whole:
            self._take(News(records, end, whole, after_outage, 'store'))

    def _keep(
        self, records: tuple[KeyedRecord, ...], end: int, *, whole: bool
    ) -> None:
        newest = {} if whole else dict(self._newest)
        newest.update((each.key, each) for each in records)
        self._newest = newest
        self._end = end

    def _note_away(self, problem: str) -> None:
        if self._away_since is None:
            self._away_since = self._clock.elapsed()
            self._log.event(DependencyLost(self._name, problem))

    def _ask_peers(self) -> None:
        found = self._peers.newest(self._topic)
        if isinstance(found, Records):
            if self._end is None or found.end > self._end:
                self._keep(found.records, found.end, whole=True)
                self._take(News(found.records, found.end, True, True, 'peer'))
