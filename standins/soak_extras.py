"""What goes wrong in a soak besides the faults that every seed draws."""

import itertools
import random
import time
from collections.abc import Callable
from contextlib import suppress
from http.client import HTTPException

from standins.bad_messages import bad_entries
from standins.platform_cluster import entry_of
from standins.soak_book import BAD_PART, Call, Extras
from standins.soak_checks import Span

# The share of bad entries that stand beside the upstreams' own, and their keys.
_BESIDE = 0.5
_STRANGERS = 20
# What `rolls` draws from.
PLANNED_WORK = ('stop', 'stop', 'stop', 'reload', 'configuration')
# The share of those that leave; the others ask to back off.
_LEAVING = 0.3


def write_as_others(run, source: random.Random, until: float) -> None:
    """Write bad entries beside good ones and in place of them."""
    bad = bad_entries(entry_of(run.upstreams[0].proxy))
    while time.monotonic() < until:
        time.sleep(source.uniform(0.1, 1))
        content = source.choice(bad)
        upstream = source.choice(run.upstreams)
        if source.random() < _BESIDE:
            key = f'x-{source.randrange(_STRANGERS)}'
            run.store.put_bytes('keyed.servers', key, content)
        elif upstream.spoil(content):
            run.book.note(f'the entry of {upstream.instance} is spoilt')
            time.sleep(source.uniform(0.1, 0.6))
            upstream.write_again()


def start_again(run, source: random.Random, until: float) -> None:
    """Have one upstream after the other start again under its name."""
    while time.monotonic() < until:
        time.sleep(source.uniform(0.2, 2))
        upstream = source.choice(run.upstreams)
        start = time.monotonic()
        if upstream.start_again():
            run.book.note(f'{upstream.instance} starts again')
            span = Span('start again', start, time.monotonic())
            run.history.faults.append(span)


def come_back_older(run, source: random.Random, until: float) -> None:
    """Have the store lose its last seconds again and again.

    The operator and the upstreams then write again what they wrote; what the
    gateways wrote is theirs to write.
    """
    while time.monotonic() < until:
        copy = run.store.copy()
        time.sleep(source.uniform(0.5, 3))
        start = time.monotonic()
        run.store.outage = 'busy'
        time.sleep(source.uniform(0.1, 0.5))
        run.store.come_back_from(copy)
        run.publish_again()
        for upstream in list(run.registered):
            upstream.write_again()
        run.store.outage = None
        run.book.note('the store comes back older')
        run.history.faults.append(
            Span('comes back older', start, time.monotonic())
        )
        time.sleep(source.uniform(1, 4))


def press_back(run, source: random.Random, until: float) -> None:
    """Have upstreams ask to back off, or say that they leave and do.

    Their entries say nothing of either.
    """
    while time.monotonic() < until:
        time.sleep(source.uniform(0.2, 1))
        upstream = source.choice(run.upstreams)
        leaves = source.random() < _LEAVING
        what = 'leaves' if leaves else 'asks to back off'
        run.book.note(f'{upstream.instance} {what}')
        upstream.refusing = not leaves
        upstream.leaving = leaves
        time.sleep(source.uniform(2.5, 5))
        upstream.refusing = False
        if leaves:
            start = time.monotonic()
            upstream.start_again()
            span = Span('start again', start, time.monotonic())
            run.history.faults.append(span)


def evacuate_sites(run, source: random.Random, until: float) -> None:
    """Have an operator evacuate a data centre, and cancel that."""
    while time.monotonic() < until:
        time.sleep(source.uniform(0.5, 2))
        site = source.choice(run.upstreams).site
        run.store.put('keyed.op', f'evacuate/{site}', {})
        start = time.monotonic()
        run.book.note(f'{site} is evacuated')
        time.sleep(source.uniform(4, 8))
        span = Span(site, start, time.monotonic())
        run.history.evacuations.append(span)
        run.store.put('keyed.op', f'evacuate/{site}', None)


def crash_upstreams(run, source: random.Random, until: float) -> None:
    """Send a request that crashes upstreams through any gateway."""
    _send_crashers(run, source, until, lambda _number: ('/x/crash', {}))


def crash_by_prompts(run, source: random.Random, until: float) -> None:
    """Send requests that share a crashing prompt part through any gateway."""

    def request(number):
        prompt = f'first:40,{BAD_PART},other-{number % 3}:30,own-{number}:10'
        return f'/x/prompt-{number}', {'Prompt-Prefix': prompt}

    _send_crashers(run, source, until, request)


def _send_crashers(run, source, until, request) -> None:
    for number in itertools.count():
        if time.monotonic() > until:
            return
        host = source.choice(run.hosts)
        # Each try has an id of its own.
        name = f'crash-{number}'
        path, headers = request(number)
        call = Call(name, 'plain', path, host.ip, time.monotonic())
        run.book.take(call)
        with suppress(OSError, HTTPException):
            headers = {'Attempt-Id': name, **headers}
            call.status = host.process.ask(call.path, **headers)[0]
            # Read to its end; it is cut if this raises.
            call.whole = True
        time.sleep(source.uniform(0.1, 1))


def chosen_extras(extras: Extras) -> list[Callable[..., None]]:
    """Return what goes wrong besides, as functions of a run."""
    known = {
        start_again: extras.restarts,
        write_as_others: extras.strangers,
        come_back_older: extras.returns,
        crash_upstreams: extras.crashers,
        crash_by_prompts: extras.prompts,
        press_back: extras.backpressure,
        evacuate_sites: extras.evacuations,
    }
    return [extra for extra, chosen in known.items() if chosen]
