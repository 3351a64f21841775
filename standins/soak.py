"""A randomized soak of real gateway processes, with faults from outside.

    python -m standins.soak --seed 7 --seconds 60

Gateways, a store and upstreams run on the loopback interface, each link with
a proxy between. Faults are drawn from the seed and overlap. What callers and
upstreams see is checked against the promises of docs/PROMISES.md. The exit
code is 1 if one was broken; the report then has a timeline.
"""

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from pathlib import Path

from standins.platform_cluster import (
    GatewayProcess,
    PlatformCluster,
    configuration,
)
from standins.soak_book import Book, Extras, timeline
from standins.soak_callers import start_callers
from standins.soak_checks import (
    History,
    Span,
    check_backpressure,
    check_configuration,
    check_crashes,
    check_drains,
    check_evacuations,
    check_recovery,
    check_retries,
    check_stops,
)
from standins.soak_extras import (
    PLANNED_WORK,
    chosen_extras,
    crash_by_prompts,
    crash_upstreams,
)
from standins.soak_proxy import SOUND, Link, SoakProxy
from standins.soak_upstreams import SoakUpstream

_GATEWAYS = 3
_UPSTREAMS = 4
# The data centres of the upstreams, in turn.
_SITES = ('z', 'y')
# After the last fault everything has to be served again by then.
_RECOVERY_S = 12
# A drained upstream gets nothing after this.
_DRAIN_S = 2.0
_LINKS = (
    Link(delay_s=0.03),
    Link(refuse=True),
    Link(reset=True, refuse=True),
    Link(silent=True),
    Link(one_way=True),
)
_MOODS = ('failing', 'full', 'hanging', 'breaking', 'wrong')
_OUTAGES = ('busy', 'cut', 'silent')


@dataclass
class _Host:
    """A host of the soak: its process and its link to the store."""

    ip: str
    store_link: SoakProxy
    process: GatewayProcess | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def front(self) -> int:
        return self.process.front


