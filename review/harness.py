"""Stand-ins and processes for the cases: a store, workers, gateways, callers.

The store stand-in is the project's own. Workers and callers are small ones
that follow PROTOCOL.md. All addresses are loopback addresses of one random
block, so that several runs do not meet.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = 'desk.example'
FRONT, READY, CONTROL, METRICS = 8227, 8220, 8229, 9464
MESH = 7340
HEARTBEAT_S = 1.2
# A script may run for 120 seconds.
LIMIT_S = 105
BOUNDS = {
    'seedLagS': 3, 'reuseDelayS': 2, 'stableWindowMs': 3000, 'ackMs': 4000,
    'syncS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'stretchMaxMs': 5000,
    'revokeStrict': False, 'revokeMs': 5000, 'retryRatio': 0.2,
    'retryWindowS': 10, 'retryAllowance': 88, 'recoveryS': 12,
    'eventLatencyMs': 120, 'retryAfterS': 0, 'stall_ms': 1500,
    'fencingRequired': False,
}


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def say(self, text):
        line = f'{self.now():8.3f} s  {text}'
        with self._lock:
            self._file.write(line + '\n')
            self._file.flush()
        print(line, flush=True)


class Block:
    """Loopback addresses that nobody else uses at present."""

    def __init__(self):
        for _try in range(50):
            self._net = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
            if all(self._is_free(1, port) for port in (FRONT, READY, MESH)):
                return
        raise OSError('no free block of addresses')

    def ip(self, host):
        return f'{self._net}.{host}'

    def _is_free(self, host, port):
        with socket.socket() as sock:
            try:
                sock.bind((self.ip(host), port))
            except OSError:
                return False
        return True


class Cluster:
    """The store, and the project's processes as the deploy file starts them."""

    def __init__(self, record):
        self.record = record
        self.block = Block()
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = PlatformStore()
        self.processes = []
        self.workers = []
        self.starting = threading.Lock()
        self.is_closed = False

    def close(self):
        with self.starting:
            self.is_closed = True
        for worker in self.workers:
            worker.close()
        for process in self.processes:
            process.kill()
        self.store.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self, config):
        self.store.put('keyed.op', 'config', config)
        keys = {
            each['name']: len(each['apiKeys']) for each in config['tenants']
        }
        self.record.say(
            f'store: acknowledges configuration {config["version"]}, '
            f'keys by tenant {keys}'
        )
        return time.monotonic()

    def gateway(self, host, seeds):
        process = Gateway(self, host, seeds)
        self.processes.append(process)
        return process

    def agent(self, host, app):
        process = Agent(self, host, app)
        self.processes.append(process)
        return process


class Process:
    """One process of the project."""

    def __init__(self, cluster, host, arguments, settings):
        self.cluster = cluster
        self.ip = cluster.block.ip(host)
        self.name = settings['node']
        self._path = cluster.folder / f'{self.name}.json'
        self._path.write_text(json.dumps(settings))
        self.log = cluster.folder / f'{self.name}.log'
        self._arguments = arguments
        self.start()

    def start(self):
        # The commands of the deploy file; target/deps is on Python's path.
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['LINNETWIND_CONFIG'] = str(self._path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.cluster.starting, self.log.open('a') as output:
            if self.cluster.is_closed:
                return
            self.process = subprocess.Popen(
                ['python3', '-m', 'linnetwind.platform', *self._arguments],
                cwd=ROOT, env=environment, stdout=output, stderr=output,
            )
        self.cluster.record.say(f'{self.name}: started')

    def signal(self, number):
        self.cluster.record.say(
            f'{self.name}: gets {signal.Signals(number).name}'
        )
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def events(self, name):
        found = []
        for line in self.log.read_text(errors='replace').splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict) and fields.get('event') == name:
                found.append(fields)
        return found


