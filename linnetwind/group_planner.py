"""Coordinate an expert group: take the role, plan maps, start switches.

Every side daemon of a group may become its coordinator: the one of the lowest
rank first, the others after longer timeouts. Two coordinators at a time do no
harm: the log decides whose map is the target, and a map is used only if all
ranks agree.
"""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger
from result import Ok

from linnetwind.clock import Clock
from linnetwind.config import Group
from linnetwind.decision_log import log_decision
from linnetwind.expert_load import LoadEstimate, update_load_estimate
from linnetwind.group_log import (
    GROUP_CODEC,
    CoordinatorRenewal,
    CoordinatorTakeover,
    GroupRole,
    Target,
    fold_role,
    pack_map,
    stream_of_group,
    unpack_map,
)
from linnetwind.log_port import LogPort, read_to_end
from linnetwind.mapcoordinator import (
    Coordination,
    apply_prepared,
    request_preparation,
)
from linnetwind.mapswitch_types import (
    Attempt,
    Note,
    Prepare,
    Prepared,
    RankStatus,
    Send,
)
from linnetwind.placement import even_map, plan_moves
from linnetwind.placement_types import ExpertMap, PlacementPrices, Plan

# A side takes the role if it has not heard of the coordinator for this long
# plus the time per rank, so that sides of higher ranks wait longer. A group
# that has no coordinator yet waits only the time per rank.
COORDINATOR_TIMEOUT = timedelta(seconds=5)
TIMEOUT_PER_RANK = timedelta(seconds=1)
HEARTBEAT_INTERVAL = timedelta(seconds=2)

# The role and the target map are written to the log again this often. This has
# to be well below the log's retention.
RENEW_INTERVAL = timedelta(minutes=10)
# The number of steps from the newest reported one to the one at which the ranks
# switch to a new map.
LEAD_STEPS = 100

# The share of the weight store's rate that one group counts on.
STORE_BYTES_PER_SECOND = 1_000_000_000

_ROLE_CHECK_INTERVAL = timedelta(seconds=1)
_ATTEMPT_TIMEOUT = timedelta(seconds=10)

Counts = Callable[[], list[list[float]]]


