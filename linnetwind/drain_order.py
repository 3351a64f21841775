"""The order in which gateways drain that are stopped at the same time.

If all of them drained at once, no gateway would accept a stream until the
first one has restarted, and every caller of these seconds would be rejected by
one gateway after the other. Therefore the gateways that received their stop
signal first drain at once and restart while the others still serve; the others
drain afterwards.
"""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.peers.peer_table import PeerTable, ReceivedState

# The time after a restart until the platform routes callers to a daemon: it
# needs one successful readiness probe, and sends one each second.
_RESTART_DELAY_MS = 1_200
RESTART_DELAY = timedelta(milliseconds=_RESTART_DELAY_MS)
# How long a stopping daemon plans expert maps at most. In the rest of its grace
# period a peer takes over the rollouts that it has started.
_MAX_PLANNING_MS = 5_000
MAX_PLANNING_TIME = timedelta(milliseconds=_MAX_PLANNING_MS)
# Daemons that received their stop signals within this time drain in the order
# of their names: the states that advertise a stop take up to 0.1 s on a busy
# host, so that each daemon learns of the others' signals later than of its own.
_SIMULTANEOUS_MS = 200
_SIMULTANEOUS = timedelta(milliseconds=_SIMULTANEOUS_MS)


@dataclass(frozen=True, slots=True)
class StopTime:
    """The monotonic time at which a daemon received its stop signal."""

    name: str
    at: timedelta


def stop_time_of(received: ReceivedState) -> StopTime | None:
    """Return when a peer received its stop signal, or None if it has not.

    Args:
      received: The peer's newest state.

    Returns:
      The time by this daemon's clock.
    """
    if not received.state.leaving:
        return None
    since = timedelta(milliseconds=received.state.stopping_ms)
    return StopTime(received.state.name, received.at - since)


def drains_before(one: StopTime, other: StopTime) -> bool:
    """Return whether the first of two stopping daemons drains first.

    Args:
      one: The stop time of a daemon.
      other: The stop time of another daemon.

    Returns:
      Whether the first daemon was stopped earlier or, if both were stopped at
      about the same time, whether its name sorts first.
    """
    if abs(one.at - other.at) < _SIMULTANEOUS:
        return one.name < other.name
    return one.at < other.at


def plans_while_stopping(
    peer_table: PeerTable, own: StopTime, now: timedelta
) -> bool:
    """Return whether a stopping daemon still plans the expert maps.

    When all daemons stopped at once and none planned for 3 s, the load of the
    most loaded rank rose from 1.3 to 3 times the mean. All streams were late,
    and the first daemons that had restarted had no capacity for new streams.

    Args:
      peer_table: The peers.
      own: The stop time of this daemon.
      now: The monotonic time.

    Returns:
      Whether all daemons with a configuration are stopping and this one drains
      last; false once it has been stopping for `MAX_PLANNING_TIME`.
    """
    if now - own.at > MAX_PLANNING_TIME:
        return False
    for received in peer_table.received.values():
        if now - received.at >= peer_table.peer_timeout:
            continue
        other = stop_time_of(received)
        if other is None:
            if received.state.config_version:
                return False
        elif drains_before(own, other):
            return False
    return True


@dataclass(frozen=True, slots=True)
class FleetDaemon:
    """A daemon, its site, and its stop time (None if it is not stopping)."""

    name: str
    site: str
    stop_time: StopTime | None


@dataclass(frozen=True, slots=True)
class Fleet:
    """The other daemons to which the platform routes callers.

    `daemon_count` counts all daemons, including this one and those to which no
    callers are routed at present.
    """

    serving: tuple[FleetDaemon, ...]
    daemon_count: int


def reachable_fleet(peer_table: PeerTable, now: timedelta) -> Fleet:
    """Return the peers to which the platform routes callers.

    Args:
      peer_table: The peers.
      now: The monotonic time.

    Returns:
      The fleet, without daemons that started less than `RESTART_DELAY` ago.
    """
    serving = [
        _daemon_of(received)
        for received in peer_table.received.values()
        if now - received.at < peer_table.peer_timeout
        and _is_reachable(received, now)
    ]
    return Fleet(tuple(serving), 1 + len(peer_table.received))


def covering_daemons(own: FleetDaemon, fleet: Fleet) -> list[FleetDaemon]:
    """Return the daemons that keep serving while this one drains.

    Args:
      own: A stopping daemon.
      fleet: The other daemons.

    Returns:
      The daemons that are not stopping, and those that drain after this one.
    """
    return [each for each in fleet.serving if _drains_after(own, each)]


def may_drain(own: FleetDaemon, fleet: Fleet) -> bool:
    """Decide whether it is a daemon's turn to drain.

    Args:
      own: A stopping daemon.
      fleet: The other daemons.

    Returns:
      Whether at least half of all daemons keep serving meanwhile. A daemon
      without peers may drain at once.
    """
    needed = fleet.daemon_count // 2
    return len(covering_daemons(own, fleet)) >= needed


def is_awaited(own: FleetDaemon, fleet: Fleet) -> bool:
    """Return whether other daemons wait for a daemon to drain and restart.

    Args:
      own: A daemon that may drain.
      fleet: The other daemons.

    Returns:
      Whether one of them is stopping too and has to serve until then.
    """
    return any(
        each.stop_time is not None and keeps_serving(each, own, fleet)
        for each in fleet.serving
    )


def keeps_serving(other: FleetDaemon, own: FleetDaemon, fleet: Fleet) -> bool:
    """Return whether another daemon serves while this one drains.

    Args:
      other: A daemon of the fleet.
      own: This daemon.
      fleet: The other daemons.

    Returns:
      Whether it is not stopping, or is stopping but may not drain yet.
    """
    if other.stop_time is None:
        return True
    serving = (own, *(each for each in fleet.serving if each != other))
    return not may_drain(other, Fleet(serving, fleet.daemon_count))


def _daemon_of(received: ReceivedState) -> FleetDaemon:
    return FleetDaemon(
        received.state.name, received.state.site, stop_time_of(received)
    )


def _is_reachable(received: ReceivedState, now: timedelta) -> bool:
    since = received.serves_since
    return since is not None and now - since >= RESTART_DELAY


def _drains_after(own: FleetDaemon, other: FleetDaemon) -> bool:
    if other.stop_time is None or own.stop_time is None:
        return other.stop_time is None
    return drains_before(own.stop_time, other.stop_time)
