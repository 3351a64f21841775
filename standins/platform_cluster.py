"""Gateway processes as the platform starts them, on the loopback interface."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from datetime import timedelta
from http.client import HTTPConnection
from pathlib import Path

from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.explanation import LogLine, read_lines
from standins.platform_store import PlatformStore

ROOT = Path(__file__).parent.parent
GRACE_S = 8
RETRY_TERMS = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
_START_TRIES = 300
_LOOKS = 400
_RESERVING_IP = '127.0.0.9'


def configuration(version, *services, prefixes=('/x/',), **route):
    """Return a configuration in the platform's format."""
    fields = {
        'host': 'a.example',
        'kind': 'idempotent',
        'timeoutMs': 6000,
        'targetLatencyMs': 500,
        'priority': 1,
        'service': services[0],
        'maxAttempts': 2,
        'anonymous': True,
        **route,
    }
    return {
        'version': version,
        'routes': [
            {**fields, 'name': prefix, 'pathPrefix': prefix}
            for prefix in prefixes
        ],
        'services': [
            {'name': name, 'healthCheck': '/health', 'maxConnections': 90}
            for name in services
        ],
        'limits': {
            'headerBytes': 16_384,
            'maxBodyBytes': 65_536,
            'headerTimeoutMs': 2000,
            'idleTimeoutMs': 10_000,
        },
        'tenants': [],
    }


def entry_of(upstream, service='plain', state='ready', born=None):
    """Return an upstream's entry in the platform's format.

    `born` is left out if it is None, as on platforms that do not state it.
    """
    stated = {} if born is None else {'born': born}
    return {
        **stated,
        'service': service,
        'address': f'127.0.0.1:{upstream.port}',
        'zone': 'z',
        'version': 'v1',
        'slots': 6,
        'state': state,
        'coldRemainingMs': 0,
        'sequence': 1,
    }