class Soak:
    """One run."""

    def __init__(self, seed: int, seconds: float, folder: Path, extras: Extras):
        """Start everything, sound.

        Args:
          seed: Of all choices.
          seconds: How long faults are injected.
          folder: Where logs go.
          extras: What goes wrong besides.
        """
        self.book = Book()
        self._extras = extras
        self._seed = seed
        self._seconds = seconds
        self._random = random.Random(seed)
        self._cluster = PlatformCluster(folder)
        self.store = self._cluster.store
        self._version = 0
        self._threads: list[threading.Thread] = []
        self._problems: list[str] = []
        self.history = History(self.book)
        self._count = 0
        self.upstreams = [self._new_upstream() for _one in range(_UPSTREAMS)]
        # All that have an entry or had one, also those that drain.
        self.registered = list(self.upstreams)
        self._publish()
        self.hosts = [
            _Host(f'127.0.0.{2 + n}', SoakProxy(self._cluster.store.port))
            for n in range(_GATEWAYS)
        ]
        for host in self.hosts:
            self._start(host)
        for host in self.hosts:
            host.process.wait_ready()
        self.start = time.monotonic()

    def run(self) -> list[str]:
        """Play the faults.

        Returns:
          The broken promises, a line each.
        """
        callers = start_callers(
            self.book, self._seed, self.hosts, self._path, self._extras
        )
        until = time.monotonic() + self._seconds
        for extra in chosen_extras(self._extras):
            self._begin(extra, until)
        while time.monotonic() < until:
            time.sleep(self._random.uniform(0.1, 1.2))
            self._fault()
        for thread in self._threads:
            thread.join()
        self._mend()
        recovered = time.monotonic() + _RECOVERY_S
        # In the calm after the faults no crash can be put down to them.
        if self._extras.crashers:
            crash_upstreams(self, random.Random(self._seed), recovered)
        if self._extras.prompts:
            crash_by_prompts(self, random.Random(self._seed), recovered)
        time.sleep(max(recovered - time.monotonic(), 0) + 2)
        for host in self.hosts:
            self._problems.extend(
                check_configuration(host.process, self._version, self.book)
            )
        for caller in callers:
            caller.stop()
        return [
            *self._problems,
            *check_recovery(self.book, recovered),
            *check_stops(self.history),
            *check_drains(self.history, _DRAIN_S),
            *check_crashes(self.history),
            *check_backpressure(self.history, self.registered),
            *check_evacuations(self.history, self.registered),
            *check_retries(self.book, self.registered),
            *self.book.broken(),
        ]

    def close(self) -> None:
        """End all that was started."""
        self._cluster.close()
        for upstream in self.upstreams:
            upstream.close()
        for host in self.hosts:
            host.store_link.close()

    def _path(self, kind: str) -> str:
        return {'plain': '/x/', 'once': '/o/', 'stream': '/s/'}[kind]

    def _new_upstream(self) -> SoakUpstream:
        self._count += 1
        return SoakUpstream(
            f'i-{self._count}',
            'plain',
            self.book,
            self._cluster.store,
            _SITES[self._count % len(_SITES)],
        )

    def _start(self, host: _Host) -> None:
        seeds = [f'127.0.0.{2 + n}' for n in range(_GATEWAYS)]
        host.process = self._cluster.start(
            host.ip, host.store_link.port, [ip for ip in seeds if ip != host.ip]
        )

    def _publish(self) -> None:
        self._version += self._random.randrange(1, 5)
        self.publish_again()

    def publish_again(self) -> None:
        """Write the newest configuration, as it was."""
        fields = configuration(self._version, 'plain', prefixes=('/x/',))
        once = configuration(
            1, 'plain', prefixes=('/o/',), kind='non_idempotent'
        )
        stream = configuration(
            1,
            'plain',
            prefixes=('/s/',),
            kind='streaming',
            streamResume=True,
        )
        marker = configuration(1, 'plain', prefixes=(f'/v{self._version}/',))
        for other in (once, stream, marker):
            fields['routes'].extend(other['routes'])
        self._cluster.store.put('keyed.op', 'config', fields)

    def _fault(self) -> None:
        """Draw a fault and let it pass in a thread of its own."""
        kinds = PLANNED_WORK if self._extras.rolls else tuple(_FAULTS)
        kind = self._random.choice(kinds)
        length = self._random.uniform(0.5, 4)
        # Drawn here: threads must not share the random choices.
        source = random.Random(self._random.random())
        self.book.note(f'{kind} {length:.1f}s')
        thread = threading.Thread(
            target=self._play, args=(kind, source, length)
        )
        self._threads.append(thread)
        thread.start()

    def _play(self, kind: str, source: random.Random, length: float) -> None:
        start = time.monotonic()
        try:
            _FAULTS[kind](self, source, length)
        except Exception as error:
            self._problems.append(f'the soak itself failed: {error!r}')
        self.history.faults.append(Span(kind, start, time.monotonic()))

    def _store_outage(self, source: random.Random, length: float) -> None:
        self._cluster.store.outage = source.choice(_OUTAGES)
        time.sleep(length)
        if source.random() < 0.5:
            self._cluster.store.forget('keyed.op')
            self._cluster.store.forget('keyed.servers')
        self._cluster.store.outage = None

    def _store_link(self, source: random.Random, length: float) -> None:
        link = source.choice(self.hosts).store_link
        link.change(source.choice(_LINKS))
        time.sleep(length)
        link.change(SOUND)

    def _upstream_link(self, source: random.Random, length: float) -> None:
        proxy = source.choice(self.upstreams).proxy
        proxy.change(source.choice(_LINKS))
        time.sleep(length)
        proxy.change(SOUND)

    def _upstream_mood(self, source: random.Random, length: float) -> None:
        upstream = source.choice(self.upstreams)
        upstream.mood = source.choice(_MOODS)
        time.sleep(length)
        upstream.mood = 'sound'

    def _replace_upstream(self, source: random.Random, length: float) -> None:
        place = source.randrange(_UPSTREAMS)
        old = self.upstreams[place]
        self.upstreams[place] = self._new_upstream()
        self.registered.append(self.upstreams[place])
        old.register('draining')
        self.history.drains.append((time.monotonic(), old))
        time.sleep(_DRAIN_S + length)
        old.leave()
        time.sleep(1)
        old.close()

    def _stop(self, source: random.Random, _length: float) -> None:
        host = source.choice(self.hosts)
        with host.lock:
            start = time.monotonic()
            host.process.terminate()
            code = host.process.process.wait(20)
            self.history.stops.append(Span(host.ip, start, time.monotonic()))
            if code:
                self._problems.append(f'{host.ip} stopped with {code}')
            self._start(host)
            host.process.wait_ready()
            self._upset(host, start)

    def _kill(self, source: random.Random, length: float) -> None:
        host = source.choice(self.hosts)
        with host.lock:
            start = time.monotonic()
            host.process.kill()
            time.sleep(length / 4)
            self._start(host)
            host.process.wait_ready()
            self._upset(host, start)

    def _freeze(self, source: random.Random, length: float) -> None:
        host = source.choice(self.hosts)
        with host.lock:
            start = time.monotonic()
            host.process.process.send_signal(signal.SIGSTOP)
            time.sleep(length)
            host.process.process.send_signal(signal.SIGCONT)
            self._upset(host, start)

    def _upset(self, host: _Host, start: float) -> None:
        span = Span(host.ip, start, time.monotonic())
        self.history.upsets.append(span)

    def _reload(self, source: random.Random, _length: float) -> None:
        host = source.choice(self.hosts)
        with host.lock:
            host.process.process.send_signal(signal.SIGHUP)

    def _new_configuration(
        self, _source: random.Random, _length: float
    ) -> None:
        self._publish()

    def _begin(self, extra: Callable[..., None], until: float) -> None:
        """Run an extra, with choices of its own: a seed's others stay."""
        thread = threading.Thread(
            target=extra, args=(self, random.Random(self._seed), until)
        )
        self._threads.append(thread)
        thread.start()

    def _mend(self) -> None:
        """Take all faults away; a fault's own end may have been overlapped."""
        self._cluster.store.outage = None
        for host in self.hosts:
            host.store_link.change(SOUND)
        for upstream in self.upstreams:
            upstream.proxy.change(SOUND)
            upstream.mood = 'sound'
        self.book.note('all faults are over')
        self._publish()


