"""Keeps in the store which requests are in quarantine.

No host has a disk. When all gateways lose power at once, nobody is left who
could tell the next processes, and the request would crash as many upstreams
again.
"""

import queue
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Ok

from linnetwind.clock import Clock
from linnetwind.codec import Codec
from linnetwind.crashes import Crashes
from linnetwind.fingerprint import Fingerprint
from linnetwind.gateway_events import (
    BadRecord,
    DependencyBack,
    DependencyLost,
    QuarantineRestored,
)
from linnetwind.lives import LifeTag
from linnetwind.record_follower import RETRY_PAUSE
from linnetwind.record_store import (
    KeyedRecord,
    RecordStore,
    StoreUnavailable,
    Topic,
)
from linnetwind.step_log import StepLog

# How often it is looked whether the store has lost records, and whether the
# time of some is over.
LOOK = timedelta(seconds=1)
_NAME = 'store-quarantine'


@dataclass(frozen=True, slots=True)
class Quarantined:
    """What the store keeps of a request: who crashed under it, in order."""

    lives: tuple[LifeTag, ...]


_CODEC = Codec((Quarantined,))


class QuarantineKeeper:
    """Restores quarantines at the start, then writes those begun here."""

    def __init__(
        self,
        store: RecordStore,
        crashes: Crashes,
        leads: Callable[[], bool],
        era: Callable[[], int],
        clock: Clock,
        log: StepLog,
        look: timedelta = LOOK,
    ) -> None:
        """Start with nothing read.

        Args:
          store: A connection to the store for this alone.
          crashes: The daemon's book.
          leads: Whether this daemon drops records whose time is over, and
            writes again those of daemons that are gone.
          era: Returns the store's era, which rises when it loses records.
          clock: For outages.
          log: Told of outages and of what was restored.
          look: How long a round waits for something to write.
        """
        self._look = look
        self._store = store
        self._crashes = crashes
        self._leads = leads
        self._store_era = era
        self._era = 0
        self._clock = clock
        self._log = log
        self._away_since: timedelta | None = None
        self._has_read = False
        self._new: queue.SimpleQueue[Fingerprint] = queue.SimpleQueue()
        # What is to be written goes first and stays until the store has it.
        self._unwritten: Fingerprint | None = None
        self._written: set[Fingerprint] = set()
        self._restored: set[Fingerprint] = set()

    @property
    def has_read(self) -> bool:
        """Return whether the quarantines of before are known here."""
        return self._has_read

    def keep(self, request: Fingerprint) -> None:
        """Have a quarantine written.

        Args:
          request: A request under which an upstream crashed here.
        """
        self._new.put(request)

    def keep_once(self) -> timedelta:
        """Read or write once; wait while there is nothing to do.

        Returns:
          How long to wait before the next round.
        """
        if not self._has_read:
            return self._restore()
        self._write_again()
        if self._unwritten is None:
            self._unwritten = self._next_new()
        if self._unwritten is None:
            return self._drop_one()
        return self._write(self._unwritten)

    def _write_again(self) -> None:
        """Have written again what the store lost, by coming back older."""
        era = self._store_era()
        if era <= self._era:
            return
        self._era = era
        leads = self._leads()
        for request in self._crashes.quarantined():
            if leads or request in self._written:
                self._new.put(request)

    def _next_new(self) -> Fingerprint | None:
        try:
            return self._new.get(timeout=self._look.total_seconds())
        except queue.Empty:
            return None

    def _restore(self) -> timedelta:
        found = self._store.newest(Topic.QUARANTINE)
        if isinstance(found, StoreUnavailable):
            return self._wait_for_store(found)
        self._note_back()
        for record in found.records:
            self._restore_one(record)
        self._has_read = True
        self._era = found.era
        return timedelta()

    def _restore_one(self, record: KeyedRecord) -> None:
        decoded = _CODEC.decode(record.content or b'')
        if not isinstance(decoded, Ok):
            problem = decoded.err_value.describe()
            topic = Topic.QUARANTINE.value
            self._log.event(
                BadRecord(topic, record.key, record.offset, '', problem)
            )
            return
        request = Fingerprint(record.key)
        self._crashes.restore(request, decoded.ok_value.lives)
        self._restored.add(request)
        self._log.event(
            QuarantineRestored(request, len(decoded.ok_value.lives))
        )

    def _write(self, request: Fingerprint) -> timedelta:
        content = _CODEC.encode(Quarantined(self._crashes.lives(request)))
        failed = self._store.append(Topic.QUARANTINE, request, content)
        if failed is not None:
            return self._wait_for_store(failed)
        self._note_back()
        self._written.add(request)
        self._unwritten = None
        return timedelta()

    def _drop_one(self) -> timedelta:
        """Drop a record whose quarantine is over, so that none stay for ever.

        Only the leader does, so that hundreds of daemons do not write at once.
        """
        self._crashes.forget()
        over = [
            request
            for request in self._written | self._restored
            if not self._crashes.lives(request)
        ]
        if over and self._leads():
            failed = self._store.append(Topic.QUARANTINE, over[0], None)
            if failed is None:
                self._written.discard(over[0])
                self._restored.discard(over[0])
        return timedelta()

    def _wait_for_store(self, failed: StoreUnavailable) -> timedelta:
        if self._away_since is None:
            self._away_since = self._clock.elapsed()
            self._log.event(DependencyLost(_NAME, failed.problem))
        return RETRY_PAUSE * random.uniform(0.5, 1)

    def _note_back(self) -> None:
        if self._away_since is not None:
            away = self._clock.elapsed() - self._away_since
            self._log.event(DependencyBack(_NAME, away))
            self._away_since = None
