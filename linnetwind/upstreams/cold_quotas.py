"""This daemon's part of the requests that cold upstreams may be sent."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.cold_allowance import WINDOW, ColdBound
from linnetwind.upstreams.fleet_members import FleetMembers
from linnetwind.upstreams.limit_share import window_quota

_EXPIRY_CHECK_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class ColdSettings:
    """The bound for cold upstreams and this daemon's place in the fleet.

    `own` is the address of this daemon. `peer_timeout` returns the time after
    which a silent peer counts as gone, and `unlisted_after` is the time after
    which peers no longer list it.
    """

    bound: ColdBound
    own: Address
    peer_timeout: Callable[[], timedelta]
    unlisted_after: timedelta = timedelta()


class ColdQuotas:
    """Divides the bound among all daemons; thread-safe."""

    def __init__(self, settings: ColdSettings, clock: Clock) -> None:
        """Start without peers.

        Args:
          settings: The bound, and this daemon's place in the fleet.
          clock: The clock, for the time since peers were heard.
        """
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._members = FleetMembers(settings.own, clock.elapsed())
        self._names = self._members.names()
        self._checked_at = timedelta()
        self._settled = not settings.bound.has_peers
        self._quotas: dict[tuple[UpstreamIncarnation, float], int] = {}

    @property
    def are_limited(self) -> bool:
        """Return whether requests to cold upstreams are limited."""
        return self._settings.bound.tolerance is not None

    def hear_peer(
        self, peer: Address, listed: Iterable[Address], *, leaving: bool
    ) -> None:
        """Count the daemons that a peer's state names.

        Args:
          peer: The peer's address.
          listed: The addresses of daemons that it knows.
          leaving: Whether the peer is shutting down.
        """
        if not self.are_limited:
            return
        now = self._clock.elapsed()
        with self._lock:
            before = self._members
            self._members = before.hear(peer, listed, now, leaving=leaving)
            has_grown = len(self._members.heard) > len(before.heard)
            if has_grown or now - self._checked_at > _EXPIRY_CHECK_INTERVAL:
                self._checked_at = now
                self._members = self._members.expire(now)
                self._rename_members()

    def unheard(self) -> tuple[Address, ...]:
        """Return the silent daemons that still count, for peers that start."""
        if not self.are_limited:
            return ()
        return self._members.unheard(
            self._clock.elapsed(), self._settings.unlisted_after
        )

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
        left = self._members.grown_at + delay - now
        if left <= timedelta():
            self._settled = self._members.hears_peers
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
        if quota is None:
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
            own = str(self._settings.own)
            quota = window_quota(life, most, own, self._names)
            self._quotas[(life, per_s)] = quota
        return quota

    def _rename_members(self) -> None:
        names = self._members.names()
        if names != self._names:
            self._names = names
            self._quotas.clear()
