"""The order in which gateways that are told to stop together drain.

If all of them drained at once, none would take a stream until the first is
back, and the callers of those seconds would be lost: refused here, refused
there. Those that were told first drain at once and come back, while the
others still serve; these drain then.
"""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.peer_book import Heard, PeerBook

# The platform sends callers to a daemon that is back after one question.
_BACK_MS = 1_200
BACK = timedelta(milliseconds=_BACK_MS)
# A daemon that stops plans so long at most; in the time that is left of its
# grace a peer takes over what it has begun.
_LED_MS = 5_000
LED_FOR = timedelta(milliseconds=_LED_MS)
# Daemons that were told to stop within this time go by their names; messages
# between them take up to a tenth of a second on a busy host.
_TOGETHER_MS = 200
_TOGETHER = timedelta(milliseconds=_TOGETHER_MS)


@dataclass(frozen=True, slots=True)
class Told:
    """A daemon that was told to stop, and the monotonic time of that."""

    name: str
    at: timedelta


def told(heard: Heard) -> Told | None:
    """Return when a peer was told to stop, or None if it stays.

    Args:
      heard: Its newest state.

    Returns:
      The time by this daemon's clock.
    """
    if not heard.state.leaving:
        return None
    since = timedelta(milliseconds=heard.state.stopping_ms)
    return Told(heard.state.name, heard.at - since)


def goes_before(one: Told, other: Told) -> bool:
    """Return which of two daemons that were told to stop goes first.

    Args:
      one: A daemon.
      other: Another one.

    Returns:
      Whether `one` was told first; at the same time, whether its name is.
    """
    if abs(one.at - other.at) < _TOGETHER:
        return one.name < other.name
    return one.at < other.at


def leads_to_the_end(book: PeerBook, own: Told, now: timedelta) -> bool:
    """Return whether a daemon that stops still plans the expert maps.

    When all daemons stopped at once, nobody planned for 3 s. The load of the
    ranks grew apart from 1.3 to 3 times the mean, all streams turned late,
    and the first daemons that were back had no room for anybody.

    Args:
      book: What is known of the peers.
      own: This daemon.
      now: The monotonic time.

    Returns:
      Whether no daemon stays and this one goes last.
    """
    if now - own.at > LED_FOR:
        return False
    for heard in book.heard.values():
        if now - heard.at >= book.silence:
            continue
        other = told(heard)
        if other is None:
            if heard.state.config_version:
                return False
        elif goes_before(own, other):
            return False
    return True


@dataclass(frozen=True, slots=True)
class Host:
    """A daemon, its site, and when it was told to stop (None: it stays)."""

    name: str
    site: str
    told: Told | None


@dataclass(frozen=True, slots=True)
class Fleet:
    """The daemons that callers reach besides this one.

    `known` counts all daemons, also this one and those that are away.
    """

    serving: tuple[Host, ...]
    known: int


def fleet_of(book: PeerBook, now: timedelta) -> Fleet:
    """Return the daemons that callers reach, as their messages tell.

    Args:
      book: What is known of the peers.
      now: The monotonic time.

    Returns:
      The fleet; a daemon that has just started is not sent callers yet.
    """
    serving = [
        _host(heard)
        for heard in book.heard.values()
        if now - heard.at < book.silence and _is_back(heard, now)
    ]
    return Fleet(tuple(serving), 1 + len(book.heard))


def stand_ins(own: Host, fleet: Fleet) -> list[Host]:
    """Return the daemons that serve on while this one drains.

    Args:
      own: A daemon that was told to stop.
      fleet: The others.

    Returns:
      Those that stay, and those that were told to stop after this one.
    """
    return [each for each in fleet.serving if _goes_after(own, each)]


def may_drain(own: Host, fleet: Fleet) -> bool:
    """Decide whether it is a daemon's turn to drain.

    Args:
      own: A daemon that was told to stop.
      fleet: The others.

    Returns:
      Whether half of all daemons serve meanwhile; a daemon that knows of no
      other has nothing to wait for.
    """
    needed = fleet.known // 2
    return len(stand_ins(own, fleet)) >= needed


def is_awaited(own: Host, fleet: Fleet) -> bool:
    """Return whether others wait until a daemon has drained and is back.

    Args:
      own: A daemon whose turn it is.
      fleet: The others.

    Returns:
      Whether one of them was told to stop too and has to serve until then.
    """
    return any(
        each.told is not None and serves_on(each, own, fleet)
        for each in fleet.serving
    )


def serves_on(other: Host, own: Host, fleet: Fleet) -> bool:
    """Return whether another daemon serves while this one drains.

    Args:
      other: One of the fleet.
      own: This daemon.
      fleet: The others.

    Returns:
      Whether it stays, or was told to stop too and has no turn yet.
    """
    if other.told is None:
        return True
    serving = (own, *(each for each in fleet.serving if each != other))
    return not may_drain(other, Fleet(serving, fleet.known))


def _host(heard: Heard) -> Host:
    return Host(heard.state.name, heard.state.site, told(heard))


def _is_back(heard: Heard, now: timedelta) -> bool:
    since = heard.serves_since
    return since is not None and now - since >= BACK


def _goes_after(own: Host, other: Host) -> bool:
    if other.told is None or own.told is None:
        return other.told is None
    return goes_before(own.told, other.told)
