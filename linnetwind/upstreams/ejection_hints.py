"""Hints of peers that an upstream refuses requests, or asked them to back off.

With dozens of daemons each sends an upstream less than a request a second, and
would have to be refused several times to find out by itself. It prefers other
upstreams as soon as a peer has found out. The cause may lie with the peer, so
each daemon sends one probe, at a time that differs from daemon to daemon, and
ignores the hint if that succeeds. A refusal of a whole service is no hint for
the choice: no more than half of its upstreams are avoided.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType
from typing import Annotated

from msgspec import Meta

from linnetwind.ages import AgeMs
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.outlier_ejection import (
    MAX_EJECTION,
    MAX_FIRST,
    Answer,
)

_MS = timedelta(milliseconds=1)
_PERCENT = 100
# Bounds the size of states; a service has few upstreams that are outliers.
MAX_ADVERTISED = 8
# The first daemon sends its probe after this part of a hint's time, the last
# after that part and the whole time.
_MIN_PROBE_PART = 0.5

Percent = Annotated[int, Meta(ge=0, le=_PERCENT)]


@dataclass(frozen=True, slots=True)
class AdvertisedEjection:
    """An upstream that a daemon avoids for a time, 0 if it does no longer.

    `percent` is the share of refusals and failures, 0 if the upstream asked the
    daemon to back off.
    """

    life: IncarnationTag
    left_ms: AgeMs
    percent: Percent = 0


@dataclass(frozen=True, slots=True)
class Hint:
    """The hints of all peers on one upstream.

    `sources` holds the monotonic time by peer until which its hint is in force,
    `until` the latest of them. `seen` is when the first arrived, `probe_at`
    when this daemon sends a probe. `refuted` says that a probe succeeded.
    """

    sources: Mapping[str, timedelta]
    until: timedelta
    seen: timedelta
    probe_at: timedelta
    refuted: bool = False


Hints = Mapping[IncarnationTag, Hint]
NO_HINTS: Hints = MappingProxyType({})


def merge_hints(
    hints: Hints,
    source: str,
    advertised: Iterable[AdvertisedEjection],
    now: timedelta,
    spread: float,
) -> Hints:
    """Return the hints after a peer's state.

    Args:
      hints: The hints so far.
      source: The peer's name.
      advertised: The upstreams that it avoids or has just stopped to avoid.
      now: The monotonic time.
      spread: A number from 0 to 1 that differs from daemon to daemon.

    Returns:
      The hints in force.
    """
    merged = {tag: each for tag, each in hints.items() if now < each.until}
    for each in advertised:
        left = min(each.left_ms * _MS, MAX_EJECTION)
        hint = _merge_hint(merged.get(each.life), source, left, now, spread)
        if hint is None:
            merged.pop(each.life, None)
        else:
            merged[each.life] = hint
    return merged


def hinted_upstreams(
    hints: Hints, members: Collection[UpstreamIncarnation], now: timedelta
) -> frozenset[UpstreamIncarnation]:
    """Return the upstreams that peers advise against and are not to be probed.

    Args:
      hints: The hints.
      members: The incarnations of a service that accept requests.
      now: The monotonic time.

    Returns:
      The incarnations.
    """
    return _select(hints, members, lambda hint: now < hint.probe_at, now)


def due_hint_probes(
    hints: Hints, members: Collection[UpstreamIncarnation], now: timedelta
) -> frozenset[UpstreamIncarnation]:
    """Return the upstreams to which a probe is to be sent because of a hint.

    Args:
      hints: The hints.
      members: Any incarnations.
      now: The monotonic time.

    Returns:
      The incarnations.
    """
    return _select(hints, members, lambda hint: hint.probe_at <= now, now)


def limit_to_half(
    ejected: frozenset[UpstreamIncarnation],
    hinted: frozenset[UpstreamIncarnation],
    members: Collection[UpstreamIncarnation],
) -> frozenset[UpstreamIncarnation]:
    """Return the upstreams that get no requests, at most half.

    Args:
      ejected: The upstreams that this daemon has ejected, at most half.
      hinted: The upstreams that peers advise against.
      members: The incarnations of the service that accept requests.

    Returns:
      The incarnations. If they would be more than half, the whole service is
      overloaded, and the hints are ignored.
    """
    avoided = ejected | hinted
    return avoided if len(avoided) <= len(members) // 2 else ejected


def probe_hinted(
    hints: Hints, life: UpstreamIncarnation, now: timedelta
) -> Hints:
    """Return the hints after a request was sent to an upstream.

    Args:
      hints: The hints.
      life: The incarnation.
      now: The monotonic time.

    Returns:
      The hints. If a probe was due, the next is due after a further time.
    """
    tag = tag_incarnation(life)
    hint = hints.get(tag)
    if hint is None or hint.refuted or now < hint.probe_at:
        return hints
    return {**hints, tag: replace(hint, probe_at=now + MAX_FIRST)}


def observe_hinted(
    hints: Hints, life: UpstreamIncarnation, answer: Answer, now: timedelta
) -> Hints:
    """Return the hints after an answer of an upstream.

    Args:
      hints: The hints.
      life: The incarnation.
      answer: The answer.
      now: The monotonic time.

    Returns:
      The hints. An answer to a request that was sent before a hint arrived
      changes nothing.
    """
    tag = tag_incarnation(life)
    hint = hints.get(tag)
    if hint is None or answer.sent_at < hint.seen:
        return hints
    if answer.bad:
        probed = replace(hint, probe_at=now + MAX_EJECTION, refuted=False)
    else:
        probed = replace(hint, refuted=True)
    return {**hints, tag: probed}


def _merge_hint(
    before: Hint | None,
    source: str,
    left: timedelta,
    now: timedelta,
    spread: float,
) -> Hint | None:
    known = {} if before is None else before.sources
    sources = {name: until for name, until in known.items() if now < until}
    if left:
        sources[source] = now + left
    else:
        sources.pop(source, None)
    if not sources:
        return None
    until = max(sources.values())
    if before is None:
        probe_at = now + left * (_MIN_PROBE_PART + spread)
        return Hint(sources, until, now, probe_at)
    return replace(before, sources=sources, until=until)


def _select(
    hints: Hints,
    members: Collection[UpstreamIncarnation],
    matches: Callable[[Hint], bool],
    now: timedelta,
) -> frozenset[UpstreamIncarnation]:
    """Return the members with a hint that is in force and matches."""
    if not hints:
        return frozenset()
    hinted = {life: hints.get(tag_incarnation(life)) for life in members}
    return frozenset(
        life
        for life, hint in hinted.items()
        if hint is not None and _is_in_force(hint, now) and matches(hint)
    )


def _is_in_force(hint: Hint, now: timedelta) -> bool:
    return not hint.refuted and now < hint.until
