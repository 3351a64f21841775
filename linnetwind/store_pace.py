"""How often a daemon reads the store, by how many daemons do.

The load that this answers: 35 daemons read two topics, 120 calls a second in
all, most of them for heartbeats that change nothing. Each daemon reads less
often where there are more of them: they tell each other of a newer
configuration, and an upstream that is gone refuses connections before its
entry goes.
"""

from dataclasses import dataclass
from datetime import timedelta

# Up to so many daemons read as often as one would.
_FEW = 8
# Pauses after each reading. A configuration is rare; the list of upstreams
# changes with every heartbeat. Both have to be known within two seconds of a
# change, which leaves the longer pause one failed reading.
_CONFIGURATION_REST_MS = 50
_CONFIGURATION_REST = timedelta(milliseconds=_CONFIGURATION_REST_MS)
_UPSTREAMS_REST_MS = 400
_UPSTREAMS_REST = timedelta(milliseconds=_UPSTREAMS_REST_MS)
_LONGEST_REST = timedelta(seconds=1)
# How long a reading waits for news in the store. A connection that has gone
# silent shows after this and the client's own margin, so it is kept below the
# time in which a configuration has to be in force: two seconds where daemons
# are few. Where they are many the others tell of a newer one meanwhile.
_POLL_WAIT_MS = 900
POLL_WAIT = timedelta(milliseconds=_POLL_WAIT_MS)
_LONGEST_POLL_MS = 1_800
_LONGEST_POLL = timedelta(milliseconds=_LONGEST_POLL_MS)


@dataclass(frozen=True, slots=True)
class StorePace:
    """The pause after each reading, and how long one waits for news."""

    rest: timedelta
    wait: timedelta


def configuration_pace(daemons: int) -> StorePace:
    """Return how often the configuration is read.

    Args:
      daemons: The daemons that live, this one included.

    Returns:
      The pace.
    """
    return StorePace(
        _CONFIGURATION_REST, _scale(POLL_WAIT, daemons, _LONGEST_POLL)
    )


def upstreams_pace(daemons: int) -> StorePace:
    """Return how often the list of upstreams is read.

    Args:
      daemons: The daemons that live, this one included.

    Returns:
      The pace.
    """
    return StorePace(_scale(_UPSTREAMS_REST, daemons, _LONGEST_REST), POLL_WAIT)


def _scale(usual: timedelta, daemons: int, most: timedelta) -> timedelta:
    return min(usual * max(1, daemons / _FEW), most)
