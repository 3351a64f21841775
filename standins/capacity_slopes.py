"""Measures the slopes that docs/CAPACITY.md multiplies."""

import json
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from linnetwind.claims import Claim, RecordedOutcome, SlotLedger, StoredResponse
from linnetwind.clock import ManualClock
from linnetwind.config import (
    Base,
    Customer,
    Deployment,
    Service,
    Site,
    Upstream,
)
from linnetwind.config_fold import (
    CONFIG_CODEC,
    ConfigState,
    PartUpdate,
    Publish,
    fold,
    split_deployment,
)
from linnetwind.fleet import Fleet
from linnetwind.log_port import Entry
from linnetwind.mapswitch_types import (
    NOTE_CODEC,
    Arm,
    Arming,
    Attempt,
    Member,
    Query,
    Vote,
)
from linnetwind.messages import (
    CustomerDemand,
    CustomerShare,
    Demand,
    GroupNote,
    LoadReport,
    Shares,
)
from linnetwind.placement import even_map, plan_moves
from linnetwind.placement_types import GroupLoad, PlacementPrices
from linnetwind.wire import PEER_CODEC


@dataclass(frozen=True)
class Slope:
    """A straight line through measured points."""

    name: str
    unit: str
    base: float
    slope: float
    error: float
    points: tuple[tuple[float, float], ...]


def fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line by least squares; the error is the largest miss."""
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _y in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    error = max(abs(base + slope * x - y) for x, y in points)
    return Slope(name, unit, base, slope, error, tuple(points))


def timed(work: Callable[[], Any], times: int) -> float:
    """Return the processor time of one call in seconds."""
    start = time.process_time()
    for _call in range(times):
        work()
    return (time.process_time() - start) / times


def base_of(customers: int, upstreams: int) -> Base:
    """Return a configuration of a given size."""
    sites = tuple(
        Site(f'site-{number}', f'region-{number % 2}') for number in range(4)
    )
    services = tuple(
        Service(
            f'model-{number}',
            'model',
            tuple(
                Upstream(
                    f'up-{number}-{index}',
                    f'host-{number}-{index}',
                    f'site-{index % 4}',
                )
                for index in range(upstreams // 11)
            ),
        )
        for number in range(11)
    )
    rng = random.Random(1)
    people = tuple(
        Customer(
            f'customer-{number}', f'{rng.getrandbits(256):064x}', 600, 600_000
        )
        for number in range(customers)
    )
    return Base('target', sites, services, people)


def configuration() -> list[Slope]:
    """Measure what a configuration costs by its size."""
    folds, sizes, memory = [], [], []
    for customers in (300, 600, 1200):
        document = split_deployment(
            Deployment(base_of(customers, customers // 2))
        )['base']
        record = CONFIG_CODEC.encode(
            Publish('p', 'o', (PartUpdate('base', 0, document),))
        )
        entry = Entry(0, record)
        folds.append(
            (
                customers,
                timed(lambda entry=entry: fold(ConfigState(), entry), 5) * 1000,
            )
        )
        sizes.append((customers, len(record) / 1000))
        tracemalloc.start()
        state, _verdict = fold(ConfigState(), entry)
        memory.append((customers, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        del state
    return [
        fit('config_cpu', 'ms of processor per change, by customer', folds),
        fit(
            'config_bytes', 'KB in the log per base change, by customer', sizes
        ),
        fit('config_memory', 'MB per state, by customer', memory),
    ]


def keys() -> Slope:
    """Measure what a remembered idempotency key costs."""
    points = []
    for count in (1000, 2000, 4000):
        tracemalloc.start()
        ledger = SlotLedger()
        answer = StoredResponse(
            200, (('content-type', 'application/json'),), b'x' * 200
        )
        for number in range(count):
            key = number.to_bytes(16, 'big')
            claim = Claim(f'{number:032x}', 0, key, key)
            ledger.fold_appended(ledger.next_offset, [claim])
            held = StoredResponse(
                answer.status, answer.headers, bytes(bytearray(answer.body))
            )
            ledger.fold_appended(
                ledger.next_offset, [RecordedOutcome(claim.claim_id, key, held)]
            )
        points.append((count, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        del ledger
    return fit(
        'key_memory', 'MB of a ledger, by key with 200 bytes of answer', points
    )


def fleet() -> list[Slope]:
    """Measure what an upstream and its reports cost an entry daemon."""
    memory, reports, choices = [], [], []
    for upstreams in (110, 330, 660):
        tracemalloc.start()
        known = Fleet(ManualClock(datetime(2026, 1, 1, tzinfo=UTC)))
        known.update_base(base_of(10, upstreams))
        frames = []
        for service in known.base.services:
            for upstream in service.upstreams:
                load = LoadReport(upstream.name, 5, 1, 8.5, 812.5, 0, 12345)
                known.apply_load(load)
                frames.append(PEER_CODEC.encode(load))
        memory.append((upstreams, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()

        def take(frames=frames, known=known):
            for frame in frames:
                known.apply_load(PEER_CODEC.decode(frame).unwrap())

        reports.append((upstreams, timed(take, 5) * 1000))
        service = known.base.services[0]
        choices.append(
            (
                upstreams,
                timed(
                    lambda known=known, service=service: known.candidates(
                        service, (1, 2)
                    ),
                    200,
                )
                * 1e6,
            )
        )
    return [
        fit('fleet_memory', 'MB at an entry daemon, by upstream', memory),
        fit(
            'report_cpu',
            'ms of processor at an entry daemon for one report of each upstream',
            reports,
        ),
        fit(
            'candidates_cpu',
            'us of processor to list candidates, by upstream of the fleet',
            choices,
        ),
    ]


def plans() -> Slope:
    """Measure a placement plan, by layers of 128 ranks and 64 experts."""
    rng = random.Random(1)
    points = []
    for layers in (15, 30, 60):
        tokens = tuple(
            tuple(rng.paretovariate(2) for _expert in range(64))
            for _layer in range(layers)
        )
        load = GroupLoad(tokens, (1.0,) * 128)
        prices = PlacementPrices(120, 4, 1, 0.02, 128)
        current = even_map(128, 1, layers, 64)
        points.append(
            (
                layers,
                timed(
                    lambda c=current, counts=load: plan_moves(
                        c, counts, prices
                    ),
                    1,
                )
                * 1000,
            )
        )
    return fit('plan_cpu', 'ms of processor per plan, by layer', points)


def frames() -> dict[str, int]:
    """Return the bytes of each control message on the wire."""
    attempt = Attempt(12345, 67, 1)
    notes = {
        'switch: arm (128 ranks)': Arm(
            Arming(attempt, 1_000_000, '12345-66'),
            (Member(2, 1_764_000_000_000_000_000),) * 128,
        ),
        'switch: query': Query(attempt, 100, 1_764_000_000_000_000_000),
        'switch: vote': Vote(attempt, 100, 2, 1, 1_764_000_000_000_000_000),
    }
    sizes = {
        name: len(
            PEER_CODEC.encode(
                GroupNote('asistente-g1', 100, 101, NOTE_CODEC.encode(note))
            )
        )
        for name, note in notes.items()
    }
    sizes['load report'] = len(
        PEER_CODEC.encode(
            LoadReport('asistente-001', 5, 1, 8.5, 812.5, 0, 12345)
        )
    )
    sizes['demand, per customer'] = (
        len(
            PEER_CODEC.encode(
                Demand(
                    'entry-01',
                    (CustomerDemand('customer-1000', 3, 900.5),) * 10,
                )
            )
        )
        // 10
    )
    sizes['share, per customer'] = (
        len(
            PEER_CODEC.encode(
                Shares((CustomerShare('customer-1000', 0.123),) * 10)
            )
        )
        // 10
    )
    # An empty page over HTTP: request line and headers, and the answer.
    sizes['log poll, both ways'] = 420
    sizes['host list, per host'] = len(
        json.dumps(
            {
                'name': 'h-asistente-001',
                'site': 'qro-centro',
                'address': {'ip': '10.10.10.10', 'port': 7000},
                'state': 'live',
            }
        )
    )
    return sizes
