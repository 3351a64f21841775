"""Plans the expert maps of rank groups and rolls them out, while it leads.

All decisions are in `rollout`, `map_wish` and `expert_demand`; this is the
loop around them.
"""

import random
import threading
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
from linnetwind.group_brief import is_open, make_briefs
from linnetwind.group_looks import (
    counts_of,
    newest_by_address,
    sort_by_group,
)
from linnetwind.map_wish import (
    even_demand,
    map_skew,
    can_gain,
    plan_map,
)
from linnetwind.peer_book import GroupBrief
from linnetwind.peer_mesh import PeerMesh
from linnetwind.planned_group import (
    PlannedGroup,
    PlannedService,
    Reports,
    forget_maps,
    needs_experts,
    take_groups,
    take_ranks,
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
# A plan works for so long before it rests, so that the streams of its own
# host are passed on in between. Planned in one go, at each look, 113 of 418
# answers of its data centre were late on a calm day, and 1 of 762 in the
# others. A large plan has 100 to 230 steps, so that a rest after each step
# holds its map back by as many milliseconds.
_STRETCH_MS = 3
_STRETCH = timedelta(milliseconds=_STRETCH_MS)
_BREATH_S = 0.001
# For how long a plan that found too small a gain is not made again while the
# skew stays: made at each look, there were ten of them in a second.
_SETTLED = timedelta(seconds=1)
# A planner that has not seen the whole group for this long lets another try.
_BLIND = timedelta(seconds=1)
# How long a planner that no longer leads keeps links, counts and maps. While a
# group is broken its leader is blind as all others are, and leads again after
# a tenth of a second: it lost all it knew of 192 ranks twice in 4 s.
_REMEMBERED = timedelta(seconds=3)
# After an order that was not answered, others are expected to be lost too.
_LOSSES_LAST = timedelta(seconds=4)
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
        self._services: dict[str, PlannedService] = {}
        self._led = False
        self._led_at = timedelta()
        self._breath = threading.Event()
        self._works_since = timedelta()

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
            if self._clock.elapsed() - self._led_at > _REMEMBERED:
                self._services.clear()
            self._mesh.publish((), can_plan=True)
            return LOOK_INTERVAL
        self._led_at = self._clock.elapsed()
        briefs = []
        for service in table.services.values():
            if service.engine is not None and service.engine.layers:
                briefs.extend(self._plan_service(service))
        for brief in briefs:
            self._state.room.take_brief(brief)
        groups = [
            group
            for each in self._services.values()
            for group in each.groups.values()
        ]
        able = all(self._sees(each) for each in groups)
        self._mesh.publish(tuple(briefs), can_plan=able)
        copying = any(_is_copying(each) for each in groups)
        return _COPY_LOOK if copying else LOOK_INTERVAL

    def _sees(self, group: PlannedGroup) -> bool:
        """Return whether this daemon sees of a group what can be seen."""
        now = self._clock.elapsed()
        if now - group.whole_at < _BLIND:
            return True
        # No planner reaches a rank that has crashed; handed on then, the lead
        # would go round among all daemons for as long as the rank is away.
        return bool(group.reports) and not is_open(group, now)

    def _plan_service(self, service: RoutedService) -> list[GroupBrief]:
        planned = self._services.get(service.name)
        if planned is None:
            planned = PlannedService(GroupLinks(self._open_link))
            self._services[service.name] = planned
        self._look(service, planned)
        for group in planned.groups.values():
            self._note_group(service, group)
            reports = group.reports
            rounds = _MOST_ROUNDS
            while reports and rounds:
                rounds -= 1
                reports = self._next(service, group, reports)
        groups = planned.groups.values()
        outages = self._state.room.outages(service.name)
        return make_briefs(service, groups, self._clock.elapsed(), outages)

    def _counts_due(self, planned: PlannedService) -> bool:
        """Return whether the counts are to be read, and note when."""
        now = self._clock.elapsed()
        ranks = sum(len(each.ranks) for each in planned.groups.values())
        rest = timedelta(milliseconds=_LOOK_PER_RANK_MS * ranks)
        if now - planned.counted_at < max(rest, LOOK_INTERVAL) - _COPY_LOOK:
            return False
        planned.counted_at = now
        return True

    def _look(self, service: RoutedService, planned: PlannedService) -> None:
        """Look at all ranks of a service."""
        registered = newest_by_address(
            self._state.upstreams.registered(service.name)
        )
        planned.links.keep(registered)
        with_counts = self._counts_due(planned)
        wanted = Look(with_counts, with_counts and needs_experts(planned))
        seen = sort_by_group(planned.links.look(registered, wanted))
        now = self._clock.elapsed()
        take_groups(planned, seen, now)
        for group in planned.groups.values():
            take_ranks(group, seen.get(group.name, {}), now)
            if with_counts:
                group.demand = group.demand.take(counts_of(group.ranks), now)

    def _look_again(self, group: PlannedGroup) -> Reports:
        """Look at the ranks of a group between two rounds."""
        asked = [each.upstream for each in group.ranks.values()]
        seen = sort_by_group(group.links.look(asked, Look(with_counts=False)))
        now = self._clock.elapsed()
        take_ranks(group, seen.get(group.name, {}), now)
        return group.reports

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
            return self._look_again(group)
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
        group.skew = map_skew(group.maps, tokens, reports, service.engine)
        now = self._clock.elapsed()
        settled = group.settled if now - group.settled_at < _SETTLED else 0
        use = self._state.room.use(service.name, group.name)
        if not force and not can_gain(group.skew, use, settled):
            return None
        planned = plan_map(
            group.maps,
            tokens,
            reports,
            service.engine,
            use=use,
            force=force,
            pause=self._breathe,
        )
        if planned.wish is None:
            group.settled = group.skew
            group.settled_at = now
            return None
        self._log.event(
            MapPlanned(
                _full_name(service, group),
                planned.wish.version,
                planned.moves,
                round(planned.skew_before, 3),
                round(planned.skew_after, 3),
                round(sum(map(sum, tokens))),
                planned.reason,
            )
        )
        return planned.wish

    def _breathe(self) -> None:
        if self._clock.elapsed() - self._works_since >= _STRETCH:
            self._breath.wait(_BREATH_S)
            self._works_since = self._clock.elapsed()

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
            MapStep(
                _full_name(service, group), version, before, stage, step, took
            )
        )
        group.stage = stage
        group.stage_since = now

    def _note_group(self, service: RoutedService, group: PlannedGroup) -> None:
        reports = group.reports
        epoch = max((each.epoch for each in reports.values()), default=0)
        now = (epoch, is_whole(reports))
        if now == group.was:
            return
        if group.was is not None and group.was[0] != epoch:
            # The group formed anew, with map 0 and nothing prepared.
            forget_maps(group)
        group.was = now
        name = _full_name(service, group)
        self._log.event(GroupChanged(name, *now, len(reports)))


def _full_name(service: RoutedService, group: PlannedGroup) -> str:
    return f'{service.name}/{group.name}'


def _goes_on(before: RankReport, newer: RankReport | None) -> bool:
    """Return whether a report that came with an answer is of the same life.

    If the rank has started again meanwhile, all ranks are looked at anew, so
    that what was believed of its life before ends.
    """
    return newer is not None and newer.born_ms == before.born_ms


def _is_copying(group: PlannedGroup) -> bool:
    return group.stage.startswith('preparing')
