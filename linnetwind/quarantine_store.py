"""Persists quarantines of requests and prompt parts in the record store.

Hosts have no disks. When all gateways lose power at once, no process is left
that could advertise the quarantines to the restarted gateways, and the same
requests would crash as many upstreams again.
"""

import queue
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Ok

from linnetwind.clock import Clock
from linnetwind.codec import Codec
from linnetwind.crash_tracker import CrashTracker
from linnetwind.event_log import EventLog
from linnetwind.fingerprint import Fingerprint
from linnetwind.gateway_events import (
    BadRecord,
    DependencyBack,
    DependencyLost,
    QuarantineRestored,
)
from linnetwind.prompt_events import PromptQuarantineRestored
from linnetwind.prompt_parts import PromptPart
from linnetwind.record_follower import RETRY_PAUSE
from linnetwind.record_store import (
    KeyedRecord,
    RecordStore,
    StoreUnavailable,
    Topic,
)
from linnetwind.upstream_incarnation import IncarnationTag
from linnetwind.upstreams.prompt_quarantines import PromptQuarantines

# How often a round checks whether the store has lost records and whether
# quarantines have ended.
QUARANTINE_POLL_INTERVAL = timedelta(seconds=1)
_NAME = 'store-quarantine'


@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """The stored record of a quarantined request.

    `incarnations` are the tags of the upstreams that crashed under it, in the
    order of their crashes.
    """

    incarnations: tuple[IncarnationTag, ...]


@dataclass(frozen=True, slots=True)
class PromptQuarantineRecord:
    """The stored record of prompt parts that crash upstreams.

    `rounds` counts the quarantines of these parts that followed on each other,
    `is_trial` says that they were decided soon after a start.
    """

    parts: tuple[PromptPart, ...]
    rounds: int
    is_trial: bool = False


@dataclass(frozen=True, slots=True)
class Quarantines:
    """The quarantines that a daemon knows, of requests and of prompt parts."""

    crashes: CrashTracker
    prompts: PromptQuarantines


_CODEC = Codec((QuarantineRecord, PromptQuarantineRecord))


