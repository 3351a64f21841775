"""A group of ranks in lock-step, each with the orders of its engine.

Every rank has its own path, `/ranks/N`. Faults besides the common ones:
`stall` (a map from rank to seconds per step) and `restart` (`POST
/ranks/N/restart`). `GET /record` tells the maps used in completed steps
that were not used by all ranks alike, and the number of steps.
"""

import argparse
import contextlib
import threading
import time
from typing import Any

from linnetwind.engine_orders import decode_order, status_to_plain
from linnetwind.mapswitch_types import OrderStage, RankStatus
from standins.cluster import ask
from standins.http_base import (
    Reply,
    Request,
    Standin,
    json_reply,
    run_until_signal,
)
from standins.rank_model import (
    apply_order,
    complete,
    enter,
    may_enter,
    restarted,
)

STEP_SECONDS = 0.005


class RankGroup(Standin):
    """All ranks of one group; their steps run in one thread."""

    def __init__(self, port: int, size: int, store: int) -> None:
        """Start with new ranks, which wait for a map."""
        super().__init__(port)
        self.store = store
        self.ranks = tuple(RankStatus(1) for _rank in range(size))
        self.bad_steps: list[Any] = []
        self.loading: set[tuple[int, str]] = set()
        self.used: dict[str, int] = {}
        self.steps = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Advance whenever all ranks can."""
        while True:
            stalls = self.faults.get('stall') or {}
            time.sleep(max([STEP_SECONDS, *stalls.values()]))
            with self.lock:
                self.advance()

    def advance(self) -> None:
        """Let each rank enter its step; complete it if all are in."""
        self.ranks = tuple(
            enter(rank) if may_enter(rank) else rank for rank in self.ranks
        )
        self.ranks, record = complete(self.ranks)
        if record is None:
            return
        self.steps += 1
        if len(set(record.maps)) > 1:
            self.bad_steps.append([record.step, record.maps])
        name = str(record.maps[0])
        self.used[name] = self.used.get(name, 0) + 1

    def handle(self, request: Request) -> Reply | None:
        """Route a request."""
        if request.path == '/record':
            with self.lock:
                return json_reply(
                    {
                        'steps': self.steps,
                        'bad': self.bad_steps,
                        'used': self.used,
                    }
                )
        if request.path == '/counts':
            return json_reply(self.faults.get('counts') or [])
        parts = request.path.split('/')
        number = int(parts[2])
        if request.path.endswith('/restart'):
            with self.lock:
                self.put(number, restarted(self.ranks[number]))
            return json_reply({})
        if request.path.endswith('/orders'):
            return self.order(number, request)
        return json_reply(status_to_plain(self.ranks[number]))

    def order(self, number: int, request: Request) -> Reply:
        """Apply an order, late if the fault says so."""
        order = decode_order(request.body)
        time.sleep(self.faults.get('order_seconds') or 0)
        if isinstance(order, OrderStage) and self.store:
            threading.Thread(
                target=self.stage, args=(number, order), daemon=True
            ).start()
            return json_reply(status_to_plain(self.ranks[number]))
        with self.lock:
            self.put(number, apply_order(self.ranks[number], order))
            return json_reply(status_to_plain(self.ranks[number]))

    def stage(self, number: int, order: OrderStage) -> None:
        """Load experts from the weight store; a map is staged after that."""
        if (number, order.map_id) in self.loading:
            return
        self.loading.add((number, order.map_id))
        with contextlib.suppress(OSError):
            ask(self.store, 'GET', '/experts?count=4')
            with self.lock:
                self.put(number, apply_order(self.ranks[number], order))
        self.loading.discard((number, order.map_id))

    def put(self, number: int, status: RankStatus) -> None:
        """Replace one rank."""
        ranks = list(self.ranks)
        ranks[number] = status
        self.ranks = tuple(ranks)


def main() -> None:
    """Serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--size', type=int, default=4)
    parser.add_argument('--store', type=int, default=0)
    options = parser.parse_args()
    run_until_signal(RankGroup(options.port, options.size, options.store))


if __name__ == '__main__':
    main()
