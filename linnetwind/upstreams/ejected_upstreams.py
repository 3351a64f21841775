"""The upstreams that this daemon has ejected; may be used from any thread."""

import threading
from collections.abc import Collection, Iterable
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.outlier_ejection import (
    NO_HEALTHS,
    Answer,
    Healths,
    begin_probe,
    ejected_upstreams,
    observe_answer,
)
from linnetwind.upstreams.upstream_list import Upstream


class EjectedUpstreams:
    """Records the answers of plain upstreams and ejects outliers."""

    def __init__(self, clock: Clock) -> None:
        """Start without records.

        Args:
          clock: The daemon's clock.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._healths: Healths = NO_HEALTHS

    def record_answer(
        self,
        upstream: Upstream,
        members: Iterable[Upstream],
        sent_at: timedelta,
        *,
        bad: bool,
    ) -> None:
        """Record an answer of an upstream.

        Args:
          upstream: The upstream.
          members: The upstreams of its service that accept requests.
          sent_at: The monotonic time at which the request was sent.
          bad: Whether the request was refused or failed.
        """
        now = self._clock.elapsed()
        lives = [each.life for each in members]
        # The answer of an incarnation that left says nothing about the others.
        if upstream.life not in lives:
            return
        with self._lock:
            self._healths = observe_answer(
                self._healths, lives, upstream.life, Answer(sent_at, bad), now
            )

    def ejected(
        self, members: Iterable[Upstream]
    ) -> frozenset[UpstreamIncarnation]:
        """Return the upstreams that get no requests now.

        Args:
          members: The upstreams of a service that accept requests.

        Returns:
          The incarnations, at most half of the members.
        """
        lives = [each.life for each in members]
        return ejected_upstreams(self._healths, lives, self._clock.elapsed())

    def count_sent(self, upstream: Upstream) -> None:
        """Record that a request is sent, which may be a probe.

        Args:
          upstream: The upstream that gets the request.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._healths = begin_probe(self._healths, upstream.life, now)

    def keep_only(self, lives: Collection[UpstreamIncarnation]) -> None:
        """Discard the records of upstreams that are not registered.

        Args:
          lives: The incarnations that are registered.
        """
        with self._lock:
            self._healths = {
                life: health
                for life, health in self._healths.items()
                if life in lives
            }
