"""This daemon's share of the request rate that an overloaded upstream allows.

An overloaded upstream states the requests a second that it accepts from all
daemons together. Each daemon alone may be far below that rate while hundreds
of them together are far above it, so they divide it in proportion to the
requests that each has for the upstream. If the limit is small compared with
the number of daemons, only some of them send at all: an idle daemon may send
one request at once, and hundreds of such requests would be far too many. The
senders are as few as have enough requests to use the limit.

The bound for a cold upstream holds in each second and whatever the daemons
know of each other's requests. Two halves of the daemons that do not hear each
other would both take the same part by figures of demand. So its division
depends on nothing but the names of the daemons.
"""

import math
import zlib
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.upstream_incarnation import UpstreamIncarnation

_SECOND = timedelta(seconds=1)
# An upstream that accepts no requests still gets one in four seconds, because
# only a response can tell the daemons that it accepts requests again.
_MIN_PER_S = 0.25
# The burst that all daemons together may send beside the steady rate: this many
# requests plus those of one second. Upstreams tolerate the requests of two
# seconds plus five; the difference covers daemons that disagree for a moment
# on which daemons are alive.
_BASE_BURST = 3
# A daemon without requests keeps a small share for the first one that arrives.
_MIN_DEMAND_PER_S = 0.05
# Daemons beyond the burst become senders until the senders' requests reach this
# multiple of the limit. Few of these daemons have a request at the same time,
# so the rate at which requests arrive keeps to the limit; a second request of
# one daemon still has to wait.
_DEMAND_COVERAGE = 1.3
# Below this multiple of the limit, the senders' requests are too few to use
# strictly spaced turns: a request that arrives just after another one waits,
# and the turn of a sender without requests is lost.
_SCARCE_DEMAND = 3
# The smallest excess of demand over the limit that a rate is computed from, as
# a fraction of the limit. A smaller excess would let rates grow without bound.
_MIN_EXCESS = 0.1
# The level of a daemon without demand, below that of any demand.
_NO_DEMAND_LEVEL = -1_000


@dataclass(frozen=True, slots=True)
class RateShare:
    """A steady rate and a burst in requests; burst 0 allows no requests."""

    per_s: float
    burst: float

    @property
    def spacing(self) -> timedelta:
        """Return the time between two requests at the steady rate."""
        return _SECOND / self.per_s


NO_RATE_SHARE = RateShare(0, 0)


def rate_share_of(
    life: UpstreamIncarnation,
    limit_per_s: float,
    own: str,
    demands: Mapping[str, float],
) -> RateShare:
    """Return this daemon's share of an upstream's limit.

    Args:
      life: The upstream's incarnation. Which daemons send differs from one
        incarnation to the next.
      limit_per_s: The requests a second that it accepts from all daemons.
      own: The name of this daemon.
      demands: The requests a second that each daemon has for the upstream,
        this one included.

    Returns:
      The share.
    """
    per_s = max(limit_per_s, _MIN_PER_S)
    senders = _senders(life, per_s, demands)
    if own not in senders:
        return NO_RATE_SHARE
    weights = {name: max(demands[name], _MIN_DEMAND_PER_S) for name in senders}
    part = weights[own] / sum(weights.values())
    spare = max(0, _total_burst(per_s) - len(senders))
    total_demand = sum(demands[name] for name in senders)
    steady = per_s * part
    if total_demand < _SCARCE_DEMAND * per_s:
        steady = _scarce_rate(per_s, total_demand, weights[own], steady)
    return RateShare(steady, 1 + spare * part)


def _scarce_rate(
    per_s: float, total_demand: float, own_demand: float, steady: float
) -> float:
    """Return a sender's rate if demand is small compared with the limit.

    If requests arrive at random, a daemon with demand d and rate s sends
    d * s / (d + s). With s = d * limit / (total demand - limit) the senders
    together use the limit.
    """
    excess = max(total_demand - per_s, _MIN_EXCESS * per_s)
    return min(per_s, max(steady, own_demand * per_s / excess))


