"""A small deployment on loopback addresses, for the scripts of this review.

The gateways and the rank agents are the project's own programs, started as
processes with the commands of the deploy file. The platform's store is the
project's stand-in; the ranks of one group and the clients are simulated here.

A rank follows the users' pages: a slot for each stream, a first event after
the prompt was read, then one event after the other. If a rank crashes, its
connections are reset and its port is closed. The other ranks stall for
`stall_ms`; then running streams are cut, requests that have not begun get 503
with `Not-Executed`, and so do new ones, until the rank has started again and
the group has formed in a new epoch.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import h11

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.platform_store import PlatformStore  # noqa: E402

HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 3.0
DRAIN_MS = 2000
STALL_S = 1.5
FORM_S = 0.6
SETS = 4
EXPERTS = 64
PLACES = 17
SLOTS = 6
QUEUE = 24
METRICS_PORT = 9464
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
HOST = 'ficu95.example'
PREFIX = '/lohu930/'
BOUNDS = {
    'seedLagS': 3,
    'reuseDelayS': 2,
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'syncS': 4,
    'drainMs': DRAIN_MS,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'stretchMaxMs': 5000,
    'retryRatio': 0.2,
    'retryWindowS': 10,
    'retryAllowance': 88,
    'recoveryS': 12,
    'eventLatencyMs': 120,
    'retryAfterS': 0,
    'stall_ms': 1500,
    'fencingRequired': False,
}
ENGINE = {
    'slots': SLOTS,
    'kvTokenCapacity': 140000,
    'kvBytes': 70272,
    'linkMbps': 180000.0,
    'stride': 4,
    'models': [{'name': 'm'}],
    'step_ms': 4.55,
    'per_seq_ms': 1.81,
    'context_per_k': 0.0366,
    'read_per_s': 61400.0,
    'pairs_per_m': 0.525,
    'chunk': 512,
    'report_lag_ms': 200.0,
    'usual': {'prompt': 835, 'answer': 97},
    'sets': SETS,
    'experts': EXPERTS,
    'placements': PLACES,
    'spare': 2,
    'expertMb': 2500.0,
    'expertShare': 0.85,
    'form_ms': FORM_S * 1000,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._since = time.monotonic()

    def now(self):
        return time.monotonic() - self._since

    def line(self, text):
        self._file.write(f'{self.now():9.3f}  {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


def configuration(version, services, routes):
    """A configuration of the operator, as the pages' example writes it."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{prefix.strip("/")}',
                'host': HOST,
                'pathPrefix': prefix,
                'kind': 'streaming',
                'timeoutMs': 8000,
                'targetLatencyMs': 502,
                'priority': 1,
                'service': service,
                'maxAttempts': 2,
                'anonymous': False,
                'sessionAffinity': True,
                'streamResume': True,
                'targetGapMs': 120,
            }
            for prefix, service in routes.items()
        ],
        'services': [
            {
                'name': name,
                'healthCheck': '/health',
                'maxConnections': 248,
                'protocol': 'h1',
                'tls': False,
                'engine': ENGINE,
            }
            for name in services
        ],
        'limits': {
            'headerBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }


@dataclass
class Arrival:
    """A request that has reached a rank."""

    at: float
    attempt: str
    rank: str
    kind: str
    begun: float | None = None
    ended: str = ''


class Rank:
    """One rank: a server that starts, crashes and starts again."""

    def __init__(self, group, number, ip):
        self.group = group
        self.number = number
        self.ip = ip
        self.port = 0
        self.id = ''
        self.born = 0
        self.sequence = 0
        self.up = False
        self._counts = {'running': 0, 'waiting': 0}
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = None
        self._writers = set()
        self._dark = None
        self._silent = []

    @property
    def name(self):
        return f'{self.group.service}/{self.number}'

    async def start(self):
        if self._dark is not None:
            self._dark.close()
            self._dark = None
        self.id = f'i-{random.randrange(16**8):08x}'
        self.born = int(time.time() * 1000)
        self._counts = {'running': 0, 'waiting': 0}
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.up = True
        self.write_entry()

    def write_entry(self):
        self.sequence += 1
        self.group.site.store.put(
            'keyed.servers',
            self.id,
            {
                'service': self.group.service,
                'address': f'{self.ip}:{self.port}',
                'zone': 'ruwi-hall',
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'coldRemainingMs': 0,
                'stage': 'unified',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    def crash(self):
        """End like a process: the port is closed, connections are reset.

        A dark rank ends like a host without power instead: nobody answers, on
        open connections and on new ones.
        """
        gone = self.id
        self.up = False
        self._server.close()
        if self.group.site.dark:
            self._dark = DarkPort(self.ip, self.port)
            self._silent.extend(self._writers)
        else:
            for writer in list(self._writers):
                reset(writer)
        self._writers.clear()
        loop = asyncio.get_running_loop()
        # The store removes the entry after three silent heartbeats.
        loop.call_later(
            3 * HEARTBEAT_S,
            lambda: self.group.site.store.put('keyed.servers', gone, None),
        )

    def close(self):
        if self._server is not None:
            self._server.close()
        if self._dark is not None:
            self._dark.close()
        for writer in self._silent:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                continue
        except (OSError, EOFError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            if writer not in self._silent:
                writer.close()

    async def _serve_one(self, reader, writer):
        http = h11.Connection(h11.SERVER)
        head = None
        body = b''
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                received = await reader.read(65536)
                if not received and head is None:
                    return False
                http.receive_data(received)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        headers = {n.decode(): v.decode() for n, v in head.headers}
        target = head.target.decode()
        if target == '/-/report':
            return await self._send(writer, 200, self._report())
        if target.startswith('/-/picked'):
            return await self._send(writer, 200, self._picked('lists' in target))
        if target == '/-/order':
            return await self._send(writer, 409, {})
        if target == '/health':
            return await self._send(writer, 200, {})
        await self._stream(reader, writer, headers)
        return False

    async def _send(self, writer, status, fields, extra=()):
        body = json.dumps(fields).encode()
        lines = [
            f'HTTP/1.1 {status} X',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
            *extra,
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await writer.drain()
        return True

    async def _reject(self, writer, headers, status, reason, arrival):
        arrival.ended = f'{status} {reason}'
        lines = [f'Attempt-Id: {headers.get("attempt-id", "")}']
        if status == 503:
            lines.append('Not-Executed: 1')
        lines.append(f'Instance-Id: {self.id}')
        await self._send(writer, status, {}, lines)

    async def _stream(self, reader, writer, headers):
        site = self.group.site
        attempt = headers.get('attempt-id', '')
        arrival = Arrival(
            site.record.now(), attempt, self.name, site.kind_of(headers)
        )
        site.arrivals.append(arrival)
        try:
            await self._run(reader, writer, headers, arrival)
        except OSError:
            arrival.ended = arrival.ended or 'the gateway left'
        finally:
            begun = '' if arrival.begun is None else f'{arrival.begun:.3f}'
            site.record.line(
                f'rank {self.name} {arrival.kind} {attempt}'
                f' reached {arrival.at:.3f} begun {begun or "-"}'
                f' end: {arrival.ended}'
            )

    async def _run(self, reader, writer, headers, arrival):
        group = self.group
        if headers.get('expect-instance', self.id) != self.id:
            await self._reject(writer, headers, 421, 'other instance', arrival)
            return
        if group.broken:
            await self._reject(writer, headers, 503, 'group broken', arrival)
            return
        if self._counts['waiting'] >= QUEUE:
            await self._reject(writer, headers, 503, 'full', arrival)
            return
        life = self.id
        gone = asyncio.ensure_future(reader.read(1))
        counts = self._counts
        slots = self._slots
        counts['waiting'] += 1
        try:
            await slots.acquire()
        finally:
            counts['waiting'] -= 1
        counts['running'] += 1
        try:
            await self._generate(writer, headers, arrival, gone, life)
        finally:
            counts['running'] -= 1
            slots.release()
            gone.cancel()

    async def _generate(self, writer, headers, arrival, gone, life):
        group, site = self.group, self.group.site
        epoch = group.epoch
        await asyncio.sleep(site.prompt_s)
        runs = await group.passes_run(epoch)
        if self._has_ended(life):
            arrival.ended = 'crashed'
            return
        if not runs:
            await self._reject(writer, headers, 503, 'group broke', arrival)
            return
        if gone.done():
            arrival.ended = 'the gateway left'
            return
        arrival.begun = site.record.now()
        if site.crashes(headers):
            arrival.ended = 'the rank crashes'
            group.rank_crashed(self)
            return
        lines = [
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {headers.get("attempt-id", "")}',
            f'Response-Seal: {self.id}.seal',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, site.events + 1):
            event = f'id: {number}\ndata: {arrival.attempt}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
            await asyncio.sleep(site.gap_s)
            runs = await group.passes_run(epoch)
            if self._has_ended(life):
                arrival.ended = 'crashed'
                return
            if not runs:
                arrival.ended = 'cut with its group'
                reset(writer)
                return
            if gone.done():
                arrival.ended = 'the gateway left'
                return
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        arrival.ended = 'complete'

    def _has_ended(self, life):
        return not self.up or self.id != life

    def _report(self):
        group = self.group
        return {
            'born': self.born,
            'stage': 'unified',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queueDepth': self._counts['waiting'],
            'activeRequests': self._counts['running'],
            'kvUsed': 0,
            'kvTotal': 140000,
            'handles': 0,
            'group': {
                'name': group.name,
                'epoch': group.epoch,
                'rank': self.number,
                'state': 'broken' if group.broken else 'open',
            },
            'size': len(group.ranks),
            'step': group.step,
            'mapping': 0,
            'preloaded': None,
            'armed': None,
            'held': None,
            'pace': 1.0,
        }

    def _picked(self, lists):
        group = self.group
        common = {'step': group.step, 'epoch': group.epoch, 'born': self.born}
        if not lists:
            return {**common, 'counts': [0] * (SETS * EXPERTS)}
        own = [
            each
            for each in range(EXPERTS)
            if each % len(group.ranks) == self.number
        ]
        mapping = {'version': 0, 'experts': [own] * SETS}
        return {**common, 'mapping': mapping, 'preloaded': None}


class DarkPort:
    """A port on which connections are neither accepted nor refused.

    Its accept queue is full, so that the kernel drops further attempts.
    """

    def __init__(self, ip, port):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, port))
        self._listener.listen(0)
        self._fillers = []
        for _number in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((ip, port))
            self._fillers.append(filler)

    def close(self):
        self._listener.close()
        for filler in self._fillers:
            filler.close()


class RankGroup:
    """The ranks of one service, which run each pass together."""

    def __init__(self, site, service, ips):
        self.site = site
        self.service = service
        self.name = f'g-{service}'
        self.epoch = 1
        self.step = 0
        self.broken = False
        self.stalled = False
        self.crash_times = []
        self.ranks = [Rank(self, n, ip) for n, ip in enumerate(ips)]

    async def start(self):
        for rank in self.ranks:
            await rank.start()

    async def passes_run(self, epoch):
        """Wait while the group stalls; return whether it still runs."""
        while self.stalled and self.epoch == epoch and not self.broken:
            await asyncio.sleep(0.01)
        self.step += 1
        return self.epoch == epoch and not self.broken

    def rank_crashed(self, rank):
        self.site.record.line(f'crash of rank {rank.name}')
        self.crash_times.append(self.site.record.now())
        rank.crash()
        asyncio.ensure_future(self._restart(rank))
        if not self.stalled and not self.broken:
            self.stalled = True
            asyncio.ensure_future(self._give_up())

    async def _give_up(self):
        await asyncio.sleep(STALL_S)
        self.broken = True
        self.stalled = False
        self.site.record.line(f'group {self.name} is broken')
        while not all(each.up for each in self.ranks):
            await asyncio.sleep(0.02)
        await asyncio.sleep(FORM_S)
        self.epoch += 1
        self.broken = False
        self.site.record.line(f'group {self.name} opens, epoch {self.epoch}')

    async def _restart(self, rank):
        await asyncio.sleep(self.site.back_s)
        await rank.start()


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
            )
        except OSError:
            return
    writer.transport.abort()


@dataclass
class Asked:
    """A client's request and what the client has seen of it."""

    attempt: str
    kind: str
    sent: float
    status: int | None = None
    first_event: float | None = None
    events: list = field(default_factory=list)
    complete: bool = False


class Site:
    """All parts of the deployment, and the clients' requests."""

    def __init__(self, folder, record, services=('huvo11a',), ranks=4):
        self.record = record
        self.arrivals = []
        self.asked = []
        self.prompt_s = 0.15
        self.gap_s = 0.05
        self.events = 12
        self.back_s = 2.0
        # Whether ranks that crash go dark.
        self.dark = False
        # After how long without an event a client leaves its stream.
        self.patience_s = None
        self.crashes = lambda headers: False
        self.kind_of = lambda headers: 'sound'
        self.store = PlatformStore()
        self._folder = folder
        self._processes = []
        self._net, self._reserved = free_network()
        self.gateways = [f'127.{self._net}.1.{n}' for n in (1, 2, 3)]
        self._ports = free_ports(self.gateways)
        self.groups = [
            RankGroup(
                self,
                service,
                [f'127.{self._net}.{10 + at}.{n + 1}' for n in range(ranks)],
            )
            for at, service in enumerate(services)
        ]
        self._tasks = []

    async def start(self, table):
        self.store.put('keyed.op', 'config', table)
        for group in self.groups:
            await group.start()
        self._tasks.append(asyncio.ensure_future(self._heartbeats()))
        for group in self.groups:
            for rank in group.ranks:
                self._spawn(rank.ip, 'rank', app=f'{rank.ip}:{rank.port}')
        for ip in self.gateways:
            self._spawn(ip, 'entry', str(METRICS_PORT))
        until = time.monotonic() + 20
        for ip in self.gateways:
            while not await self._is_ready(ip):
                if time.monotonic() > until:
                    raise CannotRun(f'gateway {ip} is not ready')
                await asyncio.sleep(0.05)
        self.record.line('all gateways are ready')

    async def stop(self):
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
        for task in self._tasks:
            task.cancel()
        for group in self.groups:
            for rank in group.ranks:
                rank.close()
        self.store.close()
        self._reserved.close()
        # Lets the closed connections end before the loop does.
        await asyncio.sleep(0.1)

    def check_alive(self):
        if any(each.poll() is not None for each in self._processes):
            raise CannotRun('a process has ended by itself')

    async def ask(self, kind, prompt, path=PREFIX, body=b'', tokens='835,48'):
        """Send one client attempt to a gateway that the platform chooses."""
        attempt = f'{random.randrange(16**16):016x}'
        asked = Asked(attempt, kind, self.record.now())
        self.asked.append(asked)
        ip = random.choice(self.gateways)
        headers = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Model', 'm'),
            ('Token-Count', tokens),
            ('Prompt-Prefix', prompt),
            ('Deadline-Ms', '8040'),
            ('Authorization', f'Bearer {KEY}'),
        ]
        if body:
            headers.append(('Content-Length', str(len(body))))
        try:
            await asyncio.wait_for(
                self._exchange(ip, path, headers, body, asked), 8.1
            )
        except (OSError, h11.ProtocolError, asyncio.TimeoutError):
            pass
        self.record.line(
            f'client {kind} {attempt} sent {asked.sent:.3f} to {ip}:'
            f' status {asked.status}, {len(asked.events)} events,'
            f' {"complete" if asked.complete else "not complete"}'
        )
        return asked

    async def _exchange(self, ip, path, headers, body, asked):
        reader, writer = await asyncio.open_connection(ip, self._ports[0])
        http = h11.Connection(h11.CLIENT)
        head = h11.Request(method='POST', target=path, headers=headers)
        parts = [http.send(head)]
        if body:
            parts.append(http.send(h11.Data(data=body)))
        parts.append(http.send(h11.EndOfMessage()) or b'')
        writer.write(b''.join(parts))
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    received = await asyncio.wait_for(
                        reader.read(65536), self.patience_s
                    )
                    http.receive_data(received)
                elif isinstance(event, h11.Response):
                    asked.status = event.status_code
                elif isinstance(event, h11.Data):
                    if asked.status == 200:
                        asked.first_event = (
                            asked.first_event or self.record.now()
                        )
                        asked.events.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    asked.complete = True
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    return
        finally:
            writer.close()

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for group in self.groups:
                for rank in group.ranks:
                    if rank.up:
                        rank.write_entry()

    async def _is_ready(self, ip):
        try:
            reader, writer = await asyncio.open_connection(ip, self._ports[1])
            writer.write(b'GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in line

    def _spawn(self, ip, role, *words, app=None):
        front, readiness, control, inner = self._ports
        settings = {
            'node': f'{role}-{ip}',
            'role': role,
            'machineClass': 'edge' if role == 'entry' else 'side',
            'serves': ['edge', 'control_plane'] if app is None else ['side'],
            'ip': ip,
            'zone': 'ruwi-hall',
            'region': 'muscat',
            'zones': {'ruwi-hall': 'muscat'},
            'listen': {
                'front': f'{ip}:{front}',
                'readiness': f'{ip}:{readiness}',
                'control': f'{ip}:{control}',
            }
            if app is None
            else {},
            'internalPorts': [inner, inner],
            'seeds': [f'{each}:{control}' for each in self.gateways],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.817,
                'cpuCores': 1,
                'memoryMb': 300,
                'maxFds': 4200,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': int(HEARTBEAT_S * 1000),
            'bounds': BOUNDS,
            'platform': {
                'address': f'127.0.0.1:{self.store.port}',
                'form': 'log',
                'writesPerS': 400,
                'readsPerS': 2000,
                'parts': 12,
                'keep_s': 300,
            },
        }
        if app is not None:
            settings['app'] = app
        path = Path(self._folder) / f'{role}-{ip}.json'
        path.write_text(json.dumps(settings))
        log = open(path.with_suffix('.log'), 'w')
        self._processes.append(
            subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'linnetwind.platform',
                    role,
                    *words,
                ],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'LINNETWIND_CONFIG': str(path),
                },
                stdout=log,
                stderr=log,
            )
        )

    def logged(self, event):
        """The gateways' log lines of one event."""
        lines = []
        for path in Path(self._folder).glob('entry-*.log'):
            for text in path.read_text().splitlines():
                if f'"event": "{event}"' in text:
                    lines.append(json.loads(text))
        return lines


