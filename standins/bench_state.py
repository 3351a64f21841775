"""What a gateway spends on what it knows, by ranks and gateways.

`python -m standins.bench_state` prints a row a size: processor time in ms of
one call of each kind, and the bytes of a state as a peer sends it. The state
is made: each peer runs a stream at every fourth rank.
"""

import time
from collections.abc import Callable
from datetime import timedelta
from itertools import cycle

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import SystemClock
from linnetwind.gateway_state import GatewayState
from linnetwind.peers.peer_table import GroupSummary, PeerState
from linnetwind.peers.peer_wire import pack_state
from linnetwind.routes import RoutedService
from linnetwind.upstreams.upstream_list import Upstream, UpstreamRecord
from standins.gateway_fixtures import MS, SECOND, make_engine, make_upstream

SIZES = ((8, 5), (16, 4), (72, 13), (192, 35), (600, 100))
_CALLS = 200
_REPEATS = 3
_STATES = 8
_SERVICE = RoutedService('model', '/health', 248, make_engine())
_OWN = Address('127.0.0.1', 1)


def main() -> None:
    """Print a row a size."""
    print('ranks gateways  pause   look  start+end   hear   state B  planner B')
    for ranks, gateways in SIZES:
        upstreams = [
            make_upstream(f'i-{rank:08x}', 81 + rank, 'model', born_ms=rank)
            for rank in range(ranks)
        ]
        state = _state(upstreams, gateways)
        states = cycle(
            _peer(upstreams, number, gateways, counter)
            for counter in range(2, 2 + _STATES)
            for number in range(1, gateways - 1)
        )
        figures = [
            _ms_of(lambda s=state, u=upstreams: s.record_pause(u[0], 50 * MS)),
            _ms_of(lambda s=state: s.group_view(_SERVICE, 120 * MS)),
            _ms_of(lambda s=state: _start_and_end(s)),
            _ms_of(lambda s=state, n=states: s.merge_advertised(next(n))),
        ]
        sent = [
            len(pack_state(_peer(upstreams, each, gateways, 1), full=False))
            for each in (1, 0)
        ]
        row = ' '.join(f'{each:8.3f}' for each in figures)
        print(f'{ranks:5} {gateways:7} {row} {sent[0]:9} {sent[1]:9}')


def _state(upstreams: list[Upstream], gateways: int) -> GatewayState:
    terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
    state = GatewayState(SystemClock(), _OWN, terms)
    records = [
        UpstreamRecord(each.instance, offset, each)
        for offset, each in enumerate(upstreams)
    ]
    state.change_upstreams(
        lambda known: known.fold_records(records, len(records))
    )
    for number in range(gateways - 1):
        state.merge_advertised(_peer(upstreams, number, gateways, 1))
    return state


def _peer(
    upstreams: list[Upstream], number: int, gateways: int, counter: int
) -> PeerState:
    lives = tuple(each.life for each in upstreams)
    brief = GroupSummary('model', 'g', 1, True, 2.0, 0, lives)
    return PeerState(
        name=f'edge-site-{number}',
        start_id='3f9a11c2',
        counter=counter,
        address=Address('10.1.0.40', 2 + number),
        config_version=1,
        leaving=False,
        can_plan=True,
        running=dict.fromkeys(lives[number % 4 :: 4], 1),
        members=tuple(Address('10.1.0.40', 2 + n) for n in range(gateways)),
        groups=() if number else (brief,),
    )


def _start_and_end(state: GatewayState) -> None:
    state.release_upstream(state.acquire_upstream(_SERVICE, frozenset()))


def _ms_of(call: Callable[[], None]) -> float:
    took = []
    for _repeat in range(_REPEATS):
        begun = time.thread_time()
        for _call in range(_CALLS):
            call()
        took.append((time.thread_time() - begun) / _CALLS)
    return min(took) * SECOND / MS


if __name__ == '__main__':
    main()
