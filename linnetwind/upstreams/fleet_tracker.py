"""Tracks the daemons among which shared bounds are divided; thread-safe."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.upstreams.fleet_members import LEFT_SILENCE, FleetMembers

_EXPIRY_CHECK_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """This daemon's place in the fleet.

    `own` is the address of this daemon, and `seeds` are those of the first
    peers at its start, the same for all daemons. `unlisted_after` is the time
    after which peers no longer list a silent daemon, and `left_silence` how
    long one that has left still counts.
    """

    own: Address
    seeds: frozenset[Address] = frozenset()
    unlisted_after: timedelta = timedelta()
    left_silence: timedelta = LEFT_SILENCE


class FleetTracker:
    """The daemons that may be sending requests, by what peers say."""

    def __init__(self, settings: FleetSettings, clock: Clock) -> None:
        """Start without peers.

        Args:
          settings: This daemon's place in the fleet.
          clock: The clock, for the time since peers were heard.
        """
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._members = FleetMembers(
            settings.own, clock.elapsed(), left_silence=settings.left_silence
        )
        self._names = self._members.names()
        self._checked_at = timedelta()
        self._seeds = settings.seeds
        self._unheard_seeds = settings.seeds - {settings.own}

    @property
    def own(self) -> str:
        """Return the name of this daemon."""
        return str(self._settings.own)

    @property
    def names(self) -> frozenset[str]:
        """Return the names of all daemons that count, this one included."""
        return self._names

    @property
    def grown_at(self) -> timedelta:
        """Return when the last daemon became known, or this one started."""
        return self._members.grown_at

    @property
    def hears_peers(self) -> bool:
        """Return whether any peer has been heard since the start."""
        return self._members.hears_peers

    @property
    def knows_fleet(self) -> bool:
        """Return whether most seeds have been heard since the start.

        Daemons that start while the network is partitioned know only those on
        their side. Only one side can have heard most of the seeds.
        """
        seeds = self._seeds
        return not seeds or len(self._unheard_seeds) < len(seeds) / 2

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Use other first peers, since the settings have changed.

        Args:
          seeds: Their addresses. Those that were no seeds before count as not
            heard until their next state.
        """
        with self._lock:
            heard = self._seeds - self._unheard_seeds
            self._seeds = frozenset(seeds)
            self._unheard_seeds = self._seeds - heard - {self._settings.own}

    def hear_peer(
        self, peer: Address, listed: Iterable[Address], *, leaving: bool
    ) -> None:
        """Count the daemons that a peer's state names.

        Args:
          peer: The peer's address.
          listed: The addresses of daemons that it knows.
          leaving: Whether the peer is shutting down.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._unheard_seeds -= {peer}
            before = self._members
            self._members = before.hear(peer, listed, now, leaving=leaving)
            has_grown = len(self._members.heard) > len(before.heard)
            if has_grown or now - self._checked_at > _EXPIRY_CHECK_INTERVAL:
                self._checked_at = now
                self._members = self._members.expire(now)
                self._update_names()

    def unheard(self) -> tuple[Address, ...]:
        """Return the silent daemons that still count, for peers that start."""
        return self._members.unheard(
            self._clock.elapsed(), self._settings.unlisted_after
        )

    def _update_names(self) -> None:
        names = self._members.names()
        # The set stays the same object while its members do, so that whoever
        # divides a bound detects a change without comparing hundreds of names.
        if names != self._names:
            self._names = names
