"""A rank group behind the platform's calls, with ranks that start again.

The state is that of `GroupModel`; each rank has an address of its own on the
loopback interface, and an agent process beside it.
"""

import json
import threading
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    PrepareMap,
    RankOrder,
    ReleasePass,
)
from linnetwind.rollout import RankCommand
from standins.rank_orders import GroupModel

EXPERTS = 8
PLACES = 5
_PASS_S = 0.03
# Passes that a copy takes.
_COPY_PASSES = 4
_CHOICES = 400


def engine_fields() -> dict[str, object]:
    """Return the figures of the group's engines, for a configuration."""
    return {
        'slots': 6,
        'kvTokenCapacity': 140_000,
        'step_ms': 4.5,
        'per_seq_ms': 1.8,
        'read_per_s': 61_400,
        'expertShare': 0.85,
        'sets': 1,
        'experts': EXPERTS,
        'placements': PLACES,
        'spare': 2,
        'expertMb': 1,
        'linkMbps': 1000,
        'form_ms': 300,
    }


@dataclass
class _Place:
    """Where a rank listens, and since which pass its counts run."""

    ip: str
    server: ThreadingHTTPServer
    counted_from: int


class RankGroupStandin:
    """All ranks of one group; passes run in a thread."""

    def __init__(self, ips: list[str]):
        """Start the ranks.

        Args:
          ips: The host of each rank.
        """
        self.model = GroupModel(len(ips))
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._copying: dict[int, int] = {}
        self._crashed: set[ThreadingHTTPServer] = set()
        self._places = [
            self._listen(rank, ip, 0, 0) for rank, ip in enumerate(ips)
        ]
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Stop all ranks."""
        self._closed.set()
        for place in self._places:
            place.server.shutdown()
            place.server.server_close()

    def address(self, rank: int) -> str:
        """Return where a rank listens."""
        ip, port = self._places[rank].server.server_address
        return f'{ip}:{port}'

    def entry(self, rank: int) -> dict[str, object]:
        """Return a rank's entry in the platform's format."""
        return {
            'service': 'model',
            'address': self.address(rank),
            'zone': 'z',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': self.model.ranks[rank].born_ms,
        }

    def versions(self) -> set[int]:
        """Return the versions of the maps in use."""
        with self._lock:
            return {each.maps[0] for each in self.model.ranks}

    def crash(self, rank: int) -> None:
        """End a rank's process; the group is broken."""
        place = self._places[rank]
        place.server.shutdown()
        place.server.server_close()
        with self._lock:
            self._crashed.add(place.server)
            self.model.restart_rank(rank)
            self._copying.pop(rank, None)

    def start_again(self, rank: int, ip: str) -> None:
        """Start a crashed rank again, at its old port on the same host."""
        before = self._places[rank]
        port = before.server.server_address[1] if ip == before.ip else 0
        step = self.model.step
        self._places[rank] = self._listen(rank, ip, port, step)

    def form(self) -> None:
        """Open the group in a new epoch."""
        with self._lock:
            self.model.form()

    def _listen(self, rank: int, ip: str, port: int, step: int) -> _Place:
        server = ThreadingHTTPServer((ip, port), _handler(self, rank))
        server.daemon_threads = True
        server.handle_error = lambda *_args: None
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return _Place(ip, server, step)

    def _run(self) -> None:
        while not self._closed.wait(_PASS_S):
            with self._lock:
                self._copy()
                self.model.try_pass()

    def _copy(self) -> None:
        for rank, each in enumerate(self.model.ranks):
            if each.copying is None:
                continue
            left = self._copying.get(rank, _COPY_PASSES) - 1
            self._copying[rank] = left
            if not left:
                self.model.copy_done(rank)
                self._copying.pop(rank)

    def has_crashed(self, server: ThreadingHTTPServer) -> bool:
        """Return whether the process behind a server is dead."""
        return server in self._crashed

    def answer(self, rank: int, path: str, body: bytes) -> tuple[int, object]:
        """Answer one call to a rank.

        Args:
          rank: The rank.
          path: The path and query.
          body: The order, or nothing.

        Returns:
          Status and fields.
        """
        with self._lock:
            if path == '/-/report':
                return 200, self._report(rank)
            if path == '/-/order':
                order = _order(json.loads(body))
                accepted = self.model.obey(RankCommand(rank, order))
                return (202 if accepted else 409), {}
            return 200, self._picked(rank, 'lists' in path)

    def _report(self, rank: int) -> dict[str, object]:
        report = self.model.report(rank)
        armed = None
        if report.armed is not None:
            armed = {'version': report.armed, 'step': report.armed_step}
        return {
            'born': report.born_ms,
            'busy': report.is_copying,
            'sequence': report.sequence,
            'queueDepth': 0,
            'activeRequests': 1,
            'group': {
                'name': 'g',
                'epoch': report.epoch,
                'rank': rank,
                'state': 'open' if report.is_open else 'broken',
            },
            'size': report.size,
            'step': report.step,
            'mapping': report.map_version,
            'preloaded': report.prepared,
            'armed': armed,
            'held': report.held,
            'pace': 1.0,
        }

    def _picked(self, rank: int, with_lists: bool) -> dict[str, object]:
        model = self.model
        fields = {
            'born': model.ranks[rank].born_ms,
            'step': model.step,
            'epoch': model.epoch,
        }
        if not with_lists:
            passes = model.step - self._places[rank].counted_from
            return {**fields, 'counts': self._counts(passes)}
        version, maps = model.ranks[rank].maps
        held = self._first(rank) if maps is None else maps[0][rank]
        return {
            **fields,
            'mapping': {'version': version, 'experts': [list(held)]},
            'preloaded': None,
        }

    def _counts(self, passes: int) -> list[int]:
        """Return counts of which rank 0 has most, by the first map."""
        return [
            passes * _CHOICES * (10 if expert % self.model.size == 0 else 1)
            for expert in range(EXPERTS)
        ]

    def _first(self, rank: int) -> range:
        return range(rank, EXPERTS, self.model.size)


def _order(fields: dict[str, object]) -> RankOrder:
    version, step = fields.get('version'), fields.get('step')
    epoch, expect = fields['epoch'], fields.get('expect')
    match fields['operation']:
        case 'prepare':
            maps = tuple(
                tuple(tuple(experts) for experts in layer)
                for layer in fields['mapping']
            )
            return PrepareMap(version, epoch, expect, maps)
        case 'arm':
            return ArmMap(version, step, epoch, expect)
        case 'disarm':
            return DisarmMap(version, epoch)
        case 'hold':
            return HoldPass(step, epoch, expect)
    return ReleasePass(step, epoch)


def _handler(group: RankGroupStandin, rank: int):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_GET(self):
            self._answer(b'')

        def do_POST(self):
            length = int(self.headers['Content-Length'])
            self._answer(self.rfile.read(length))

        def _answer(self, sent):
            if group.has_crashed(self.server):
                self.close_connection = True
                return
            status, fields = group.answer(rank, self.path, sent)
            body = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_args):
            """Stay silent."""

    return Handler