def free_network():
    """The second number of loopback addresses that nobody uses here.

    Also returns a bound socket that keeps other scripts from them.
    """
    for _try in range(50):
        net = random.randrange(20, 250)
        reserved = socket.socket()
        try:
            reserved.bind((f'127.{net}.255.1', METRICS_PORT))
            for at in (1, 2, 3):
                with socket.socket() as sock:
                    sock.bind((f'127.{net}.1.{at}', METRICS_PORT))
        except OSError:
            reserved.close()
            continue
        return net, reserved
    raise CannotRun('no free loopback addresses')


def free_ports(ips):
    """Four ports that are free on all gateways."""
    for _try in range(200):
        base = random.randrange(12000, 30000)
        socks = []
        try:
            for ip in ips:
                for port in range(base, base + 4):
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((ip, port))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        return tuple(range(base, base + 4))
    raise CannotRun('no free ports')


def play(main):
    """Run a case; exit with 0, 1 or 2."""
    here = Path(sys.argv[0]).resolve().parent
    record = Record(here / 'record.txt')
    code = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            if os.environ.get('KEEP_LOGS'):
                folder = os.environ['KEEP_LOGS']
            code = asyncio.run(main(folder, record))
    except CannotRun as error:
        record.line(f'the case could not run: {error}')
    except Exception as error:
        # Exit code 1 is kept for a broken rule.
        record.line(f'the case could not run: {error!r}')
    record.line(f'exit {code}')
    record.close()
    sys.exit(code)
