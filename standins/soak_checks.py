"""Checks of the soak that need to know which faults went on."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from standins.platform_cluster import RETRY_TERMS, GatewayProcess
from standins.retry_arrivals import most_excess
from standins.soak_book import Book, Call
from standins.soak_callers import describe
from standins.soak_upstreams import Arrival, SoakUpstream

# For so long after a fault its effects are not held against the gateways.
_AFTERMATH_S = 3
# What the platform does on purpose; a request must survive it.
_PLANNED = frozenset(('stop', 'reload', 'configuration', 'replace upstream'))
_LEAST_SERVED = 0.95
# A request that has crashed so many may be sent so many times more.
_MOST_CRASHES = 3
_MOST_LATE = 3
# How long calls may be on their way when an upstream asks to back off, and how
# many may come after that.
_ON_THE_WAY_S = 0.5
_MOST_IN_BACKOFF = 2
# How long calls may still reach an upstream that says it leaves.
_LEAVING_S = 2
# How long calls may still reach an evacuated data centre.
_EVACUATED_S = 1


@dataclass(frozen=True)
class Span:
    """A fault, or a planned stop of a host, from its start to its end."""

    what: str
    start: float
    end: float

    def touches(self, start: float, end: float) -> bool:
        """Return whether it can have an effect within a time."""
        return self.start <= end and start <= self.end + _AFTERMATH_S


@dataclass(frozen=True)
class _Unwanted:
    """A time in which an upstream wants at most so many calls."""

    start: float
    end: float
    allowed: int


@dataclass
class History:
    """What was seen, the faults, and the planned stops and drains.

    `upsets` are the stops, kills and freezes by the address of their host, and
    `evacuations` those of data centres.
    """

    book: Book
    faults: list[Span] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    drains: list[tuple[float, SoakUpstream]] = field(default_factory=list)
    upsets: list[Span] = field(default_factory=list)
    evacuations: list[Span] = field(default_factory=list)

    def is_calm(self, start: float, end: float) -> bool:
        """Return whether nothing but planned work went on."""
        crashes = [Span('crash', at, at) for at in self.book.crashes]
        return self.is_calm_but_for_crashes(start, end) and not any(
            each.touches(start, end) for each in crashes
        )

    def is_excused(self, gateway: str, start: float, end: float) -> bool:
        """Return whether a gateway may have sent what an upstream did not want.

        One that was stopped, killed or frozen since has forgotten, and calls
        that a link has held up come late.
        """
        upset = any(
            each.what == gateway and each.start <= end and start <= each.end
            for each in self.upsets
        )
        return upset or any(
            each.touches(start, end)
            for each in self.faults
            if each.what == 'upstream link'
        )

    def is_calm_but_for_crashes(self, start: float, end: float) -> bool:
        """Return whether nothing but planned work and crashes went on."""
        return not any(
            each.touches(start, end)
            for each in self.faults
            if each.what not in _PLANNED
        )


def check_configuration(
    process: GatewayProcess, version: int, book: Book
) -> Iterator[str]:
    """Yield it if the newest version is not in force, or one went back."""
    path = f'/v{version}/'
    probe = Call(f'probe-{process.ip}', 'plain', path, process.ip, 0)
    book.take(probe)
    status = process.ask(path, **{'Attempt-Id': probe.name})[0]
    if status != 200:
        yield f'{process.ip} answers {status} on the newest route'
    newest = 0
    for each in process.events('ConfigurationApplied'):
        # A process that has just started knows no version before.
        if each['before'] and each['version'] <= newest:
            yield f'{process.ip} went back: {each}'
        newest = each['version']
    for each in process.events('RoundFailed'):
        yield f'{process.ip}: {each["problem"]}'


def check_stops(history: History) -> Iterator[str]:
    """Yield each request that an upstream had begun and a stop has cut."""
    for stop in history.stops:
        for call in history.book.calls:
            if (
                call.gateway == stop.what
                and stop.start - 1 < call.sent < stop.end
                and not call.whole
                and history.book.runs[call.name]
                and history.is_calm(call.sent, call.ended)
            ):
                yield f'cut by a planned stop: {call}'


def check_drains(history: History, within: float) -> Iterator[str]:
    """Yield each draining upstream that got calls after the time for that."""
    for start, upstream in history.drains:
        late = [
            each - start
            for each in upstream.last_runs
            if each > start + within and history.is_calm(start, each)
        ]
        if late:
            yield f'{upstream.instance} ran calls {late} s after its drain'


def check_backpressure(
    history: History, upstreams: list[SoakUpstream]
) -> Iterator[str]:
    """Yield each upstream that got calls it had told a gateway not to send."""
    gateways = {call.name: call.gateway for call in history.book.calls}
    for upstream in upstreams:
        for told in upstream.arrivals:
            gateway = gateways.get(told.call)
            unwanted = _unwanted_after(told)
            got = [
                each
                for each in upstream.arrivals
                if unwanted.start < each.at < unwanted.end
                and each.life == told.life
                and gateways.get(each.call) == gateway
                and not history.is_excused(gateway, told.at, each.at)
            ]
            if len(got) > unwanted.allowed:
                yield f'{upstream.instance} got {got} after {told}'


def check_retries(book: Book, upstreams: list[SoakUpstream]) -> Iterator[str]:
    """Yield it if more calls arrived again than the shared budget allows."""
    arrivals = sorted(
        (each.at, each.call)
        for upstream in upstreams
        for each in upstream.arrivals
    )
    seen: set[str] = set()
    retries = []
    for at, call in arrivals:
        if call in seen:
            retries.append(at)
        seen.add(call)
    sent = sorted(call.sent for call in book.calls)
    excess = most_excess(sent, retries, RETRY_TERMS)
    if excess > 0:
        yield f'{excess:.0f} retries beyond the shared budget'


def check_evacuations(
    history: History, upstreams: list[SoakUpstream]
) -> Iterator[str]:
    """Yield each evacuation in which calls still reached the data centre.

    A gateway whose link to the store fails learns of it from the others.
    """
    gateways = {call.name: call.gateway for call in history.book.calls}
    for span in history.evacuations:
        got = [
            (upstream.instance, each)
            for upstream in upstreams
            for each in upstream.arrivals
            if upstream.site == span.what
            and span.start + _EVACUATED_S < each.at < span.end
            and not _may_arrive(history, span, gateways.get(each.call), each.at)
        ]
        if got:
            yield f'calls in an evacuated data centre, {span}: {got}'


def _may_arrive(
    history: History, span: Span, gateway: str | None, at: float
) -> bool:
    """Return whether faults excuse a call in an evacuated data centre.

    Nobody could read of the evacuation, the store lost it, a link held the call
    up, or the gateway was frozen before it sent the call.
    """
    excuses = [
        each
        for each in history.faults
        if (
            each.what == 'upstream link'
            or (
                each.what == 'store outage'
                and each.start < span.start + _EVACUATED_S
            )
        )
        and each.touches(at, at)
    ]
    lost = [
        each
        for each in history.faults
        if each.what == 'comes back older' and each.touches(span.start, at)
    ]
    upset = [
        each
        for each in history.upsets
        if each.what == gateway and each.start <= at <= each.end + _EVACUATED_S
    ]
    return bool(excuses or lost or upset)


def _unwanted_after(told: Arrival) -> _Unwanted:
    if told.leaving:
        return _Unwanted(told.at + _LEAVING_S, math.inf, 0)
    return _Unwanted(
        told.at + _ON_THE_WAY_S, told.at + told.backoff, _MOST_IN_BACKOFF
    )


def check_crashes(history: History) -> Iterator[str]:
    """Yield it if a request went on after it had crashed three upstreams.

    All gateways know of it after three seconds in which nothing else went on.
    """
    crashes = history.book.crashes
    late = [
        each
        for each in crashes[_MOST_CRASHES:]
        if each > crashes[_MOST_CRASHES - 1] + _AFTERMATH_S
        and history.is_calm_but_for_crashes(each - _AFTERMATH_S, each)
    ]
    if len(late) > _MOST_LATE:
        yield f'{len(late)} of {len(crashes)} crashes were late'


def check_recovery(book: Book, since: float) -> Iterator[str]:
    """Yield it if too few calls were served after the faults."""
    calls = [each for each in book.calls if since < each.sent and each.ended]
    lost = [each for each in calls if each.status != 200 or not each.whole]
    if len(lost) > (1 - _LEAST_SERVED) * len(calls) or not calls:
        yield (
            f'{len(lost)} of {len(calls)} calls not served after the faults\n'
            f'{describe(lost)}'
        )