class GroupPlanner:
    """Plans maps and starts switches while this side coordinates its group."""

    def __init__(
        self, group: Group, rank: int, name: str, log: LogPort, clock: Clock
    ) -> None:
        """Start without the role.

        Args:
          group: The group's configuration.
          rank: The rank of this side.
          name: The name of this incarnation in the log.
          log: The log service.
          clock: The clock for timeouts and intervals.
        """
        self._group = group
        self._rank = rank
        self._name = name
        self._log = log
        self._clock = clock
        now = clock.elapsed()
        self._role = GroupRole()
        self._coordinator_seen_at = now
        self._next_role_check = now
        self._next_plan = now
        self._next_heartbeat = now
        self._next_renewal = now + RENEW_INTERVAL
        self._estimate = LoadEstimate()
        self._coordination: Coordination | None = None
        self._attempt_started = now
        self._last_number = 0

    def update_group(self, group: Group) -> None:
        """Replace the group's configuration.

        Args:
          group: The configuration in force.
        """
        self._group = group

    def record_coordinator(self, note: Note) -> None:
        """Record that a coordinator is active.

        Args:
          note: A note from another side.
        """
        if isinstance(note, Prepare):
            self._coordinator_seen_at = self._clock.elapsed()

    def tick(self, status: RankStatus, counts: Counts) -> tuple[Send, ...]:
        """Do what is due.

        Args:
          status: The status of this side's own rank.
          counts: Reads the tokens of each expert.

        Returns:
          The notes to send.
        """
        now = self._clock.elapsed()
        if now >= self._next_role_check:
            self._next_role_check = now + _ROLE_CHECK_INTERVAL
            self._read_role()
            self._maybe_acquire_role(now)
        if self._role.holder != self._name:
            self._coordination = None
            return ()
        self._maybe_renew_records(now)
        if self._coordination is not None:
            return self._continue_attempt(status, now)
        if now < self._next_plan:
            return self._heartbeats(status, now)
        interval = self._group.placement.interval_seconds
        self._next_plan = now + timedelta(seconds=interval)
        return self._plan(status, counts())

    def apply_prepared(self, note: Prepared) -> tuple[Send, ...]:
        """Apply a rank's reply to the current attempt.

        Args:
          note: The reply.

        Returns:
          The notes to send.
        """
        if self._coordination is None:
            return ()
        after, notes = apply_prepared(self._coordination, note)
        self._coordination = after
        return notes

    def _read_role(self) -> None:
        stream = stream_of_group(self._group.name)
        page = read_to_end(self._log, stream, self._role.next_offset)
        if isinstance(page, Ok):
            before = self._role
            self._role = fold_role(before, page.ok_value.entries)
            if self._role.epoch != before.epoch:
                self._coordinator_seen_at = self._clock.elapsed()

    def _maybe_acquire_role(self, now: timedelta) -> None:
        if self._role.holder == self._name:
            self._coordinator_seen_at = now
            return
        timeout = COORDINATOR_TIMEOUT + TIMEOUT_PER_RANK * self._rank
        if not self._role.holder:
            timeout = TIMEOUT_PER_RANK * self._rank
        if now - self._coordinator_seen_at < timeout:
            return
        self._coordinator_seen_at = now
        record = GROUP_CODEC.encode(
            CoordinatorTakeover(self._name, self._role.epoch)
        )
        self._log.append(stream_of_group(self._group.name), [record])
        self._read_role()
        log_decision(
            'coordinator',
            {'group': self._group.name, 'holder': self._role.holder},
        )

    def _maybe_renew_records(self, now: timedelta) -> None:
        # A side that starts after the older records have expired would
        # otherwise know neither the coordinator nor the target map.
        if now < self._next_renewal:
            return
        self._next_renewal = now + RENEW_INTERVAL
        role = self._role
        records = [CoordinatorRenewal(role.holder, role.epoch), role.target]
        frames = [GROUP_CODEC.encode(record) for record in records if record]
        self._log.append(stream_of_group(self._group.name), frames)

    def _continue_attempt(
        self, status: RankStatus, now: timedelta
    ) -> tuple[Send, ...]:
        coordination = self._coordination
        if coordination is None:
            return ()
        if status.map_id == coordination.map_id:
            log_decision(
                'map_in_use',
                {'group': self._group.name, 'map': status.map_id},
            )
            self._coordination = None
            return ()
        if now - self._attempt_started > _ATTEMPT_TIMEOUT:
            logger.warning('attempt given up: {}', coordination.attempt)
            self._coordination = None
            return ()
        return request_preparation(coordination)

    def _plan(
        self, status: RankStatus, counts: list[list[float]]
    ) -> tuple[Send, ...]:
        group = self._group
        target = self._role.target
        if status.map_id is None and target is not None:
            return self._start_attempt(target.map_id)
        if target is None or status.map_id is None:
            first = even_map(
                len(group.ranks),
                group.slots_per_rank,
                group.layers,
                group.experts,
            )
            return self._publish(first)
        if status.map_id != target.map_id:
            return self._start_attempt(target.map_id)
        if not counts:
            return ()
        self._estimate = update_load_estimate(
            self._estimate, counts, [1] * len(group.ranks)
        )
        return self._improve(unpack_map(target.packed), status)

    def _improve(
        self, current: ExpertMap, status: RankStatus
    ) -> tuple[Send, ...]:
        load = self._estimate.load
        if load is None:
            return ()
        plan = plan_moves(current, load, self._prices())
        self._log_plan(plan)
        if not plan.moves:
            return ()
        return self._publish(plan.target)

    def _prices(self) -> PlacementPrices:
        settings = self._group.placement
        return PlacementPrices(
            settings.horizon_seconds * self._estimate.trust,
            settings.skew_weight,
            settings.cost_weight,
            self._group.expert_bytes / STORE_BYTES_PER_SECOND,
            settings.max_moves,
        )

    def _publish(self, expert_map: ExpertMap) -> tuple[Send, ...]:
        # The map is written to the log before any rank uses it: a rank that is
        # replaced later reads there which experts the others have loaded.
        number = self._next_number()
        epoch = self._role.epoch
        map_id = f'{epoch}-{number}'
        target = Target(self._role.epoch, map_id, pack_map(expert_map))
        stream = stream_of_group(self._group.name)
        appended = self._log.append(stream, [GROUP_CODEC.encode(target)])
        if appended.is_err():
            return ()
        self._read_role()
        if self._role.target != target:
            return ()
        return self._start_attempt(map_id)

    def _start_attempt(self, map_id: str) -> tuple[Send, ...]:
        attempt = Attempt(self._role.epoch, self._next_number(), self._rank)
        size = len(self._group.ranks)
        self._coordination = Coordination(attempt, map_id, size, LEAD_STEPS)
        self._attempt_started = self._clock.elapsed()
        return request_preparation(self._coordination)

    def _heartbeats(
        self, status: RankStatus, now: timedelta
    ) -> tuple[Send, ...]:
        # Shows the other sides that the coordinator is alive without a record
        # in the log: preparing the map that is already in use changes nothing.
        if now < self._next_heartbeat or status.map_id is None:
            return ()
        self._next_heartbeat = now + HEARTBEAT_INTERVAL
        attempt = Attempt(self._role.epoch, 0, self._rank)
        note = Prepare(attempt, status.map_id)
        return tuple(
            Send(rank, note)
            for rank in range(len(self._group.ranks))
            if rank != self._rank
        )

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _log_plan(self, plan: Plan) -> None:
        log_decision(
            'placement',
            {
                'group': self._group.name,
                'skew_before': round(plan.skew_before, 3),
                'skew_after': round(plan.skew_after, 3),
                'moves': len(plan.moves),
                'bytes': len(plan.moves) * self._group.expert_bytes,
                'reason': plan.reason,
            },
        )
