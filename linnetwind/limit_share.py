"""How many requests this daemon may send to an upstream that names a limit.

An upstream in need names the requests a second that it takes from all daemons
together. Each daemon alone may be far below that while hundreds of them are
far above. They share it by how many requests each of them has for it. Where
the limit is small beside their number, only some send at all: a daemon that
was quiet may send one request at once, and hundreds of such requests are far
too many. Those that send are as few as have enough requests to use the limit.
"""

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.lives import Life

_SECOND = timedelta(seconds=1)
# One request in four seconds still goes to an upstream that takes none;
# otherwise nobody would hear that it takes some again.
_LEAST_PER_S = 0.25
# What may be sent at once beside the steady rate, by all daemons together:
# this many requests and those of one second. Upstreams bear the requests of
# two seconds and five more; the rest is for daemons that disagree for a moment
# on who lives.
_AT_ONCE = 3
# A daemon without requests keeps a small share, for the first that comes.
_LEAST_DEMAND_PER_S = 0.05
# More daemons than may send at once join until they have this part of the
# limit in requests. Seldom do two of them have one at the same time, so the
# rate at which their requests come keeps to the limit; a second request of one
# of them still has to wait.
_COVER = 1.3
# Senders with fewer requests than this many times the limit lose turns by
# chance: a request that comes just after another waits, and nobody uses the
# turn of a daemon that has none.
_SCARCE = 3
# The least excess of requests over the limit that a rate is worked out from, as
# a part of the limit; with less, rates would grow without bound.
_LEAST_EXCESS = 0.1
# Below the level of any demand.
_NO_DEMAND = -1_000


@dataclass(frozen=True, slots=True)
class Share:
    """A steady rate, and how many requests may go at once; 0 if none may."""

    per_s: float
    at_once: float

    @property
    def spacing(self) -> timedelta:
        """Return the time from one request to the next at the steady rate."""
        return _SECOND / self.per_s


NO_SHARE = Share(0, 0)


def share_of(
    life: Life, named_per_s: float, own: str, demands: Mapping[str, float]
) -> Share:
    """Return this daemon's share of what an upstream takes.

    Args:
      life: The upstream's life; the senders differ from one to the other.
      named_per_s: What it takes from all daemons, in requests a second.
      own: This daemon.
      demands: The requests a second that each daemon has for it, this one
        included.

    Returns:
      The share.
    """
    per_s = max(named_per_s, _LEAST_PER_S)
    senders = _senders(life, per_s, demands)
    if own not in senders:
        return NO_SHARE
    weights = {
        name: max(demands[name], _LEAST_DEMAND_PER_S) for name in senders
    }
    part = weights[own] / sum(weights.values())
    spare = max(0, _most_at_once(per_s) - len(senders))
    wanted = sum(demands[name] for name in senders)
    steady = per_s * part
    if wanted < _SCARCE * per_s:
        steady = _scarce_rate(per_s, wanted, weights[own], steady)
    return Share(steady, 1 + spare * part)


def _scarce_rate(
    per_s: float, wanted: float, own_demand: float, steady: float
) -> float:
    """Return a sender's rate where requests are few beside the limit.

    With requests at random, a daemon with demand d that may send s a second
    sends d * s / (d + s). With s = d * limit / (demand of all - limit) the
    senders together use the limit.
    """
    excess = max(wanted - per_s, _LEAST_EXCESS * per_s)
    return min(per_s, max(steady, own_demand * per_s / excess))


def _senders(
    life: Life, per_s: float, demands: Mapping[str, float]
) -> list[str]:
    """Return the daemons that may send.

    Each of the first few may send one request at once. Others join only while
    the requests of all before them are too few to use the limit.
    """

    def order(name: str) -> tuple[int, int]:  # noqa: WPS430
        # Those that have most requests for the upstream, in steps that daemons
        # agree on; of equals by a number that all work out alike.
        level = math.frexp(demands[name])[1] if demands[name] else _NO_DEMAND
        return -level, zlib.crc32(f'{life} {name}'.encode())

    names = sorted(demands, key=order)
    few = int(_most_at_once(per_s))
    senders = names[:few]
    wanted = sum(demands[name] for name in senders)
    for name in names[few:]:
        if wanted >= _COVER * per_s or not demands[name]:
            break
        senders.append(name)
        wanted += demands[name]
    return senders


def _most_at_once(per_s: float) -> float:
    return _AT_ONCE + per_s


@dataclass(frozen=True, slots=True)
class Pace:
    """When the requests that were sent so far would be due at a steady rate.

    `spacing` is the time between two of them at the share of that moment.
    """

    due: timedelta = timedelta.min
    spacing: timedelta = _SECOND

    def wait(self, share: Share, now: timedelta) -> timedelta | None:
        """Return how long the next request has to wait.

        Args:
          share: What may be sent now.
          now: The monotonic time.

        Returns:
          The time, zero if it may go; None if this daemon sends none.
        """
        if not share.at_once:
            return None
        ahead = (share.at_once - 1) * share.spacing
        return max(self._due(share, now) - ahead - now, timedelta())

    def send(self, share: Share, now: timedelta) -> 'Pace':
        """Return the pace after one more request.

        Args:
          share: What may be sent now.
          now: The monotonic time at which it is decided; a request that has
            to wait takes its turn behind those before it.

        Returns:
          The pace.
        """
        return Pace(self._due(share, now) + share.spacing, share.spacing)

    def _due(self, share: Share, now: timedelta) -> timedelta:
        if self.due <= now:
            return now
        # What a far smaller share has spaced must not bar the daemon for long
        # after its share has grown.
        return now + (self.due - now) * (share.spacing / self.spacing)
