"""Keeps up with a topic of the store, from peers while the store is away."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from linnetwind.clock import Clock
from linnetwind.gateway_events import (
    DependencyBack,
    DependencyLost,
    StoreCameBackOlder,
)
from linnetwind.record_store import (
    KeyedRecord,
    Position,
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
    that the store was away before, or came back older; `source` is for the
    log, `era` that of the offsets.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    whole: bool
    after_outage: bool
    source: str
    era: int = 0


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
        self._position: Position | None = None
        self._reads_whole = True
        self._away_since: timedelta | None = None

    @property
    def is_away(self) -> bool:
        """Return whether the store does not answer this daemon."""
        return self._away_since is not None

    def copy(self) -> Records | None:
        """Return the newest records that are known here, for a peer."""
        if self._position is None:
            return None
        return Records(
            tuple(self._newest.values()),
            self._position.offset,
            self._position.era,
        )

    def follow_once(self) -> timedelta:
        """Read once.

        Returns:
          How long to wait before the next reading.
        """
        whole = self._reads_whole or self.is_away
        if whole:
            found = self._store.newest(self._topic)
        else:
            wait = self._pace().wait
            start = self._position.offset
            found = self._store.read(self._topic, start, wait)
        match found:
            case Records() if not whole and found.era != self._position.era:
                # The offset is the next one of another era. What that has
                # below it was never read here, and nothing would show it.
                self._reads_whole = True
                return timedelta()
            case Records():
                self._take_news(found, whole=whole)
                return self._pace().rest
            case Trimmed():
                self._reads_whole = True
                return timedelta()
            case StoreUnavailable(problem):
                self._note_away(problem)
                self._ask_peers()
        return RETRY_PAUSE * random.uniform(0.5, 1)

    def _take_news(self, found: Records, *, whole: bool) -> None:
        is_older = self._position is not None and self._is_new_era(found)
        after_outage = self.is_away or is_older
        if self._away_since is not None:
            away = self._clock.elapsed() - self._away_since
            self._log.event(DependencyBack(self._name, away))
            self._away_since = None
        if is_older:
            self._log.event(
                StoreCameBackOlder(self._name, found.era, found.end)
            )
        self._keep(found, whole=whole)
        if found.records or whole:
            self._tell(found, whole=whole, after_outage=after_outage)

    def _is_new_era(self, found: Records) -> bool:
        return found.era != self._position.era

    def _tell(
        self,
        found: Records,
        *,
        whole: bool,
        after_outage: bool,
        source: str = 'store',
    ) -> None:
        self._take(
            News(
                found.records,
                found.end,
                whole,
                after_outage,
                source,
                found.era,
            )
        )

    def _keep(self, found: Records, *, whole: bool) -> None:
        newest = {} if whole else dict(self._newest)
        newest.update((each.key, each) for each in found.records)
        self._newest = newest
        self._position = found.position
        self._reads_whole = False

    def _note_away(self, problem: str) -> None:
        if self._away_since is None:
            self._away_since = self._clock.elapsed()
            self._log.event(DependencyLost(self._name, problem))

    def _ask_peers(self) -> None:
        found = self._peers.newest(self._topic)
        if not isinstance(found, Records):
            return
        if self._position is None or found.position > self._position:
            self._keep(found, whole=True)
            self._tell(found, whole=True, after_outage=True, source='peer')
