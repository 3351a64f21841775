"""Plan and roll out the expert maps of rank groups while this daemon leads.

All decisions are made in `rollout`, `group_plan` and the modules that it uses;
this module is the loop around them.
"""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.event_log import EventLog
from linnetwind.experts.group_plan import (
    PlanRequest,
    map_planned,
    plan_group,
)
from linnetwind.gateway_events import (
    GroupChanged,
    LeaderChanged,
    MapStep,
    OrderFailed,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.group_observations import (
    counts_of,
    index_by_group,
    newest_by_address,
)
from linnetwind.group_summary import is_open, make_summaries
from linnetwind.peer_mesh import PeerMesh
from linnetwind.peers.peer_table import GroupSummary
from linnetwind.planned_group import (
    PlannedGroup,
    PlannedService,
    Reports,
    discard_maps,
    needs_experts,
    update_demand,
    update_groups,
    update_ranks,
)
from linnetwind.planner_backoff import PlannerBackoff, back_off_when_superseded
from linnetwind.rank_link import GroupLinks, RankLink
from linnetwind.rank_messages import RankQuery
from linnetwind.rank_types import OrderResult, RankReport
from linnetwind.rollout import (
    LEAD_PASSES,
    LONG_LEAD_PASSES,
    Round,
    TargetMap,
    is_whole,
    next_round,
)
from linnetwind.routes import RoutedService
from linnetwind.upstreams.upstream_list import Upstream

# How often the ranks are polled for their counts: about every two passes.
_POLL_INTERVAL_MS = 100
POLL_INTERVAL = timedelta(milliseconds=_POLL_INTERVAL_MS)
# Large groups are polled less often, in proportion to their ranks. At 2 ms a
# rank and with packed counts, a planner of 72 ranks used 0.20 of a core in all;
# with a poll every 100 ms and counts as lists it used 0.53.
_POLL_INTERVAL_PER_RANK_MS = 2
# How often a group is polled while it copies experts. Copying takes hundreds of
# milliseconds, every other stage one round trip.
_COPY_INTERVAL_MS = 30
_COPY_INTERVAL = timedelta(milliseconds=_COPY_INTERVAL_MS)
# The rounds of orders that one poll may run in a row; a rollout needs about
# six. With too few the group waits at its held pass: with 8 rounds for 0.12 to
# 0.15 s in a quarter of the rollouts.
_MAX_ROUNDS = 40
# While it computes a plan, the planner sleeps briefly each time this long has
# passed, so that its own host's streams are relayed in between. With plans
# computed in one go at each poll, 113 of 418 responses of the planner's data
# centre were late on a calm day, against 1 of 762 in the others. A sleep after
# each of a large plan's 100 to 230 steps would delay its map by as many ms.
_MAX_COMPUTE_MS = 3
_MAX_COMPUTE_TIME = timedelta(milliseconds=_MAX_COMPUTE_MS)
_YIELD_S = 0.001
# A planner that has not received reports from the whole group for this long
# lets another daemon lead.
_MAX_TIME_WITHOUT_VIEW = timedelta(seconds=1)
# How long a planner that no longer leads keeps its links, counts and maps.
# While a group is broken, its leader reaches the ranks no better than any other
# daemon, so the lead returns to it after a tenth of a second. Without this time
# it lost all that it knew of 192 ranks twice in 4 s.
_STATE_RETENTION = timedelta(seconds=3)
# For how long after an unanswered order further losses are expected; during
# that time maps are switched with the longer lead.
_LOSS_DURATION = timedelta(seconds=4)
LinkOpener = Callable[[Upstream], RankLink]


class MapPlanner:
    """Runs the planner in a gateway daemon's thread."""

    def __init__(
        self,
        state: GatewayState,
        mesh: PeerMesh,
        open_link: LinkOpener,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Start without any groups.

        Args:
          state: Provides services and upstreams; receives groups' summaries.
          mesh: Knows which daemon leads; publishes the summaries to peers.
          open_link: Returns a link to an upstream.
          clock: The clock.
          log: The log.
        """
        self._state = state
        self._mesh = mesh
        self._open_link = open_link
        self._clock = clock
        self._log = log
        self._services: dict[str, PlannedService] = {}
        self._was_leading = False
        self._led_at = timedelta()
        self._never_set = threading.Event()
        self._computing_since = timedelta()

    def run_once(self) -> timedelta:
        """Poll all groups and advance the rollout of each.

        Returns:
          The time to wait before the next poll.
        """
        table = self._state.table
        leads = table is not None and self._mesh.leads()
        if leads != self._was_leading:
            self._was_leading = leads
            self._log.event(LeaderChanged(leads))
        if not leads:
            if self._clock.elapsed() - self._led_at > _STATE_RETENTION:
                self._services.clear()
            self._mesh.publish((), can_plan=True)
            return POLL_INTERVAL
        self._led_at = self._clock.elapsed()
        summaries = []
        for service in table.services.values():
            if service.engine is not None and service.engine.layers:
                summaries.extend(self._plan_service(service))
        for summary in summaries:
            self._state.stream_admission.apply_summary(summary)
        groups = [
            group
            for each in self._services.values()
            for group in each.groups.values()
        ]
        has_full_view = all(self._has_full_view(each) for each in groups)
        self._mesh.publish(tuple(summaries), can_plan=has_full_view)
        copying = any(_is_copying(each) for each in groups)
        return _COPY_INTERVAL if copying else POLL_INTERVAL

    def _has_full_view(self, group: PlannedGroup) -> bool:
        """Return whether this daemon sees as much of a group as any could."""
        now = self._clock.elapsed()
        if now - group.whole_at < _MAX_TIME_WITHOUT_VIEW:
            return True
        # No planner can reach a crashed rank. If the lead were handed on for
        # that reason, it would rotate among all daemons until the rank is back.
        return bool(group.reports) and not is_open(group, now)

    def _plan_service(self, service: RoutedService) -> list[GroupSummary]:
        planned = self._services.get(service.name)
        if planned is None:
            planned = PlannedService(GroupLinks(self._open_link))
            self._services[service.name] = planned
        self._poll(service, planned)
        for group in planned.groups.values():
            self._track_group(service, group)
            reports = group.reports
            rounds = _MAX_ROUNDS
            while reports and rounds:
                rounds -= 1
                reports = self._run_round(service, group, reports)
        groups = planned.groups.values()
        outages = self._state.stream_admission.outages(service.name)
        return make_summaries(service, groups, self._clock.elapsed(), outages)

    def _counts_due(self, planned: PlannedService) -> bool:
        """Return whether to read the counts now; if so, record the time."""
        now = self._clock.elapsed()
        ranks = sum(len(group.ranks) for group in planned.groups.values())
        wait = timedelta(milliseconds=_POLL_INTERVAL_PER_RANK_MS * ranks)
        if now - planned.counted_at < max(wait, POLL_INTERVAL) - _COPY_INTERVAL:
            return False
        planned.counted_at = now
        return True

    def _poll(self, service: RoutedService, planned: PlannedService) -> None:
        """Poll all ranks of a service and apply their replies."""
        registered = newest_by_address(
            self._state.upstreams.registered(service.name)
        )
        planned.links.close_except(registered)
        with_counts = self._counts_due(planned)
        query = RankQuery(with_counts, with_counts and needs_experts(planned))
        observed = index_by_group(planned.links.query_state(registered, query))
        now = self._clock.elapsed()
        update_groups(planned, observed, now)
        for group in planned.groups.values():
            update_ranks(group, observed.get(group.name, {}), now)
            if with_counts:
                update_demand(group, counts_of(group.ranks), now)

    def _poll_group(self, group: PlannedGroup) -> Reports:
        """Poll the ranks of a group between two rounds."""
        upstreams = [each.upstream for each in group.ranks.values()]
        observed = index_by_group(
            group.links.query_state(upstreams, RankQuery(with_counts=False))
        )
        now = self._clock.elapsed()
        update_ranks(group, observed.get(group.name, {}), now)
        return group.reports

    def _run_round(
        self, service: RoutedService, group: PlannedGroup, reports: Reports
    ) -> Reports:
        """Decide and carry out one round.

        Returns:
          Reports for an immediate next round; empty if the group needs time.
        """
        decided = next_round(reports, group.target, self._lead_passes(group))
        self._record_stage(service, group, decided.stage, reports)
        match decided.stage:
            case 'idle' | 'in use':
                self._update_backoff(group, decided.stage)
                group.target = self._plan_if_allowed(service, group, reports)
                return reports if group.target else {}
            case 'a new map is needed':
                group.target = self._plan(service, group, reports, force=True)
                return reports if group.target else {}
        if not decided.commands:
            return {}
        newer = self._send_orders(group, decided)
        if _is_copying(group):
            return {}
        if len(newer) < len(decided.commands):
            return self._poll_group(group)
        group.reports = {**reports, **newer}
        return group.reports

    def _update_backoff(self, group: PlannedGroup, stage: str) -> None:
        if stage == 'in use':
            group.backoff = PlannerBackoff()
        elif group.target is not None:
            # Idle despite a target: a rank has another planner's newer version.
            group.backoff = back_off_when_superseded(
                group.backoff, self._clock.elapsed(), random.random()
            )

    def _plan_if_allowed(
        self, service: RoutedService, group: PlannedGroup, reports: Reports
    ) -> TargetMap | None:
        if self._clock.elapsed() < group.backoff.until:
            return None
        return self._plan(service, group, reports, force=False)

    def _lead_passes(self, group: PlannedGroup) -> int:
        since = group.unanswered_at
        if since is None or self._clock.elapsed() - since > _LOSS_DURATION:
            return LEAD_PASSES
        return LONG_LEAD_PASSES

    def _send_orders(self, group: PlannedGroup, decided: Round) -> Reports:
        """Send the orders and return the reports that came with the replies.

        Ranks without an order keep their last known report, so that a round
        does not wait for calls to all ranks. This is safe: all facts behind a
        decision stay true, and orders are bound to reported epoch and sequence.
        """
        orders = {
            group.ranks[each.rank].upstream: each.order
            for each in decided.commands
        }
        results = group.links.command(orders)
        newer = {}
        for command in decided.commands:
            reply = results[group.ranks[command.rank].upstream]
            if reply.result is OrderResult.NO_ANSWER:
                group.unanswered_at = self._clock.elapsed()
            if reply.result in {OrderResult.REFUSED, OrderResult.NO_ANSWER}:
                name = type(command.order).__name__
                self._log.event(
                    OrderFailed(command.rank, name, reply.result.value)
                )
            elif _is_same_start(group.reports[command.rank], reply.report):
                newer[command.rank] = reply.report
        return newer

    def _plan(
        self,
        service: RoutedService,
        group: PlannedGroup,
        reports: Reports,
        *,
        force: bool,
    ) -> TargetMap | None:
        utilization = self._state.stream_admission.utilization(
            service.name, group.name
        )
        request = PlanRequest(
            service.engine, reports, utilization, self._clock.elapsed(), force
        )
        planned = plan_group(group, request, self._yield_to_streams)
        if planned is None:
            return None
        name = _full_name(service, group)
        self._log.event(map_planned(name, planned, group, request))
        return planned.target

    def _yield_to_streams(self) -> None:
        if self._clock.elapsed() - self._computing_since >= _MAX_COMPUTE_TIME:
            self._never_set.wait(_YIELD_S)
            self._computing_since = self._clock.elapsed()

    def _record_stage(
        self,
        service: RoutedService,
        group: PlannedGroup,
        stage: str,
        reports: Reports,
    ) -> None:
        if stage == group.stage:
            return
        now = self._clock.elapsed()
        version = group.target.version if group.target else 0
        step = max(each.step for each in reports.values())
        old = group.stage
        took = now - group.stage_since if old else timedelta()
        self._log.event(
            MapStep(_full_name(service, group), version, old, stage, step, took)
        )
        group.stage = stage
        group.stage_since = now

    def _track_group(self, service: RoutedService, group: PlannedGroup) -> None:
        reports = group.reports
        epoch = max((each.epoch for each in reports.values()), default=0)
        now = (epoch, is_whole(reports))
        if now == group.logged_state:
            return
        if group.logged_state is not None and group.logged_state[0] != epoch:
            # The group formed again: map 0 is in use and nothing is prepared.
            discard_maps(group)
        group.logged_state = now
        name = _full_name(service, group)
        self._log.event(GroupChanged(name, *now, len(reports)))


def _full_name(service: RoutedService, group: PlannedGroup) -> str:
    return f'{service.name}/{group.name}'


def _is_same_start(before: RankReport, newer: RankReport | None) -> bool:
    """Return whether a reply's report is from the incarnation known before.

    If the rank has restarted meanwhile, all ranks are polled again, which
    discards what was known of its previous incarnation.
    """
    return newer is not None and newer.born_ms == before.born_ms


def _is_copying(group: PlannedGroup) -> bool:
    return group.stage.startswith('preparing')
