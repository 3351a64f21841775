"""Starts the stand-ins and the daemons of one deployment as processes.

Used by the demo and by the few tests that prove the wiring. Every process
that is started here is ended here, whatever happens in between.
"""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

CUSTOMER_KEY = 'key-of-monitoring'
IP = '127.0.0.1'
PORTS = (10_000, 32_000)
TAKEN: set[int] = set()
# Of its own: a test that seeds the module's choices gave the same ports to two
# test runs at once, and the daemons of one spoke to the log of the other.
_PORT_CHOICE = random.Random()


def free_ports(count: int) -> list[int]:
    """Return ports that are free now.

    They lie below the range from which the system takes the ports of
    outgoing connections, which could otherwise take one before its server
    has started.
    """
    found: list[int] = []
    while len(found) < count:
        port = _PORT_CHOICE.randrange(*PORTS)
        if port not in TAKEN and not reachable(port):
            TAKEN.add(port)
            found.append(port)
    return found


def ask(
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request and read the whole answer."""
    connection = http.client.HTTPConnection(IP, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        found = {key.lower(): text for key, text in response.getheaders()}
        return response.status, found, response.read()
    finally:
        connection.close()


def wait_until(check: Callable[[], bool], seconds: float = 20) -> None:
    """Wait for a condition; a time-out is an error."""
    deadline = time.monotonic() + seconds
    while not check():
        if time.monotonic() > deadline:
            raise TimeoutError(f'not reached: {check}')
        time.sleep(0.02)


@dataclass
class Node:
    """One process."""

    name: str
    port: int
    process: subprocess.Popen[bytes]
    log: Path

    @property
    def is_daemon(self) -> bool:
        """Return whether it is a daemon and no stand-in."""
        return 'linnetwind' in self.process.args  # type: ignore[operator]

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """End it without warning."""
        self.process.kill()
        self.process.wait()

    def fault(self, **faults: Any) -> None:
        """Switch faults of a stand-in."""
        ask(self.port, 'POST', '/faults', json.dumps(faults).encode())

    def lines(self) -> list[dict[str, Any]]:
        """Return the log lines of a daemon."""
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


@dataclass
class Cluster:
    """The processes of one deployment."""

    folder: Path
    deployment: dict[str, Any]
    nodes: dict[str, Node] = field(default_factory=dict)
    hosts: list[dict[str, Any]] = field(default_factory=list)
    settings: dict[str, list[str]] = field(default_factory=dict)
    drain_notice: float = 0.3
    poll: float = 0.2

    @property
    def log(self) -> Node:
        """Return the log service."""
        return self.nodes['log']

    def spawn(self, name: str, port: int, arguments: list[str]) -> Node:
        """Start one process."""
        path = self.folder / f'{name}.log'
        with path.open('ab') as output:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        node = Node(name, port, process, path)
        self.nodes[name] = node
        self.settings[name] = arguments
        return node

    def restart(self, name: str) -> Node:
        """Start a process again that has ended."""
        return self.spawn(name, self.nodes[name].port, self.settings[name])

    def start_standin(self, name: str, module: str, *extra: str) -> Node:
        """Start a stand-in on a free port."""
        port = free_ports(1)[0]
        arguments = [f'standins.{module}', '--port', str(port), *extra]
        node = self.spawn(name, port, arguments)
        wait_until(lambda: reachable(port))
        return node

    def platform(self) -> dict[str, Any]:
        """Return the settings that all daemons share."""
        return {
            'log_service': {'ip': IP, 'port': self.nodes['log'].port},
            'host_list': {'ip': IP, 'port': self.nodes['hosts'].port},
            'fleet_key_file': str(self.folder / 'fleet.key'),
            'poll_seconds': self.poll,
        }

    def start_platform(self) -> None:
        """Start the log service and the host list."""
        (self.folder / 'fleet.key').write_bytes(os.urandom(32))
        self.start_standin('log', 'log_service')
        self.start_standin('hosts', 'host_list')

    def start_upstreams(self) -> None:
        """Start every upstream of the deployment and its side daemon."""
        for service in self.deployment['services']:
            module = {'model': 'engine', 'plain': 'plain_service'}[
                service['kind']
            ]
            for upstream in service['upstreams']:
                self.start_standin(upstream['name'], module)
                self.start_side(upstream)
        self.put_hosts()

    def start_side(self, upstream: dict[str, Any]) -> Node:
        """Start the side daemon of one upstream."""
        port, metrics = free_ports(2)
        name = f'side-{upstream["name"]}'
        settings = {
            'name': name,
            'host': upstream['host'],
            'site': upstream['site'],
            'listen': {'ip': IP, 'port': port},
            'metrics': {'ip': IP, 'port': metrics},
            'platform': self.platform(),
            'drain_notice_seconds': self.drain_notice,
            'upstreams': [
                {
                    'name': upstream['name'],
                    'address': {
                        'ip': IP,
                        'port': self.nodes[upstream['name']].port,
                    },
                    **self.rank_engine(upstream['name']),
                }
            ],
        }
        self.hosts.append(
            {
                'name': upstream['host'],
                'site': upstream['site'],
                'address': {'ip': IP, 'port': port},
                'state': 'live',
            }
        )
        return self.start_daemon('side', name, port, settings)

    def rank_engine(self, upstream: str) -> dict[str, Any]:
        """Return where an upstream's rank takes orders, if it has one."""
        for group in self.deployment.get('groups', []):
            if upstream in group['ranks']:
                port = self.nodes[group['name']].port
                return {'rank_engine': {'ip': IP, 'port': port}}
        return {}

    def start_groups(self) -> None:
        """Start a rank group for each group of the deployment."""
        groups = self.deployment.get('groups', [])
        store = (
            self.start_standin('weights', 'weight_store') if groups else None
        )
        for group in groups:
            size = str(len(group['ranks']))
            options = ['--size', size, '--store', str(store.port)]
            self.start_standin(group['name'], 'rank_group', *options)

    def start_entry(self, name: str, site: str, threads: int = 64) -> Node:
        """Start an entry daemon."""
        port, metrics = free_ports(2)
        settings = {
            'name': name,
            'site': site,
            'listen': {'ip': IP, 'port': port},
            'metrics': {'ip': IP, 'port': metrics},
            'platform': self.platform(),
            'threads': threads,
            'drain_notice_seconds': self.drain_notice,
        }
        return self.start_daemon('entry', name, port, settings)

    def start_daemon(
        self, role: str, name: str, port: int, settings: dict[str, Any]
    ) -> Node:
        """Write a daemon's settings and start it."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return self.spawn(name, port, ['linnetwind', role, str(path)])

    def put_hosts(self) -> None:
        """Show the hosts in the host list."""
        body = json.dumps(self.hosts).encode()
        ask(self.nodes['hosts'].port, 'PUT', '/hosts', body)

    def write_deployment(self) -> Path:
        """Write the base file for the publish command."""
        folder = self.folder / 'config'
        (folder / 'overlays').mkdir(parents=True, exist_ok=True)
        (folder / 'base.yaml').write_text(yaml.safe_dump(self.deployment))
        return folder

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator's command."""
        return subprocess.run(
            [sys.executable, '-m', 'linnetwind', *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def publish(self) -> subprocess.CompletedProcess[str]:
        """Publish the deployment as it is now."""
        folder = self.write_deployment()
        log = f'{IP}:{self.log.port}'
        return self.command('publish', str(folder), '--log', log)

    def wait_ready(self, entry: Node, service: str) -> None:
        """Wait until an entry daemon reaches all upstreams of a service."""
        port = entry.port
        wait_until(
            lambda: reachable(port) and ask(port, 'GET', '/readyz')[0] == 200
        )
        names = [
            f'side-{each["name"]}'
            for one in self.deployment['services']
            if one['name'] == service
            for each in one['upstreams']
        ]
        wait_until(lambda: connected(entry) >= set(names))

    def stop(self) -> None:
        """End all processes: daemons by SIGTERM first, then all by force."""
        running = [
            node for node in self.nodes.values() if node.process.poll() is None
        ]
        for daemons in (True, False):
            chosen = [one for one in running if one.is_daemon is daemons]
            end_gently(chosen)
        for node in running:
            node.process.kill()
            node.process.wait()


def end_gently(nodes: list[Node]) -> None:
    """Send SIGTERM and wait a while."""
    for node in nodes:
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGTERM)
    deadline = time.monotonic() + 5
    for node in nodes:
        with contextlib.suppress(subprocess.TimeoutExpired):
            node.process.wait(max(0.1, deadline - time.monotonic()))


def connected(entry: Node) -> set[str]:
    """Return the sides that an entry daemon says it has reached."""
    return {
        line['side'] for line in entry.lines() if line['event'] == 'connected'
    }


def reachable(port: int) -> bool:
    """Return whether something listens on a port."""
    with socket.socket() as probe:
        probe.settimeout(1)
        return probe.connect_ex((IP, port)) == 0


@contextlib.contextmanager
def running_cluster(
    folder: Path, deployment: dict[str, Any], entries: int = 1, **options: Any
) -> Iterator[Cluster]:
    """Start a whole deployment, and end all of it afterwards."""
    cluster = Cluster(folder, deployment, **options)
    try:
        cluster.start_platform()
        cluster.start_groups()
        cluster.start_upstreams()
        published = cluster.publish()
        if published.returncode:
            raise RuntimeError(published.stderr)
        sites = [site['name'] for site in deployment['sites']]
        for number in range(entries):
            cluster.start_entry(f'entry-{number}', sites[number % len(sites)])
        for number in range(entries):
            for service in deployment['services']:
                node = cluster.nodes[f'entry-{number}']
                cluster.wait_ready(node, service['name'])
        yield cluster
    finally:
        cluster.stop()


def reduced(
    folder: Path, models: int, plains: int, *, groups: bool = False
) -> dict[str, Any]:
    """Return an example's base with fewer upstreams, and groups if asked."""
    base = yaml.safe_load((folder / 'base.yaml').read_text())
    counts = {'model': models, 'plain': plains}
    for service in base['services']:
        kept = counts[service['kind']]
        service['upstreams'] = service['upstreams'][:kept]
    kept = [
        upstream['name']
        for service in base['services']
        for upstream in service['upstreams']
    ]
    for group in base['groups']:
        group['ranks'] = [rank for rank in group['ranks'] if rank in kept]
        # The reduced group has to hold all experts all the same.
        group['slots_per_rank'] = 64 // len(group['ranks']) + 4
    if not groups:
        base['groups'] = []
    for customer in base['customers']:
        # Tests of other matters must not meet a limit.
        customer['requests_per_minute'] = 1_000_000
        customer['tokens_per_minute'] = 100_000_000
    return base
