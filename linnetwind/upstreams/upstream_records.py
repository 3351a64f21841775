"""The recent statistics of upstreams; may be used from any thread."""

import threading
from collections.abc import Collection, Mapping
from dataclasses import replace
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_choice import (
    UpstreamStats,
    record_answer,
    record_connect_failure,
)
from linnetwind.upstreams.upstream_list import Upstream


class UpstreamRecords:
    """Records the answers of upstreams and the connections that failed."""

    def __init__(self, clock: Clock) -> None:
        """Start without statistics.

        Args:
          clock: The daemon's clock.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._stats: Mapping[UpstreamIncarnation, UpstreamStats] = {}

    @property
    def stats(self) -> Mapping[UpstreamIncarnation, UpstreamStats]:
        """Return the statistics by incarnation; the mapping never changes."""
        return self._stats

    def record_answer(
        self, upstream: Upstream, took: timedelta, *, failed: bool
    ) -> None:
        """Record the duration and outcome of an upstream's response.

        Args:
          upstream: The upstream.
          took: The time until the response.
          failed: Whether the response counts as a failure.
        """
        now = self._clock.elapsed()
        with self._lock:
            before = self._stats.get(upstream.life, UpstreamStats(now))
            self._update(
                upstream, record_answer(before, now, took, failed=failed)
            )

    def record_connect_failure(self, upstream: Upstream) -> None:
        """Record that a connection to an upstream failed.

        Args:
          upstream: The upstream.
        """
        now = self._clock.elapsed()
        with self._lock:
            before = self._stats.get(upstream.life, UpstreamStats(now))
            self._update(upstream, record_connect_failure(before, now))

    def clear_failures(self, upstream: Upstream) -> None:
        """Forget the share of failures of an upstream that has recovered.

        Args:
          upstream: The upstream.
        """
        with self._lock:
            before = self._stats.get(upstream.life)
            if before is not None:
                self._update(upstream, replace(before, failures=0))

    def keep_only(self, lives: Collection[UpstreamIncarnation]) -> None:
        """Discard the statistics of upstreams that are not registered.

        Otherwise an upstream that crashes again and again would use up the
        memory.

        Args:
          lives: The incarnations that are registered.
        """
        with self._lock:
            self._stats = {
                life: stats
                for life, stats in self._stats.items()
                if life in lives
            }

    def _update(self, upstream: Upstream, stats: UpstreamStats) -> None:
        self._stats = {**self._stats, upstream.life: stats}