def _senders(
    life: UpstreamIncarnation, per_s: float, demands: Mapping[str, float]
) -> list[str]:
    """Return the daemons that may send.

    The first ones fill the total burst with one request each. Further daemons
    join only while the requests of all before them are too few to use the
    limit.
    """

    def order(name: str) -> tuple[int, int]:  # noqa: WPS430
        # Daemons with the highest demand come first. Demands are compared in
        # powers of two, so that daemons with slightly different figures agree;
        # ties are broken by a hash that all daemons compute alike.
        level = (
            math.frexp(demands[name])[1] if demands[name] else _NO_DEMAND_LEVEL
        )
        return -level, zlib.crc32(f'{life} {name}'.encode())

    names = sorted(demands, key=order)
    count = int(_total_burst(per_s))
    senders = names[:count]
    total_demand = sum(demands[name] for name in senders)
    for name in names[count:]:
        if total_demand >= _DEMAND_COVERAGE * per_s or not demands[name]:
            break
        senders.append(name)
        total_demand += demands[name]
    return senders


def _total_burst(per_s: float) -> float:
    return _BASE_BURST + per_s


@dataclass(frozen=True, slots=True)
class SendSchedule:
    """A rate limiter with a burst (the generic cell rate algorithm).

    `due` is the monotonic time at which the next request would be due if all
    requests so far had been sent at the steady rate, `spacing` the time
    between two of them at the share that was in force.
    """

    due: timedelta = timedelta.min
    spacing: timedelta = _SECOND

    def wait(self, share: RateShare, now: timedelta) -> timedelta | None:
        """Return how long the next request has to wait.

        Args:
          share: The daemon's share now.
          now: The monotonic time.

        Returns:
          The time, zero if it may be sent now; None if this daemon may not
          send at all.
        """
        if not share.burst:
            return None
        ahead = (share.burst - 1) * share.spacing
        return max(self._due(share, now) - ahead - now, timedelta())

    def send(self, share: RateShare, now: timedelta) -> 'SendSchedule':
        """Return the state after one more request.

        Args:
          share: The daemon's share now.
          now: The monotonic time of the decision to send. A request that has
            to wait takes the turn after those before it.

        Returns:
          The state.
        """
        return SendSchedule(
            self._due(share, now) + share.spacing, share.spacing
        )

    def _due(self, share: RateShare, now: timedelta) -> timedelta:
        if self.due <= now:
            return now
        # The time still due is scaled to the present share; otherwise requests
        # spaced by a far smaller share would block the daemon for long after
        # its share has grown.
        return now + (self.due - now) * (share.spacing / self.spacing)


def window_quota(
    life: UpstreamIncarnation, most: int, own: str, daemons: Collection[str]
) -> int:
    """Return the requests that this daemon may send within any window.

    Args:
      life: The upstream's incarnation. Which daemons get one request more than
        others differs from one incarnation to the next.
      most: The requests of all daemons together within any window.
      own: The name of this daemon.
      daemons: The names of all daemons, this one included.

    Returns:
      The number; the numbers of all daemons add up to `most`.
    """
    quota, rest = divmod(most, len(daemons))

    def order(name: str) -> tuple[int, str]:  # noqa: WPS430
        return zlib.crc32(f'{life} {name}'.encode()), name

    own_order = order(own)
    before = sum(1 for name in daemons if order(name) < own_order)
    return quota + (before < rest)


@dataclass(frozen=True, slots=True)
class SendWindow:
    """The requests of a daemon to one upstream within a sliding window.

    `sent` are the monotonic times of the last requests in ascending order,
    those of reserved requests included.
    """

    sent: tuple[timedelta, ...] = ()

    def wait(
        self, quota: int, length: timedelta, now: timedelta
    ) -> timedelta | None:
        """Return how long the next request has to wait.

        Args:
          quota: The most requests within any window.
          length: The length of the window.
          now: The monotonic time.

        Returns:
          The time, zero if it may be sent now; None if this daemon may not
          send at all.
        """
        if not quota:
            return None
        if len(self.sent) < quota:
            return timedelta()
        return max(self.sent[-quota] + length - now, timedelta())

    def send(
        self, length: timedelta, now: timedelta, wait: timedelta
    ) -> 'SendWindow':
        """Return the state after one more request.

        Args:
          length: The length of the window.
          now: The monotonic time.
          wait: The time after which the request is sent.

        Returns:
          The state.
        """
        recent = [sent for sent in self.sent if now - sent < length]
        return SendWindow(tuple(sorted((*recent, now + wait))))
