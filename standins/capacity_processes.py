"""Measures the slopes of the daemons themselves, as processes."""

import json
import os
import tempfile
import time
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from linnetwind.address import Address
from linnetwind.log_http import make_log
from linnetwind.publisher import prepare_publish, publish_once, read_state
from standins.capacity_slopes import Slope, fit
from standins.cluster import (
    IP,
    Cluster,
    Node,
    ask,
    reduced,
    running_cluster,
    wait_until,
)
from standins.session import AUTH, in_force

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'queretaro'
TICKS = os.sysconf('SC_CLK_TCK')


def resident(node: Node) -> float:
    """Return a process's resident memory in MB."""
    for line in (
        Path(f'/proc/{node.process.pid}/status').read_text().splitlines()
    ):
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1000
    return 0


def cpu(node: Node) -> float:
    """Return a process's processor time in seconds."""
    fields = (
        Path(f'/proc/{node.process.pid}/stat')
        .read_text()
        .rsplit(')', 1)[1]
        .split()
    )
    return (int(fields[11]) + int(fields[12])) / TICKS


def in_force_delays(cluster: Cluster, changes: int) -> list[float]:
    """Publish changes; return the seconds until each daemon has each."""
    log = make_log(Address(IP, cluster.log.port), timedelta(seconds=2))
    daemons = [node for node in cluster.nodes.values() if node.is_daemon]
    delays = []
    for number in range(changes):
        state = read_state(log).unwrap()
        base = replace(
            state.deployment.base, drained=('codigos-01',) * (number % 2)
        )
        wanted = replace(state.deployment, base=base)
        change = prepare_publish(
            wanted, state, None, f'change-{number}', 'capacity'
        )
        started = datetime.now(UTC)
        verdict = publish_once(log, state, change, [0.1] * 50, time.sleep)
        for node in daemons:
            wait_until(
                lambda node=node, verdict=verdict: (
                    in_force(node) >= verdict.revision
                )
            )
            line = next(
                line
                for line in reversed(node.lines())
                if line['event']
                == f'configuration revision {verdict.revision} in force'
            )
            seen = datetime.fromisoformat(line['time'])
            delays.append((seen - started).total_seconds())
    return delays


def processes() -> tuple[list[Slope], list[float]]:
    """Measure the daemons themselves, as processes."""
    found: list[Slope] = []
    delays: list[float] = []
    entries, sides, idle_entry, idle_side = [], [], [], []
    for upstreams in (2, 6, 12):
        with (
            tempfile.TemporaryDirectory() as folder,
            running_cluster(
                Path(folder), reduced(EXAMPLE, upstreams, 1), 1, poll=1.0
            ) as cluster,
        ):
            entry, side = (
                cluster.nodes['entry-0'],
                cluster.nodes['side-codigos-01'],
            )
            time.sleep(1)
            before = cpu(entry), cpu(side)
            time.sleep(6)
            idle_entry.append(
                (upstreams + 1, (cpu(entry) - before[0]) / 6 * 100)
            )
            idle_side.append((upstreams + 1, (cpu(side) - before[1]) / 6 * 100))
            entries.append((upstreams + 1, resident(entry)))
            sides.append((upstreams + 1, resident(side)))
            if upstreams == 2:
                found += data_path(entry, cluster)
                delays = in_force_delays(cluster, 8)
    return [
        fit(
            'entry_memory',
            'MB resident at an entry daemon, by connected side',
            entries,
        ),
        fit(
            'side_memory',
            'MB resident at a side daemon, by side of the fleet',
            sides,
        ),
        fit(
            'entry_idle',
            '% of a core at an idle entry daemon, by connected side',
            idle_entry,
        ),
        fit(
            'side_idle',
            '% of a core at an idle side daemon, by side of the fleet',
            idle_side,
        ),
        *found,
    ], delays


def answered(answer: tuple[int, dict[str, str], bytes]) -> None:
    """Stop the measurement at a refusal: its cost is not that of an answer."""
    if answer[0] != 200:
        raise RuntimeError(f'status {answer[0]} while measuring')


def data_path(entry: Node, cluster: Any) -> list[Slope]:
    """Measure processor time per request and per streamed token."""
    sides = [
        node for name, node in cluster.nodes.items() if name.startswith('side-')
    ]
    requests_entry, requests_side, tokens_entry, tokens_side = [], [], [], []
    for count in (200, 400, 800):
        before = cpu(entry), sum(map(cpu, sides))
        for _request in range(count):
            answered(ask(entry.port, 'GET', '/codigos/cards/1', None, AUTH))
        requests_entry.append((count, (cpu(entry) - before[0]) * 1000))
        requests_side.append((count, (sum(map(cpu, sides)) - before[1]) * 1000))
    for name in ('asistente-01', 'asistente-02'):
        cluster.nodes[name].fault(step_seconds=0.001)
    for tokens in (500, 1000, 2000):
        body = {
            'model': 'asistente',
            'messages': [],
            'max_tokens': tokens,
            'stream': True,
        }
        before = cpu(entry), sum(map(cpu, sides))
        for _stream in range(3):
            ask(
                entry.port,
                'POST',
                '/v1/chat/completions',
                json.dumps(body).encode(),
                AUTH,
                60,
            )
        tokens_entry.append((3 * tokens, (cpu(entry) - before[0]) * 1000))
        tokens_side.append(
            (3 * tokens, (sum(map(cpu, sides)) - before[1]) * 1000)
        )
    return [
        fit(
            'request_entry',
            'ms of processor at the entry, by request',
            requests_entry,
        ),
        fit(
            'request_side',
            'ms of processor at the sides, by request',
            requests_side,
        ),
        fit(
            'token_entry',
            'ms of processor at the entry, by streamed token',
            tokens_entry,
        ),
        fit(
            'token_side',
            'ms of processor at the sides, by streamed token',
            tokens_side,
        ),
    ]
