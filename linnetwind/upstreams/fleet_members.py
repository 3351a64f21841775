"""The daemons that may be sending requests, heard or not.

The bounds for cold upstreams and for retries are divided among all daemons. A
daemon that is not heard any more may be dead, or may serve callers on the other
side of a broken link; only one that said that it leaves is known to have
stopped. This handles two halves of the daemons that do not hear each other, and
daemons that have just started and know no others yet.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Self

from linnetwind.address import Address

# How long a silent daemon counts. Long, because in a partition both halves
# together exceed the bound once they do not count each other any more.
_RETENTION_S = 600
RETENTION = timedelta(seconds=_RETENTION_S)
# A leaving daemon still sends requests until it is silent.
LEFT_SILENCE = timedelta(seconds=5)
# How long the address of a daemon that has left is not learned again from
# peers. They list it for some time longer.
_LEFT_RETENTION_S = 60
_LEFT_RETENTION = timedelta(seconds=_LEFT_RETENTION_S)


@dataclass(frozen=True, slots=True)
class FleetMembers:
    """The addresses of the other daemons; immutable.

    Attributes:
      own: The address of this daemon.
      grown_at: The monotonic time at which the last address was added, or of
        this daemon's start.
      heard: When each daemon was last heard, or first listed by a peer.
      left: When a daemon was last heard to be leaving.
      hears_peers: Whether any peer has been heard since the start.
      left_silence: How long a daemon that has left still counts.
    """

    own: Address
    grown_at: timedelta
    heard: Mapping[Address, timedelta] = field(default_factory=dict)
    left: Mapping[Address, timedelta] = field(default_factory=dict)
    hears_peers: bool = False
    left_silence: timedelta = LEFT_SILENCE

    def hear(
        self,
        peer: Address,
        listed: Iterable[Address],
        now: timedelta,
        *,
        leaving: bool,
    ) -> Self:
        """Return the members after the state of a peer has arrived.

        Args:
          peer: The peer's address.
          listed: The addresses of daemons that it knows.
          now: The monotonic time.
          leaving: Whether the peer is shutting down.

        Returns:
          The members.
        """
        known = self.heard.keys() | self.left.keys() | {self.own, peer}
        added = dict.fromkeys(set(listed) - known, now)
        left = {each: at for each, at in self.left.items() if each != peer}
        if leaving:
            left[peer] = now
        grows = bool(added) or peer not in self.heard
        return replace(
            self,
            grown_at=now if grows else self.grown_at,
            heard={**self.heard, **added, peer: now},
            left=left,
            hears_peers=True,
        )

    def expire(self, now: timedelta) -> Self:
        """Return the members without those that no longer count.

        Args:
          now: The monotonic time.

        Returns:
          The members without daemons that left, or that were silent for
          `RETENTION`.
        """
        heard = {
            each: at
            for each, at in self.heard.items()
            if now - at < self._retention(each)
        }
        left = {
            each: at
            for each, at in self.left.items()
            if now - at < _LEFT_RETENTION
        }
        return replace(self, heard=heard, left=left)

    def unheard(self, now: timedelta, limit: timedelta) -> tuple[Address, ...]:
        """Return the daemons that still count but have long been silent.

        Args:
          now: The monotonic time.
          limit: The time of silence after which peers no longer list them.

        Returns:
          Their addresses, for peers that start meanwhile.
        """
        return tuple(
            each
            for each, at in self.heard.items()
            if now - at >= limit and each not in self.left
        )

    def names(self) -> frozenset[str]:
        """Return the names of all daemons, this one included."""
        return frozenset(map(str, (self.own, *self.heard)))

    def _retention(self, peer: Address) -> timedelta:
        return self.left_silence if peer in self.left else RETENTION
