"""This daemon's part of the requests that cold upstreams may be sent."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.cold_allowance import WINDOW, ColdBound
from linnetwind.upstreams.fleet_tracker import FleetTracker
from linnetwind.upstreams.limit_share import window_quota


@dataclass(frozen=True, slots=True)
class ColdSettings:
    """The bound for cold upstreams.

    `peer_timeout` returns the time after which a silent peer counts as gone.
    """

    bound: ColdBound
    peer_timeout: Callable[[], timedelta]


class ColdQuotas:
    """Divides the bound among all daemons; thread-safe."""

    def __init__(self, settings: ColdSettings, fleet: FleetTracker) -> None:
        """Start without quotas.

        Args:
          settings: The bound.
          fleet: The daemons that divide the bound.
        """
        self._settings = settings
        self._fleet = fleet
        self._lock = threading.Lock()
        self._names = fleet.names
        self._settled = not settings.bound.has_peers
        self._quotas: dict[tuple[UpstreamIncarnation, float], int] = {}

    @property
    def are_limited(self) -> bool:
        """Return whether requests to cold upstreams are limited."""
        return self._settings.bound.tolerance is not None

    def unsettled_for(self, now: timedelta) -> timedelta:
        """Return how long this daemon waits until it knows the others.

        A daemon that has just started may know few of them, and they may not
        count it yet. It sends nothing to cold upstreams until no more of them
        become known for a time.

        Args:
          now: The monotonic time.

        Returns:
          The time; zero if it may send its quota.
        """
        if self._settled:
            return timedelta()
        delay = max(WINDOW, self._settings.peer_timeout())
        left = self._fleet.grown_at + delay - now
        if left <= timedelta():
            self._settled = self._fleet.hears_peers
        return max(left, timedelta())

    def quota(self, life: UpstreamIncarnation, per_s: float) -> int:
        """Return the requests that this daemon may send within the window.

        Args:
          life: The cold upstream's incarnation.
          per_s: The requests a second that it handles while cold.

        Returns:
          The number of requests within any `WINDOW`.
        """
        if not self._settled:
            # It hears none of its peers, so it cannot know how many they are.
            return 1
        quota = self._quotas.get((life, per_s))
        if quota is None or self._fleet.names is not self._names:
            quota = self._divide(life, per_s)
        return quota

    def keep_only(self, lives: Iterable[UpstreamIncarnation]) -> None:
        """Discard the quotas of upstreams that are not registered any more.

        Args:
          lives: The incarnations that are registered.
        """
        known = set(lives)
        with self._lock:
            self._quotas = {
                key: each
                for key, each in self._quotas.items()
                if key[0] in known
            }

    def _divide(self, life: UpstreamIncarnation, per_s: float) -> int:
        most = self._settings.bound.tolerance.to_divide(per_s)
        with self._lock:
            if self._fleet.names is not self._names:
                self._names = self._fleet.names
                self._quotas.clear()
            quota = window_quota(life, most, self._fleet.own, self._names)
            self._quotas[(life, per_s)] = quota
        return quota
