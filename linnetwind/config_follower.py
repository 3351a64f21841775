"""Keeps a process's configuration up to date from the log.

The follower polls the configuration stream, folds new records into its state
and notifies its listeners of changes. It adopts the state of a peer daemon if
that state is newer. A host that starts during a log outage, or that alone
cannot reach the log, thus still gets the configuration in force.
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


class ConfigFollower:
    """Follows the configuration stream and holds the resulting state."""

    def __init__(
        self,
        log: LogPort,
        clock: Clock,
        snapshot_every: timedelta,
        rng: random.Random,
    ) -> None:
        """Initialize without a configuration.

        Args:
          log: The log service.
          clock: Measures the age of the newest snapshot.
          snapshot_every: The age at which the newest snapshot is replaced.
          rng: Spreads the snapshots and polls of many processes over time.
        """
        self._log = log
        self._clock = clock
        self._rng = rng
        # Every daemon may write snapshots, so no writer has to be elected. The
        # random spread prevents hundreds of daemons from writing at the same
        # time: within one poll the others see the first daemon's snapshot and
        # do not write their own.
        spread = 1 + _SNAPSHOT_SPREAD * rng.random()
        self._snapshot_every = snapshot_every * spread
        self._last_snapshot_at = clock.elapsed()
        self._state = ConfigState()
        self._listeners: list[Listener] = []
        self._lock = threading.RLock()
        self._stopped = threading.Event()

    @property
    def state(self) -> ConfigState:
        """Return the state after the latest poll."""
        return self._state

    def copy(self) -> bytes:
        """Return the state, encoded for a peer daemon."""
        return encode_state(self._state)

    def listen(self, listener: Listener) -> None:
        """Call a function with the current state and with each new one.

        Args:
          listener: Called on the polling thread, so it must not block.
        """
        with self._lock:
            self._listeners.append(listener)
            listener(self._state)

    def poll(self) -> Result[None, LogUnavailable | Expired]:
        """Read the new records of the log and fold them into the state.

        Returns:
          Nothing, or the reason why the state may be out of date.
        """
        with self._lock:
            start = self._state.next_offset
            match read_to_end(self._log, CONFIG_STREAM, start):
                case Ok(page):
                    return self._fold_page(page)
                case Err() as failed:
                    return failed

    def adopt(self, copy: bytes) -> None:
        """Adopt a peer daemon's state if it has folded more records.

        Args:
          copy: The result of the peer's `copy`.
        """
        match decode_state(copy):
            case Ok(state):
                with self._lock:
                    self._replace(newer(self._state, state))
            case Err(bad):
                logger.warning(
                    'peer daemon sent an invalid state: {}', bad.describe()
                )

    def run(self, interval: timedelta) -> None:
        """Poll until stopped.

        Args:
          interval: The mean time between polls; each wait is randomized.
        """
        while not self._stopped.is_set():
            guarded(self._poll_and_snapshot)
            jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            self._stopped.wait(interval.total_seconds() * jitter)

    def stop(self) -> None:
        """End `run` after its current poll."""
        self._stopped.set()

    def _poll_and_snapshot(self) -> None:
        outcome = self.poll()
        if outcome.is_err():
            problem = outcome.unwrap_err().describe()
            logger.warning('configuration not refreshed: {}', problem)
        else:
            self._append_snapshot_if_due()

    def _fold_page(self, page: Page) -> Result[None, Expired]:
        if page.first > self._state.next_offset:
            # Records expired before this process read them, for example during
            # a long pause. Only a snapshot that covers them can replace them.
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
            self._record_if_snapshot(entry.record)
        self._replace(state)
        return Ok(None)

    def _record_if_snapshot(self, record: bytes) -> None:
        message = CONFIG_CODEC.decode(record).unwrap_or(None)
        if isinstance(message, Snapshot):
            self._last_snapshot_at = self._clock.elapsed()

    def _replace(self, state: ConfigState) -> None:
        if state.next_offset <= self._state.next_offset:
            return
        changed = state.revision != self._state.revision
        if not changed:
            # Keep the same deployment object, so that readers can compare
            # deployments by identity.
            state = replace(state, deployment=self._state.deployment)
        self._state = state
        if changed:
            for listener in self._listeners:
                listener(state)

    def _append_snapshot_if_due(self) -> None:
        age = self._clock.elapsed() - self._last_snapshot_at
        if self._state.revision == 0 or age < self._snapshot_every:
            return
        record = CONFIG_CODEC.encode(make_snapshot(self._state))
        match self._log.append(CONFIG_STREAM, [record]):
            case Ok(offset):
                self._last_snapshot_at = self._clock.elapsed()
                logger.info('snapshot appended at {}', offset)
            case Err(failed):
                logger.warning('cannot append snapshot: {}', failed.describe())