class QuarantineStore:
    """Restores stored quarantines at startup, then stores new ones."""

    def __init__(
        self,
        store: RecordStore,
        quarantines: Quarantines,
        leads: Callable[[], bool],
        era: Callable[[], int],
        clock: Clock,
        log: EventLog,
        poll_interval: timedelta = QUARANTINE_POLL_INTERVAL,
    ) -> None:
        """Start before the stored quarantines have been read.

        Args:
          store: A connection to the store that nothing else uses.
          quarantines: The quarantines that this daemon knows.
          leads: Returns whether this daemon is the leader, which writes the
            records of prompt parts, deletes expired records and rewrites lost
            records of stopped daemons.
          era: Returns the store's era, which rises when it loses records.
          clock: Measures outages of the store.
          log: Receives outages of the store and restored quarantines.
          poll_interval: How long a round waits for a quarantine to write.
        """
        self._poll_interval = poll_interval
        self._store = store
        self._crashes = quarantines.crashes
        self._prompts = quarantines.prompts
        self._leads = leads
        self._store_era = era
        self._known_era = 0
        self._clock = clock
        self._log = log
        self._unavailable_since: timedelta | None = None
        self._has_restored = False
        self._queue: queue.SimpleQueue[Fingerprint] = queue.SimpleQueue()
        # Retried before anything else until the store has confirmed it.
        self._unwritten: Fingerprint | None = None
        self._written: set[Fingerprint] = set()
        self._restored: set[Fingerprint] = set()

    @property
    def has_restored(self) -> bool:
        """Return whether the stored quarantines have been restored."""
        return self._has_restored

    def persist(self, request: Fingerprint) -> None:
        """Queue a request to be written to the store.

        Args:
          request: The fingerprint of a request under which an upstream crashed
            here.
        """
        self._queue.put(request)

    def run_round(self) -> timedelta:
        """Run one round: restore, write or delete records.

        Waits for up to the poll interval if there is nothing to write.

        Returns:
          How long to wait before the next round.
        """
        if not self._has_restored:
            return self._restore()
        self._requeue_lost()
        self._queue_prompts()
        if self._unwritten is None:
            self._unwritten = self._next_queued()
        if self._unwritten is None:
            return self._delete_one_expired()
        return self._write(self._unwritten)

    def _requeue_lost(self) -> None:
        """Queue the records that the store lost when it restored old data."""
        era = self._store_era()
        if era <= self._known_era:
            return
        self._known_era = era
        leads = self._leads()
        for request in (
            *self._crashes.quarantined(),
            *self._prompts.in_force(),
        ):
            if leads or request in self._written:
                self._queue.put(request)

    def _queue_prompts(self) -> None:
        """Queue the quarantines of prompt parts that are not stored.

        Daemons at which the crashes were not detected decide on them as well.
        Only the leader writes these, so that not all daemons write at once.
        """
        if not self._prompts.count or not self._leads():
            return
        stored = self._written | self._restored
        for parts in self._prompts.in_force().keys() - stored:
            # Known as written from now on; a failed write is retried.
            self._written.add(parts)
            self._queue.put(parts)

    def _next_queued(self) -> Fingerprint | None:
        try:
            return self._queue.get(timeout=self._poll_interval.total_seconds())
        except queue.Empty:
            return None

    def _restore(self) -> timedelta:
        found = self._store.newest(Topic.QUARANTINE)
        if isinstance(found, StoreUnavailable):
            return self._retry_later(found)
        self._record_recovery()
        for record in found.records:
            self._restore_record(record)
        self._has_restored = True
        self._known_era = found.era
        return timedelta()

    def _restore_record(self, record: KeyedRecord) -> None:
        decoded = _CODEC.decode(record.content or b'')
        if not isinstance(decoded, Ok):
            problem = decoded.err_value.describe()
            topic = Topic.QUARANTINE.value
            self._log.event(
                BadRecord(topic, record.key, record.offset, '', problem)
            )
            return
        request = Fingerprint(record.key)
        self._restored.add(request)
        match decoded.ok_value:
            case QuarantineRecord(incarnations):
                self._crashes.restore(request, incarnations)
                self._log.event(QuarantineRestored(request, len(incarnations)))
            case PromptQuarantineRecord(parts, rounds, is_trial):
                self._prompts.restore(parts, rounds, is_trial=is_trial)
                self._log.event(PromptQuarantineRestored(parts, rounds))

    def _write(self, request: Fingerprint) -> timedelta:
        content = _CODEC.encode(self._record_of(request))
        failed = self._store.append(Topic.QUARANTINE, request, content)
        if failed is not None:
            return self._retry_later(failed)
        self._record_recovery()
        self._written.add(request)
        self._unwritten = None
        return timedelta()

    def _record_of(
        self, request: Fingerprint
    ) -> QuarantineRecord | PromptQuarantineRecord:
        prompt = self._prompts.in_force().get(request)
        if prompt is not None:
            return PromptQuarantineRecord(
                tuple(sorted(prompt.parts)), prompt.rounds, prompt.is_trial
            )
        return QuarantineRecord(self._crashes.crashed_incarnations(request))

    def _delete_one_expired(self) -> timedelta:
        """Delete one record whose quarantine expired.

        Otherwise records would pile up in the store. Only the leader deletes
        them, so that hundreds of daemons do not write at once.
        """
        self._crashes.discard_expired()
        prompts = self._prompts.in_force()
        expired = [
            request
            for request in self._written | self._restored
            if request not in prompts
            and not self._crashes.crashed_incarnations(request)
        ]
        if expired and self._leads():
            failed = self._store.append(Topic.QUARANTINE, expired[0], None)
            if failed is None:
                self._written.discard(expired[0])
                self._restored.discard(expired[0])
        return timedelta()

    def _retry_later(self, failed: StoreUnavailable) -> timedelta:
        if self._unavailable_since is None:
            self._unavailable_since = self._clock.elapsed()
            self._log.event(DependencyLost(_NAME, failed.problem))
        return RETRY_PAUSE * random.uniform(0.5, 1)

    def _record_recovery(self) -> None:
        if self._unavailable_since is not None:
            outage = self._clock.elapsed() - self._unavailable_since
            self._log.event(DependencyBack(_NAME, outage))
            self._unavailable_since = None