class GatewayProcess:
    """One gateway process; `ip` is its host on the loopback interface."""

    def __init__(self, folder: Path, ip: str, store: int, ports, seeds=()):
        """Start the process.

        Args:
          folder: Where its settings file and log go.
          ip: The address of its host.
          store: The port of the platform's store.
          ports: The front, readiness and control port of all hosts.
          seeds: The addresses of other hosts.
        """
        self.ip = ip
        self.front, self.readiness, control = ports
        self.metrics_port = control + 2
        self.log = folder / f'{ip}.log'
        settings = {
            **_settings(f'edge-{ip}', ip, store, control),
            'listen': {
                'front': f'{ip}:{self.front}',
                'readiness': f'{ip}:{self.readiness}',
                'control': f'{ip}:{control}',
            },
            'seeds': [f'{seed}:{control}' for seed in seeds],
        }
        self._settings = settings
        self._control = control
        self.process = _spawn(
            self.log, settings, 'entry', str(self.metrics_port)
        )

    def change_seeds(self, seeds) -> None:
        """Write other seeds to the settings file."""
        changed = [f'{seed}:{self._control}' for seed in seeds]
        _write_settings(self.log, {**self._settings, 'seeds': changed})

    def is_ready(self) -> bool:
        """Ask as the platform does."""
        connection = HTTPConnection(self.ip, self.readiness, timeout=1)
        try:
            connection.request('GET', '/-/readiness')
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self) -> None:
        """Wait until the process takes callers."""
        for _try in range(_START_TRIES):
            if self.is_ready():
                return
            time.sleep(0.05)
        raise TimeoutError(self.log.read_text())

    def wait_listening(self) -> None:
        """Wait until the port for callers is open."""
        for _try in range(_START_TRIES):
            with suppress(OSError):
                socket.create_connection((self.ip, self.front), 1).close()
                return
            time.sleep(0.005)
        raise TimeoutError(self.log.read_text())

    def ask(self, path='/x/1', **headers):
        """Send a request on a new connection; return status, headers, body."""
        connection = HTTPConnection(self.ip, self.front, timeout=10)
        sent = {'Host': 'a.example', 'Attempt-Id': 'c', **headers}
        connection.request('GET', path, headers=sent)
        response = connection.getresponse()
        found = response.status, dict(response.getheaders()), response.read()
        connection.close()
        return found

    def metrics(self) -> str:
        """Fetch the metrics as the platform does."""
        connection = HTTPConnection(self.ip, self.metrics_port, timeout=5)
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
        connection.close()
        return text

    def events(self, name: str) -> list[dict]:
        """Return the log's events of a name."""
        # A killed process may leave half a line, to which the next one adds.
        read = read_lines(self.log.read_text().splitlines())
        lines = [each for each in read if isinstance(each, LogLine)]
        return [each.fields for each in lines if each.event == name]

    def wait_event(self, name: str) -> dict:
        """Wait for an event in the log."""
        for _try in range(_START_TRIES):
            found = self.events(name)
            if found:
                return found[0]
            time.sleep(0.05)
        raise TimeoutError(self.log.read_text())

    def terminate(self) -> None:
        """Ask the process to stop."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


class AgentProcess:
    """The agent process beside a rank."""

    def __init__(self, folder: Path, ip: str, store: int, ports, rank: str):
        """Start the process.

        Args:
          folder: Where its settings file and log go.
          ip: The address of its host.
          store: The port of the platform's store.
          ports: The front, readiness and control port of all hosts.
          rank: The address of the rank on its host.
        """
        settings = {
            **_settings(f'side-{ip}', ip, store, ports[-1]),
            'app': rank,
        }
        self.process = _spawn(folder / f'rank-{ip}.log', settings, 'rank')

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def _settings(name, ip, store, control):
    """Return what the settings files of all processes have."""
    return {
        'node': name,
        'zone': 'z',
        'ip': ip,
        'internalPorts': [control + 1, control + 1],
        'bounds': {
            'graceS': GRACE_S,
            'drainMs': 2000,
            'retryRatio': RETRY_TERMS.ratio,
            'retryWindowS': RETRY_TERMS.window.total_seconds(),
            'retryAllowance': RETRY_TERMS.allowance,
        },
        'platform': {'address': f'127.0.0.1:{store}'},
    }


def _write_settings(log, settings) -> Path:
    path = log.with_suffix('.json')
    path.write_text(json.dumps(settings))
    return path


def _spawn(log, settings, *arguments):
    path = _write_settings(log, settings)
    with log.open('a') as output:
        return subprocess.Popen(
            [sys.executable, '-m', 'linnetwind.platform', *arguments],
            cwd=ROOT,
            env={**os.environ, 'LINNETWIND_CONFIG': str(path)},
            stdout=output,
            stderr=output,
        )


class PlatformCluster:
    """A store and gateway processes."""

    def __init__(self, folder: Path):
        """Start the store."""
        self._folder = folder
        self.store = PlatformStore()
        self._reserved, self._ports = _reserve_ports()
        self._started: list[GatewayProcess | AgentProcess] = []

    def start(self, ip='127.0.0.1', store=None, seeds=()) -> GatewayProcess:
        """Start a gateway process on a host."""
        process = GatewayProcess(
            self._folder, ip, store or self.store.port, self._ports, seeds
        )
        self._started.append(process)
        return process

    def start_agent(self, ip: str, rank: str) -> AgentProcess:
        """Start the agent process beside a rank."""
        process = AgentProcess(
            self._folder, ip, self.store.port, self._ports, rank
        )
        self._started.append(process)
        return process

    def close(self) -> None:
        """Kill what was started."""
        for each in self._started:
            each.kill()
        self.store.close()
        self._reserved.close()


def until(condition) -> None:
    """Wait until a condition holds.

    Raises:
      TimeoutError: It does not.
    """
    for _try in range(_LOOKS):
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError


def _reserve_ports():
    """Return ports below those that the system gives to connections.

    Clusters of several tests may run at once, and their hosts share their
    addresses. A socket on an address of its own, open as long as the cluster,
    keeps others from the ports; without it callers of one soak were answered
    by the gateways of another.
    """
    with open('/proc/sys/net/ipv4/ip_local_port_range') as source:
        lowest = int(source.read().split()[0])
    first = 20_000 + os.getpid() % 300 * 40
    for base in range(first, min(lowest, first + 2000), 8):
        reserved = socket.socket()
        try:
            reserved.bind((_RESERVING_IP, base))
        except OSError:
            reserved.close()
            continue
        if all(_is_free(base + offset) for offset in range(5)):
            return reserved, (base, base + 1, base + 2)
        reserved.close()
    raise OSError('no free ports')


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True