class Gateway(Process):
    """A gateway on an entry host."""

    def __init__(self, cluster, host, seeds):
        ip = cluster.block.ip(host)
        settings = _settings(cluster, f'edge-{host}', ip, seeds)
        settings['machineClass'] = 'edge'
        settings['serves'] = ['edge', 'control_plane']
        settings['listen'] = {
            'front': f'{ip}:{FRONT}',
            'readiness': f'{ip}:{READY}',
            'control': f'{ip}:{CONTROL}',
        }
        super().__init__(cluster, host, ['entry', str(METRICS)], settings)

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ip, READY, timeout=1)
        try:
            connection.request('GET', '/-/readiness')
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self, timeout=30):
        until = time.monotonic() + timeout
        while not self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f'{self.name} is not ready')
            time.sleep(0.05)


class Agent(Process):
    """The agent beside a rank."""

    def __init__(self, cluster, host, app):
        ip = cluster.block.ip(host)
        settings = _settings(cluster, f'side-{host}', ip, [])
        settings['machineClass'] = 'side'
        settings['serves'] = ['side']
        settings['listen'] = {}
        settings['app'] = app
        super().__init__(cluster, host, ['rank'], settings)


def _settings(cluster, node, ip, seeds):
    return {
        'node': node, 'role': 'entry', 'ip': ip, 'zone': 'hall',
        'region': 'city', 'zones': {'hall': 'city'},
        'internalPorts': [MESH, MESH + 15],
        'seeds': [f'{cluster.block.ip(seed)}:{CONTROL}' for seed in seeds],
        'bootstrap': True, 'inFailureBudget': False,
        'limits': {
            'cpuShare': 0.817, 'cpuCores': 1, 'memoryMb': 300, 'maxFds': 4200,
            'linkMbps': 1000.0, 'diskMb': 0,
        },
        'dataDir': None, 'discovery': 'platform', 'entry': 'vip',
        'heartbeatMs': int(HEARTBEAT_S * 1000),
        'contracts': [
            'base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine',
            'stream', 'tenants', 'platform', 'experts',
        ],
        'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
        'bounds': BOUNDS,
        'platform': {
            'address': f'127.0.0.1:{cluster.store.port}', 'form': 'log',
            'writesPerS': 400, 'readsPerS': 2000, 'parts': 12, 'keep_s': 300,
        },
    }


def configuration(version, routes, services, tenants):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'headerBytes': 16_384, 'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 10_000,
        },
        'tenants': tenants,
    }


def route(name, prefix, service, **fields):
    return {
        'name': name, 'host': HOST, 'pathPrefix': prefix, 'service': service,
        'kind': 'idempotent', 'timeoutMs': 8000, 'targetLatencyMs': 500,
        'priority': 1, 'maxAttempts': 2, 'anonymous': False, **fields,
    }


