"""Follows a topic of the store, or peers' copies while it is unavailable."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from linnetwind.clock import Clock
from linnetwind.event_log import EventLog
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
from linnetwind.store_rate_limit import StoreRateLimit

# The longest wait before a retry while the store is unavailable. Each wait is
# a random part of it, so that the daemons do not all retry at once.
_RETRY_PAUSE_MS = 300
RETRY_PAUSE = timedelta(milliseconds=_RETRY_PAUSE_MS)


@dataclass(frozen=True, slots=True)
class TopicUpdate:
    """Records of a topic that were read in one go.

    `end` is the offset after the last record, in the store's `era`. `whole`
    is true if these are the newest records of all keys. `after_outage` is
    true if the store was unavailable before or was restored from an older
    copy. `source` says for the log whether a peer or the store sent them.
    `is_copy` is true if a peer did, whose copy may lack keys: an older daemon
    copies only the configuration.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    whole: bool
    after_outage: bool
    source: str
    era: int = 0
    is_copy: bool = False


class PeerRecords(Protocol):
    """Fetches the records that other daemons have read."""

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Return a peer's newest records of a topic."""


class RecordFollower:
    """Reads one topic repeatedly and passes each update to a callback."""

    def __init__(
        self,
        topic: Topic,
        store: RecordStore,
        peers: PeerRecords,
        on_update: Callable[[TopicUpdate], None],
        pace: Callable[[], StoreRateLimit],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Initialize without any records.

        Args:
          topic: The topic.
          store: The store.
          peers: Queried while the store does not respond.
          on_update: Called with each update.
          pace: Returns the current rate limit of reads from the store.
          clock: Measures the length of outages.
          log: Receives the start and end of each outage.
        """
        self._topic = topic
        self._name = f'store-{topic.value}'
        self._store = store
        self._peers = peers
        self._on_update = on_update
        self._pace = pace
        self._clock = clock
        self._log = log
        self._newest: dict[str, KeyedRecord] = {}
        self._position: Position | None = None
        self._needs_full_read = True
        self._unavailable_since: timedelta | None = None

    @property
    def is_unavailable(self) -> bool:
        """Return whether the store does not respond to this daemon."""
        return self._unavailable_since is not None

    def copy(self) -> Records | None:
        """Return the newest records known to this daemon, for a peer daemon."""
        if self._position is None:
            return None
        return Records(
            tuple(self._newest.values()),
            self._position.offset,
            self._position.era,
        )

    def poll_once(self) -> timedelta:
        """Read from the store once, or from a peer if that fails.

        Returns:
          How long to wait before the next read.
        """
        whole = self._needs_full_read or self.is_unavailable
        if whole:
            reply = self._store.newest(self._topic)
        else:
            wait = self._pace().wait
            start = self._position.offset
            reply = self._store.read(self._topic, start, wait)
        match reply:
            case Records() if not whole and reply.era != self._position.era:
                # The start offset belongs to another era. Records of the new
                # era below it have not been read, and the offsets alone
                # would not reveal the gap.
                self._needs_full_read = True
                return timedelta()
            case Records():
                self._apply_records(reply, whole=whole)
                return self._pace().interval
            case Trimmed():
                self._needs_full_read = True
                return timedelta()
            case StoreUnavailable(problem):
                self._record_outage(problem)
                self._fetch_from_peers()
        return RETRY_PAUSE * random.uniform(0.5, 1)

    def _apply_records(self, batch: Records, *, whole: bool) -> None:
        was_restored = self._position is not None and self._has_other_era(batch)
        after_outage = self.is_unavailable or was_restored
        if self._unavailable_since is not None:
            outage = self._clock.elapsed() - self._unavailable_since
            self._log.event(DependencyBack(self._name, outage))
            self._unavailable_since = None
        if was_restored:
            self._log.event(
                StoreCameBackOlder(self._name, batch.era, batch.end)
            )
        self._remember(batch, whole=whole)
        if batch.records or whole:
            self._notify(batch, whole=whole, after_outage=after_outage)

    def _has_other_era(self, batch: Records) -> bool:
        return batch.era != self._position.era

    def _notify(
        self,
        batch: Records,
        *,
        whole: bool,
        after_outage: bool,
        is_copy: bool = False,
    ) -> None:
        self._on_update(
            TopicUpdate(
                batch.records,
                batch.end,
                whole,
                after_outage,
                'peer' if is_copy else 'store',
                batch.era,
                is_copy,
            )
        )

    def _remember(self, batch: Records, *, whole: bool) -> None:
        newest = {} if whole else dict(self._newest)
        newest.update((record.key, record) for record in batch.records)
        self._newest = newest
        self._position = batch.position
        self._needs_full_read = False

    def _record_outage(self, problem: str) -> None:
        if self._unavailable_since is None:
            self._unavailable_since = self._clock.elapsed()
            self._log.event(DependencyLost(self._name, problem))

    def _fetch_from_peers(self) -> None:
        batch = self._peers.newest(self._topic)
        if not isinstance(batch, Records):
            return
        if self._position is None or batch.position > self._position:
            self._remember(batch, whole=True)
            self._notify(batch, whole=True, after_outage=True, is_copy=True)
