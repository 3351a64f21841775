"""The planner's connections to all ranks of a group.

Each rank is reached through the agent on its host, or directly at its engine
if the agent does not reply. Direct calls are more expensive and return no
counts, but a dead agent must not leave a map partially rolled out.
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
from linnetwind.rank_messages import (
    RANK_CODEC,
    OrderReply,
    PackedPrepare,
    PackedRankSnapshot,
    RankQuery,
    RankSnapshot,
    pack_order,
    unpack_snapshot,
)
from linnetwind.rank_packing import UnpackError
from linnetwind.rank_types import (
    HoldPass,
    LaneCounts,
    RankOrder,
    RankPort,
    ReleasePass,
)
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_list import Upstream

# The agent queries the engine on its own host, and both respond within
# milliseconds. The agent's timeout for its engine is shorter than this, so
# an engine that does not respond to an order is reported by the agent.
_AGENT_TIMEOUT_SECONDS = 0.35
# After a failure, the agent is not contacted for this long.
_AGENT_RETRY_DELAY = timedelta(seconds=1)
# The number of ranks that are queried concurrently. A rank whose host has no
# power times out after 0.5 s (the agent's timeout plus the engine's). With 16
# at a time, 192 such ranks would take 6 s, during which no plan is made. The
# pool starts threads only as they are needed.
_MAX_THREADS = 64

_AgentRequest = RankQuery | RankOrder | PackedPrepare


class RankLink:
    """The connection to one rank, through its agent or directly."""

    def __init__(self, agent: Address, engine: RankPort, clock: Clock) -> None:
        """Create the link; it connects with the first message.

        Args:
          agent: The address on which the agent listens.
          engine: The rank's engine, called directly from this host.
          clock: Limits how soon a failed agent is contacted again.
        """
        self._agent = agent
        self._engine = engine
        self._clock = clock
        self._sock: socket.socket | None = None
        self._counts: LaneCounts | None = None
        self._agent_retry_at = timedelta()

    def query_state(self, query: RankQuery) -> RankSnapshot:
        """Return the rank's state, with its counts if the agent replies."""
        reply = self._call_agent(query)
        if isinstance(reply, RankSnapshot) and reply.report is not None:
            return reply
        experts = self._engine.experts() if query.with_experts else None
        return RankSnapshot(self._engine.report(), None, experts)

    def command(self, order: RankOrder) -> OrderReply:
        """Send an order.

        A hold and its release are sent directly to the engine. If they went
        through the agent and the held rank's host froze between the two, the
        engine could not be reached directly either, and the group stopped
        until the host resumed (4.2 s). If the planner's own host freezes,
        another planner releases the group.
        """
        if isinstance(order, HoldPass | ReleasePass):
            return self._order_engine_directly(order)
        reply = self._call_agent(pack_order(order))
        if isinstance(reply, OrderReply):
            return reply
        return OrderReply(self._engine.order(order))

    def _order_engine_directly(self, order: RankOrder) -> OrderReply:
        result = self._engine.order(order)
        # To other hosts, the engine serves a report that is some hundred
        # milliseconds old. A planner that used it would not see the hold that
        # it has just placed. The agent's report is current.
        snapshot = self._call_agent(RankQuery(with_counts=False))
        return OrderReply(
            result,
            snapshot.report if isinstance(snapshot, RankSnapshot) else None,
        )

    def close(self) -> None:
        """Close the connection to the agent."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._counts = None

    def _call_agent(
        self, message: _AgentRequest
    ) -> RankSnapshot | OrderReply | None:
        if self._clock.elapsed() < self._agent_retry_at:
            return None
        try:
            return self._send_and_receive(message)
        except OSError:
            # The engine is called directly until the retry delay is over; the
            # caller notices that the counts are missing.
            self.close()
            self._agent_retry_at = self._clock.elapsed() + _AGENT_RETRY_DELAY
            return None

    def _send_and_receive(
        self, message: _AgentRequest
    ) -> RankSnapshot | OrderReply | None:
        if self._sock is None:
            self._sock = socket.create_connection(
                (self._agent.ip, self._agent.port), _AGENT_TIMEOUT_SECONDS
            )
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        send_frame(self._sock, RANK_CODEC.encode(message))
        reply = _decode_reply(receive_frame(self._sock), self._counts)
        if isinstance(reply, RankSnapshot):
            self._counts = reply.counts or self._counts
        return reply


@dataclass(frozen=True, slots=True)
class _LinkKey:
    """Identifies the worker that a link connects to.

    A worker may restart under the same name at another address. A link that
    was stored under the name alone kept calling the old address forever.
    """

    life: UpstreamIncarnation
    address: Address


class GroupLinks:
    """The links to all upstreams of one service."""

    def __init__(self, open_link: Callable[[Upstream], RankLink]) -> None:
        """Start without links.

        Args:
          open_link: Returns a link to an upstream.
        """
        self._open_link = open_link
        self._links: dict[_LinkKey, RankLink] = {}
        self._pool = ThreadPoolExecutor(_MAX_THREADS, 'rank')

    def close_except(self, upstreams: Iterable[Upstream]) -> None:
        """Close the links to all upstreams except those given.

        Args:
          upstreams: The upstreams that are registered now.
        """
        current_keys = {_link_key(each) for each in upstreams}
        for stale_key in self._links.keys() - current_keys:
            self._links.pop(stale_key).close()

    def query_state(
        self, upstreams: Iterable[Upstream], query: RankQuery
    ) -> dict[Upstream, RankSnapshot]:
        """Query several upstreams concurrently.

        Args:
          upstreams: The upstreams to query.
          query: The parts of the state to read from each.

        Returns:
          The state of each upstream.
        """
        jobs = {
            each: self._pool.submit(self._link(each).query_state, query)
            for each in upstreams
        }
        return {each: job.result() for each, job in jobs.items()}

    def command(
        self, orders: Mapping[Upstream, RankOrder]
    ) -> dict[Upstream, OrderReply]:
        """Send orders to several upstreams concurrently.

        Args:
          orders: The order for each upstream.

        Returns:
          The reply to each order.
        """
        jobs = {
            each: self._pool.submit(self._link(each).command, order)
            for each, order in orders.items()
        }
        return {each: job.result() for each, job in jobs.items()}

    def _link(self, upstream: Upstream) -> RankLink:
        link_key = _link_key(upstream)
        link = self._links.get(link_key)
        if link is None:
            link = self._open_link(upstream)
            self._links[link_key] = link
        return link


def _link_key(upstream: Upstream) -> _LinkKey:
    return _LinkKey(upstream.life, upstream.address)


def _decode_reply(
    frame: bytes, before: LaneCounts | None
) -> RankSnapshot | OrderReply:
    match RANK_CODEC.decode(frame):
        case Ok(PackedRankSnapshot() as packed):
            try:
                return unpack_snapshot(packed, before)
            except UnpackError as error:
                raise ConnectionError(str(error)) from error
        case Ok(OrderReply() as reply):
            return reply
    raise ConnectionError('the frame is not a reply of a rank agent')