_FAULTS = {
    'store outage': Soak._store_outage,
    'store link': Soak._store_link,
    'upstream link': Soak._upstream_link,
    'upstream mood': Soak._upstream_mood,
    'replace upstream': Soak._replace_upstream,
    'stop': Soak._stop,
    'kill': Soak._kill,
    'freeze': Soak._freeze,
    'reload': Soak._reload,
    'configuration': Soak._new_configuration,
}


def soak(
    seed: int, seconds: float, folder: Path, extras: Extras = Extras()
) -> tuple[list[str], str]:
    """Run once.

    Args:
      seed: Of all choices.
      seconds: How long faults are injected.
      folder: Where logs go.
      extras: What goes wrong besides.

    Returns:
      The broken promises and the timeline.
    """
    run = Soak(seed, seconds, folder, extras)
    try:
        broken = run.run()
        return broken, timeline(run.book, run.start)
    finally:
        run.close()


def main() -> int:
    """Run by hand; see the module's text."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--folder', type=Path, default=None)
    kinds = [each.name for each in fields(Extras)]
    for kind in kinds:
        parser.add_argument(f'--{kind}', action='store_true')
    chosen = parser.parse_args()
    folder = chosen.folder or Path(tempfile.mkdtemp(prefix='soak-'))
    folder.mkdir(parents=True, exist_ok=True)
    extras = Extras(**{kind: getattr(chosen, kind) for kind in kinds})
    broken, picture = soak(chosen.seed, chosen.seconds, folder, extras)
    sys.stdout.write(f'{picture}\n')
    for line in broken:
        sys.stdout.write(f'BROKEN {line}\n')
    sys.stdout.write(f'seed {chosen.seed}: {len(broken)} broken, {folder}\n')
    return int(bool(broken))


if __name__ == '__main__':
    sys.exit(main())
