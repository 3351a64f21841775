"""The planner's connections to all ranks of a group.

Each rank is reached through the agent on its host, or directly if the agent
does not answer; that is dearer and gives no counts, but an agent's death must
not leave a map half rolled out.
"""

import socket
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta

from result import Ok

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.frames import receive_frame, send_frame
from linnetwind.lives import Life
from linnetwind.rank_messages import (
    RANK_CODEC,
    Look,
    Obeyed,
    PackedPrepare,
    PackedSeen,
    Seen,
    pack_order,
    unpack_seen,
)
from linnetwind.rank_packing import NotPacked
from linnetwind.rank_types import (
    CountLanes,
    HoldPass,
    RankOrder,
    RankPort,
    ReleasePass,
)
from linnetwind.upstream_list import Upstream

# The agent asks its engine on the same host; both answer in milliseconds. An
# engine that leaves an order unanswered shows after the shorter time.
_AGENT_TIMEOUT_S = 0.35
# An agent that failed is passed over for this long.
_REST = timedelta(seconds=1)
# Ranks that are asked at once. One whose host has no power is given up after
# 0.5 s (the agent's time limit and the engine's): asked 16 at a
# time, 192 of them take 6 s, in which no plan is made. Threads are started as
# they are needed.
_THREADS = 64

_Question = Look | RankOrder | PackedPrepare


class RankLink:
    """One rank: its agent, and its engine directly."""

    def __init__(self, agent: Address, engine: RankPort, clock: Clock) -> None:
        """Connect later.

        Args:
          agent: Where the agent listens.
          engine: The rank's engine, called from here.
          clock: For rests.
        """
        self._agent = agent
        self._engine = engine
        self._clock = clock
        self._sock: socket.socket | None = None
        self._counts: CountLanes | None = None
        self._rests_until = timedelta()

    def look(self, wanted: Look) -> Seen:
        """Return the rank's state, and its counts if the agent answers."""
        answer = self._ask(wanted)
        if isinstance(answer, Seen) and answer.report is not None:
            return answer
        experts = self._engine.experts() if wanted.with_experts else None
        return Seen(self._engine.report(), None, experts)

    def command(self, order: RankOrder) -> Obeyed:
        """Give an order.

        A hold and its release go to the engine directly. If the host of the
        held rank's agent froze between them, its engine could not be reached
        either and the group stood still until it woke: 4.2 s measured. If
        the planner's own host freezes, another planner releases the group.
        """
        if isinstance(order, HoldPass | ReleasePass):
            return self._command_directly(order)
        answer = self._ask(pack_order(order))
        if isinstance(answer, Obeyed):
            return answer
        return Obeyed(self._engine.order(order))

    def _command_directly(self, order: RankOrder) -> Obeyed:
        result = self._engine.order(order)
        # The engine's report is some hundred milliseconds old for other hosts:
        # a planner that took it would not see the hold that it has just
        # placed. The agent's is fresh.
        seen = self._ask(Look(with_counts=False))
        return Obeyed(result, seen.report if isinstance(seen, Seen) else None)

    def close(self) -> None:
        """Close the connection to the agent."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._counts = None

    def _ask(self, message: _Question) -> Seen | Obeyed | None:
        if self._clock.elapsed() < self._rests_until:
            return None
        try:
            return self._exchange(message)
        except OSError:
            # Asked directly from now on; the caller sees what is missing.
            self.close()
            self._rests_until = self._clock.elapsed() + _REST
            return None

    def _exchange(self, message: _Question) -> Seen | Obeyed | None:
        if self._sock is None:
            self._sock = socket.create_connection(
                (self._agent.ip, self._agent.port), _AGENT_TIMEOUT_S
            )
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        send_frame(self._sock, RANK_CODEC.encode(message))
        answer = _read_answer(receive_frame(self._sock), self._counts)
        if isinstance(answer, Seen):
            self._counts = answer.counts or self._counts
        return answer


@dataclass(frozen=True, slots=True)
class _Target:
    """Whom a link leads to.

    A worker that starts again under its name may do so elsewhere; a link that
    was kept under the name alone asked at the old address for ever.
    """

    life: Life
    address: Address


class GroupLinks:
    """The links to all upstreams of one service."""

    def __init__(self, open_link: Callable[[Upstream], RankLink]) -> None:
        """Start without links.

        Args:
          open_link: Returns a link to an upstream.
        """
        self._open_link = open_link
        self._links: dict[_Target, RankLink] = {}
        self._pool = ThreadPoolExecutor(_THREADS, 'rank')

    def keep(self, upstreams: Iterable[Upstream]) -> None:
        """Close the links to all other upstreams.

        Args:
          upstreams: The upstreams that are registered now.
        """
        targets = {_target(each) for each in upstreams}
        for gone in self._links.keys() - targets:
            self._links.pop(gone).close()

    def look(
        self, upstreams: Iterable[Upstream], wanted: Look
    ) -> dict[Upstream, Seen]:
        """Ask several upstreams at once.

        Args:
          upstreams: The upstreams to ask.
          wanted: What is wanted of each.

        Returns:
          What each of them said.
        """
        jobs = {
            each: self._pool.submit(self._link(each).look, wanted)
            for each in upstreams
        }
        return {each: job.result() for each, job in jobs.items()}

    def command(
        self, orders: Mapping[Upstream, RankOrder]
    ) -> dict[Upstream, Obeyed]:
        """Give orders to several upstreams at once.

        Args:
          orders: The order for each upstream.

        Returns:
          What became of each.
        """
        jobs = {
            each: self._pool.submit(self._link(each).command, order)
            for each, order in orders.items()
        }
        return {each: job.result() for each, job in jobs.items()}

    def _link(self, upstream: Upstream) -> RankLink:
        target = _target(upstream)
        link = self._links.get(target)
        if link is None:
            link = self._open_link(upstream)
            self._links[target] = link
        return link


def _target(upstream: Upstream) -> _Target:
    return _Target(upstream.life, upstream.address)


def _read_answer(frame: bytes, before: CountLanes | None) -> Seen | Obeyed:
    match RANK_CODEC.decode(frame):
        case Ok(PackedSeen() as packed):
            try:
                return unpack_seen(packed, before)
            except NotPacked as error:
                raise ConnectionError(str(error)) from error
        case Ok(Obeyed() as obeyed):
            return obeyed
    raise ConnectionError('not an answer of a rank agent')
