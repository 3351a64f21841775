"""Keeping a process's configuration up to date from the log.

The follower polls the configuration stream, folds what is new and tells its
listeners. It takes a neighbour's copy when that has folded more, so that a
host which starts during a log outage, or is cut off from the log alone,
still gets what is in force.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from loguru import logger
from result import Err, Ok, Result

from linnetwind.background import guarded
from linnetwind.clock import Clock
from linnetwind.config_fold import (
    CONFIG_CODEC,
    CONFIG_STREAM,
    ConfigState,
    Expired,
    Snapshot,
    decode_state,
    encode_state,
    fold,
    make_snapshot,
    newer,
    rebuild,
)
from linnetwind.errors import LogUnavailable
from linnetwind.log_port import LogPort, Page, read_to_end

Listener = Callable[[ConfigState], None]

_JITTER = 0.1
_SNAPSHOT_SPREAD = 0.5


class Follower:
    """The configuration in force, as this process knows it."""

    def __init__(
        self,
        log: LogPort,
        clock: Clock,
        snapshot_every: timedelta,
        rng: random.Random,
    ) -> None:
        """Start without a configuration.

        Args:
          log: The log service.
          clock: For the age of the newest snapshot.
          snapshot_every: How old the newest snapshot may get.
          rng: Spreads snapshots and polls of many processes.
        """
        self._log = log
        self._clock = clock
        self._rng = rng
        # Every daemon may write snapshots, so none has to be elected. The
        # spread keeps hundreds of them from writing at the same time: the
        # first one's snapshot is seen by the others within a poll.
        spread = 1 + _SNAPSHOT_SPREAD * rng.random()
        self._snapshot_every = snapshot_every * spread
        self._snapshot_seen = clock.elapsed()
        self._state = ConfigState()
        self._listeners: list[Listener] = []
        self._lock = threading.RLock()
        self._stopped = threading.Event()

    @property
    def state(self) -> ConfigState:
        """Return the state after the latest poll."""
        return self._state

    def copy(self) -> bytes:
        """Return the state for a neighbour."""
        return encode_state(self._state)

    def listen(self, listener: Listener) -> None:
        """Call a function with each new state, and now.

        Args:
          listener: Called on the polling thread; must not block.
        """
        with self._lock:
            self._listeners.append(listener)
            listener(self._state)

    def poll(self) -> Result[None, LogUnavailable | Expired]:
        """Read and fold what is new in the log.

        Returns:
          Nothing, or why the state may be behind.
        """
        with self._lock:
            start = self._state.next_offset
            match read_to_end(self._log, CONFIG_STREAM, start):
                case Ok(page):
                    return self._take_page(page)
                case Err() as failed:
                    return failed

    def adopt(self, copy: bytes) -> None:
        """Take a neighbour's copy if it has folded more.

        Args:
          copy: What the neighbour's `copy` gave.
        """
        match decode_state(copy):
            case Ok(state):
                with self._lock:
                    self._replace(newer(self._state, state))
            case Err(bad):
                logger.warning('neighbour sent {}', bad.describe())

    def run(self, interval: timedelta) -> None:
        """Poll until stopped.

        Args:
          interval: The time between polls; each wait is spread around it.
        """
        while not self._stopped.is_set():
            guarded(self._round)
            spread = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            self._stopped.wait(interval.total_seconds() * spread)

    def stop(self) -> None:
        """End `run` after its current poll."""
        self._stopped.set()

    def _round(self) -> None:
        outcome = self.poll()
        if outcome.is_err():
            problem = outcome.unwrap_err().describe()
            logger.warning('configuration not refreshed: {}', problem)
        else:
            self._keep_snapshot()

    def _take_page(self, page: Page) -> Result[None, Expired]:
        if page.first > self._state.next_offset:
            # Records expired unseen, as after a long pause. What they held
            # can only be had from a snapshot that covers them.
            rebuilt = rebuild(page)
            if rebuilt.is_err():
                return rebuilt
            self._replace(newer(self._state, rebuilt.unwrap()))
            return Ok(None)
        state = self._state
        for entry in page.entries:
            state, verdict = fold(state, entry)
            if verdict is not None:
                logger.info('publish at {}: {}', entry.offset, verdict)
            self._note_snapshot(entry.record)
        self._replace(state)
        return Ok(None)

    def _note_snapshot(self, record: bytes) -> None:
        found = CONFIG_CODEC.decode(record).unwrap_or(None)
        if isinstance(found, Snapshot):
            self._snapshot_seen = self._clock.elapsed()

    def _replace(self, state: ConfigState) -> None:
        if state.next_offset <= self._state.next_offset:
            return
        changed = state.revision != self._state.revision
        if not changed:
            # The deployment stays the same object for who compares it.
            state = replace(state, deployment=self._state.deployment)
        self._state = state
        if changed:
            for listener in self._listeners:
                listener(state)

    def _keep_snapshot(self) -> None:
        age = self._clock.elapsed() - self._snapshot_seen
        if self._state.revision == 0 or age < self._snapshot_every:
            return
        record = CONFIG_CODEC.encode(make_snapshot(self._state))
        match self._log.append(CONFIG_STREAM, [record]):
            case Ok(offset):
                self._snapshot_seen = self._clock.elapsed()
                logger.info('snapshot appended at {}', offset)
            case Err(failed):
                logger.warning('no snapshot: {}', failed.describe())