class Worker:
    """A worker that runs what it gets and keeps connections open.

    `run(worker, handler, headers, body)` makes the answer; `calls` answers the
    paths below `/-/`, if the worker is a rank of a model.
    """

    def __init__(self, cluster, host, service, run, calls=None, port=0):
        self.record = cluster.record
        self.store = cluster.store
        self.ip = cluster.block.ip(host)
        self.id = f'i-{uuid.uuid4().hex[:8]}'
        self.service = service
        self.ran = []
        self._run = run
        self._calls = calls
        self._sequence = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._sockets = set()
        self.port = port
        self._serve()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    @property
    def is_closed(self):
        return self._stopped.is_set()

    def close(self):
        """End the process: nobody listens, all connections are reset."""
        self._stopped.set()
        # The listener goes first, as no connection outlives a process.
        listener = self._server.socket
        try:
            listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        listener.close()
        for sock in list(self._sockets):
            try:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                )
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass
        threading.Thread(target=self._server.shutdown, daemon=True).start()

    def note_run(self, headers, method, path):
        with self._lock:
            self.ran.append((headers.get('Attempt-Id'), headers))
        self.record.say(
            f'worker {self.id} runs {headers.get("Attempt-Id")} '
            f'({method} {path}, Tenant {headers.get("Tenant")})'
        )

    def _serve(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def setup(self):
                super().setup()
                self.connection.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )
                worker._sockets.add(self.connection)

            def finish(self):
                worker._sockets.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def do_GET(self):
                worker._answer(self)

            def do_POST(self):
                worker._answer(self)

            def log_message(self, *_args):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_args):
                pass

        self._server = Server((self.ip, self.port), Handler)
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _answer(self, handler):
        body = handler.rfile.read(int(handler.headers['Content-Length'] or 0))
        if handler.path.startswith('/-/') and self._calls is not None:
            status, fields = self._calls(handler.path, body)
            self.send(handler, status, json.dumps(fields).encode(), sealed=False)
            return
        if handler.path == '/health':
            self.send(
                handler, 200, b'', sealed=False, extra={'Instance-Id': self.id}
            )
            return
        expected = handler.headers.get('Expect-Instance')
        if expected not in (None, self.id):
            self.send(
                handler, 421, b'', sealed=False, extra={'Instance-Id': self.id}
            )
            return
        if handler.headers.get('Attempt-Id') is None:
            self.send(
                handler, 400, b'', sealed=False, extra={'Not-Executed': '1'}
            )
            return
        self._run(self, handler, handler.headers, body)

    def send(self, handler, status, body, sealed=True, extra=None):
        handler.send_response(status)
        if sealed:
            handler.send_header('Attempt-Id', handler.headers['Attempt-Id'])
            handler.send_header('Response-Seal', f'seal-{self.id}')
        for name, text in (extra or {}).items():
            handler.send_header(name, text)
        handler.send_header('Content-Length', str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def _beat(self):
        while not self._stopped.is_set():
            self._sequence += 1
            entry = {
                'service': self.service, 'address': self.address,
                'zone': 'hall', 'version': 'v1', 'slots': 6, 'state': 'ready',
                'coldRemainingMs': 0, 'sequence': self._sequence,
            }
            self.store.put('keyed.servers', self.id, entry)
            self._stopped.wait(HEARTBEAT_S)


def new_id():
    return uuid.uuid4().hex[:16]


class Caller:
    """A client's connection to one gateway, kept open between requests."""

    def __init__(self, record, gateway, timeout=20):
        self.record = record
        self.gateway = gateway
        self.timeout = timeout
        self.connection = None

    def ask(self, method, path, body=None, key=None, deadline_ms=8000, **more):
        """Send one request; return its id, status, headers and body.

        The status is None if the connection ended without a whole answer; the
        body then holds what had come.
        """
        attempt = new_id()
        headers = {
            'Host': HOST, 'Attempt-Id': attempt,
            'Deadline-Ms': str(deadline_ms),
            **{name.replace('_', '-'): text for name, text in more.items()},
        }
        if key is not None:
            headers['Authorization'] = f'Bearer {key}'
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.gateway.ip, FRONT, timeout=self.timeout
            )
        self.record.say(
            f'client sends {attempt} ({method} {path}, key {key}) '
            f'to {self.gateway.name}'
        )
        got = b''
        try:
            self.connection.request(method, path, body=body, headers=headers)
            response = self.connection.getresponse()
            while True:
                part = response.read1(65_536)
                if not part:
                    break
                got += part
            if response.length:
                raise http.client.IncompleteRead(got, response.length)
            response.close()
            status, fields = response.status, dict(response.getheaders())
            if fields.get('Connection') == 'close':
                self.close()
        except (OSError, http.client.HTTPException) as error:
            self.record.say(
                f'client gets no whole answer to {attempt}: {error!r} '
                f'after {len(got)} bytes'
            )
            self.close()
            return attempt, None, {}, got
        self.record.say(
            f'client gets {status} to {attempt}, {len(got)} bytes, '
            f'seal {fields.get("Response-Seal")}'
        )
        return attempt, status, fields, got

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def main(folder, play):
    """Play a case and exit with its result."""
    record = Record(folder)
    cluster = None

    def end(result):
        if cluster is not None:
            cluster.close()
        words = {
            HELD: 'rule held', BROKEN: 'rule broken', COULD_NOT_RUN: 'not run'
        }
        record.say(f'result: {words[result]}')
        os._exit(result)

    def give_up(*_signal):
        record.say('could not run: stopped, or out of time')
        end(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LIMIT_S)
    result = COULD_NOT_RUN
    try:
        cluster = Cluster(record)
        record.say(f'TROUBLE={int(TROUBLE)}')
        result = play(cluster)
    except Exception as error:  # The case could not be played to its end.
        record.say(f'could not run: {error!r}')
    end(result)
