"""Plans the expert maps of rank groups and rolls them out, while it leads.

All decisions are in `rollout`, `map_wish` and `expert_demand`; this is the
loop around them.
"""

import random
from collections.abc import Callable
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.gateway_events import (
    GroupChanged,
    LeaderChanged,
    MapPlanned,
    MapStep,
    OrderFailed,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.group_looks import sort_by_rank
from linnetwind.map_wish import even_demand, plan_map
from linnetwind.peer_book import GroupBrief
from linnetwind.peer_mesh import PeerMesh
from linnetwind.planned_group import (
    PlannedGroup,
    Reports,
    forget_maps,
    note_lives,
    take_maps,
)
from linnetwind.planner_rest import PlannerRest, rest_when_overtaken
from linnetwind.rank_link import GroupLinks, RankLink
from linnetwind.rank_messages import Look
from linnetwind.rank_types import OrderResult, RankReport
from linnetwind.rollout import (
    LEAD_PASSES,
    LONG_LEAD_PASSES,
    MapWish,
    Round,
    is_whole,
    next_round,
)
from linnetwind.routes import RoutedService
from linnetwind.step_log import StepLog
from linnetwind.upstream_list import Upstream

# How often the counts are read: about two passes.
_LOOK_MS = 100
LOOK_INTERVAL = timedelta(milliseconds=_LOOK_MS)
# A large group is read less often: at 2 ms a rank, packed, a planner of 72
# ranks took 0.20 of a core in all; every 100 ms, as lists, 0.53.
_LOOK_PER_RANK_MS = 2
# How soon a group that copies experts is looked at again. Copying takes
# hundreds of milliseconds, all other stages one round trip.
_COPY_LOOK_MS = 30
_COPY_LOOK = timedelta(milliseconds=_COPY_LOOK_MS)
# Rounds that may follow each other at once; a rollout needs about six. With
# too few the group waits at its held pass: at 8, for 0.12 to 0.15 s in a
# quarter of the rollouts.
_MOST_ROUNDS = 40
# A planner that has not seen the whole group for this long lets another try.
_BLIND = timedelta(seconds=1)
# After an order that was not answered, others are expected to be lost too.
_LOSSES_LAST = timedelta(seconds=4)
# What is said of the time until a broken group opens, beyond its forming.
_RANK_BACK_MS = 800

# A rank that takes so many times the usual time for the same work gets no new
# streams; smaller differences are left to the placement of experts.
SLOW_PACE = 1.4

LinkOpener = Callable[[Upstream], RankLink]


class MapPlanner:
    """The planner's thread in a gateway daemon."""

    def __init__(
        self,
        state: GatewayState,
        mesh: PeerMesh,
        open_link: LinkOpener,
        clock: Clock,
        log: StepLog,
    ) -> None:
        """Start without groups.

        Args:
          state: Gives services and upstreams, takes what is found out.
          mesh: Says who leads, and tells the peers.
          open_link: Returns a link to an upstream.
          clock: The clock.
          log: The log.
        """
        self._state = state
        self._mesh = mesh
        self._open_link = open_link
        self._clock = clock
        self._log = log
        self._groups: dict[str, PlannedGroup] = {}
        self._led = False

    def run_once(self) -> timedelta:
        """Look at all groups and go on with what each needs.

        Returns:
          How long to wait before the next look.
        """
        table = self._state.table
        leads = table is not None and self._mesh.leads()
        if leads != self._led:
            self._led = leads
            self._log.event(LeaderChanged(leads))
        if not leads:
            self._groups.clear()
            self._mesh.publish((), can_plan=True)
            return LOOK_INTERVAL
        briefs = []
        for service in table.services.values():
            if service.engine is not None and service.engine.layers:
                brief = self._plan_service(service)
                self._state.room.take_brief(brief)
                briefs.append(brief)
        able = all(self._sees(each) for each in self._groups.values())
        self._mesh.publish(tuple(briefs), can_plan=able)
        copying = any(_is_copying(each) for each in self._groups.values())
        return _COPY_LOOK if copying else LOOK_INTERVAL

    def _sees(self, group: PlannedGroup) -> bool:
        return self._clock.elapsed() - group.whole_at < _BLIND

    def _plan_service(self, service: RoutedService) -> GroupBrief:
        group = self._groups.get(service.name)
        if group is None:
            links = GroupLinks(self._open_link)
            group = PlannedGroup(links, self._clock.elapsed())
            self._groups[service.name] = group
        reports = self._look(
            service, group, with_counts=self._counts_due(group)
        )
        self._note_group(service, group, reports)
        rounds = _MOST_ROUNDS
        while reports and rounds:
            rounds -= 1
            reports = self._next(service, group, reports)
        return _brief(service, group, group.reports)

    def _counts_due(self, group: PlannedGroup) -> bool:
        """Return whether the counts are to be read, and note when."""
        now = self._clock.elapsed()
        rest = timedelta(milliseconds=_LOOK_PER_RANK_MS * len(group.ranks))
        if now - group.counted_at < max(rest, LOOK_INTERVAL) - _COPY_LOOK:
            return False
        group.counted_at = now
        return True

    def _look(
        self, service: RoutedService, group: PlannedGroup, *, with_counts: bool
    ) -> Reports:
        registered = self._state.upstreams.registered(service.name)
        wanted = Look(with_counts, with_experts=with_counts and not group.maps)
        group.ranks = sort_by_rank(group.links.look(registered, wanted))
        reports = {rank: each.report for rank, each in group.ranks.items()}
        group.reports = reports
        note_lives(group)
        if is_whole(reports):
            group.whole_at = self._clock.elapsed()
            take_maps(group, reports)
        if with_counts:
            counts = {
                rank: each.seen.counts
                for rank, each in group.ranks.items()
                if each.seen.counts is not None
            }
            group.demand = group.demand.take(counts, self._clock.elapsed())
        return reports

    def _next(
        self, service: RoutedService, group: PlannedGroup, reports: Reports
    ) -> Reports:
        """Take one round.

        Returns:
          The reports for a round that may follow at once; none if the group
          needs time.
        """
        decided = next_round(reports, group.wish, self._lead(group))
        self._note_stage(service, group, decided.stage, reports)
        match decided.stage:
            case 'idle' | 'in use':
                self._note_rest(group, decided.stage)
                group.wish = self._new_wish(service, group, reports)
                return reports if group.wish else {}
            case 'a new map is needed':
                group.wish = self._wish(service, group, reports, force=True)
                return reports if group.wish else {}
        if not decided.commands:
            return {}
        newer = self._command(group, decided)
        if _is_copying(group):
            return {}
        if len(newer) < len(decided.commands):
            return self._look(service, group, with_counts=False)
        group.reports = {**reports, **newer}
        return group.reports

    def _note_rest(self, group: PlannedGroup, stage: str) -> None:
        if stage == 'in use':
            group.rest = PlannerRest()
        elif group.wish is not None:
            # Idle with a wish: a rank has another planner's newer version.
            group.rest = rest_when_overtaken(
                group.rest, self._clock.elapsed(), random.random()
            )

    def _new_wish(
        self, service: RoutedService, group: PlannedGroup, reports: Reports
    ) -> MapWish | None:
        if self._clock.elapsed() < group.rest.until:
            return None
        return self._wish(service, group, reports, force=False)

    def _lead(self, group: PlannedGroup) -> int:
        since = group.unanswered_at
        if since is None or self._clock.elapsed() - since > _LOSSES_LAST:
            return LEAD_PASSES
        return LONG_LEAD_PASSES

    def _command(self, group: PlannedGroup, decided: Round) -> Reports:
        """Give the orders; return the reports that came with the answers.

        Ranks without an order keep the report that is known, so that a round
        does not wait for calls to all ranks. That is safe: what a decision
        takes from a report stays true, and orders are bound to it.
        """
        orders = {
            group.ranks[each.rank].upstream: each.order
            for each in decided.commands
        }
        results = group.links.command(orders)
        newer = {}
        for command in decided.commands:
            obeyed = results[group.ranks[command.rank].upstream]
            if obeyed.result is OrderResult.NO_ANSWER:
                group.unanswered_at = self._clock.elapsed()
            if obeyed.result in {OrderResult.REFUSED, OrderResult.NO_ANSWER}:
                name = type(command.order).__name__
                self._log.event(
                    OrderFailed(command.rank, name, obeyed.result.value)
                )
            elif _goes_on(group.reports[command.rank], obeyed.report):
                newer[command.rank] = obeyed.report
        return newer

    def _wish(
        self,
        service: RoutedService,
        group: PlannedGroup,
        reports: Reports,
        *,
        force: bool,
    ) -> MapWish | None:
        tokens = group.demand.by_layer(service.engine.layers)
        if not sum(map(sum, tokens)):
            # A held group makes no passes, so that nothing is counted; it
            # needs its new version all the same.
            tokens = even_demand(service.engine) if force else ()
        if group.maps is None or not tokens:
            return None
        planned = plan_map(
            group.maps,
            tokens,
            reports,
            service.engine,
            use=self._state.room.use(service.name),
            force=force,
        )
        group.skew = planned.skew_before
        if planned.wish is not None:
            self._log.event(
                MapPlanned(
                    service.name,
                    planned.wish.version,
                    planned.moves,
                    round(planned.skew_before, 3),
                    round(planned.skew_after, 3),
                    round(sum(map(sum, tokens))),
                    planned.reason,
                )
            )
        return planned.wish

    def _note_stage(
        self,
        service: RoutedService,
        group: PlannedGroup,
        stage: str,
        reports: Reports,
    ) -> None:
        if stage == group.stage:
            return
        now = self._clock.elapsed()
        version = group.wish.version if group.wish else 0
        step = max(each.step for each in reports.values())
        before = group.stage
        took = now - group.stage_since if before else timedelta()
        self._log.event(
            MapStep(service.name, version, before, stage, step, took)
        )
        group.stage = stage
        group.stage_since = now

    def _note_group(
        self, service: RoutedService, group: PlannedGroup, reports: Reports
    ) -> None:
        epoch = max((each.epoch for each in reports.values()), default=0)
        now = (epoch, is_whole(reports))
        if now == group.was:
            return
        if group.was is not None and group.was[0] != epoch:
            # The group formed anew, with map 0 and nothing prepared.
            forget_maps(group)
        group.was = now
        self._log.event(GroupChanged(service.name, *now, len(reports)))


def _goes_on(before: RankReport, newer: RankReport | None) -> bool:
    """Return whether a report that came with an answer is of the same life.

    If the rank has started again meanwhile, all ranks are looked at anew, so
    that what was believed of its life before ends.
    """
    return newer is not None and newer.born_ms == before.born_ms


def _is_copying(group: PlannedGroup) -> bool:
    return group.stage.startswith('preparing')


def _brief(
    service: RoutedService, group: PlannedGroup, reports: Reports
) -> GroupBrief:
    is_open = all(each.is_open for each in reports.values())
    opens_in = 0 if is_open else int(service.engine.form_ms) + _RANK_BACK_MS
    epoch = max((each.epoch for each in reports.values()), default=0)
    slow = tuple(
        group.ranks[rank].life
        for rank, each in reports.items()
        if each.pace > SLOW_PACE
    )
    return GroupBrief(service.name, epoch, is_open, group.skew, opens_in, slow)
