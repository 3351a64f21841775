"""Plans the expert maps of rank groups and rolls them out, while it leads.

All decisions are in `rollout`, `expert_demand` and `placement`; this is the
loop around them.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.background import guarded, in_background
from linnetwind.clock import Clock
from linnetwind.expert_demand import ExpertDemand
from linnetwind.gateway_events import (
    GroupChanged,
    LeaderChanged,
    MapPlanned,
    MapStep,
    OrderFailed,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.peer_book import GroupBrief
from linnetwind.peer_mesh import PeerMesh
from linnetwind.placement import plan_moves, skew
from linnetwind.placement_types import (
    CopyLimits,
    ExpertMap,
    GroupLoad,
    PlacementPrices,
)
from linnetwind.rank_link import GroupLinks, RankLink
from linnetwind.rank_messages import Look, Seen
from linnetwind.rank_types import OrderResult, RankMaps, RankReport
from linnetwind.rollout import MapWish, is_whole, next_round
from linnetwind.routes import EngineFigures, RoutedService
from linnetwind.step_log import StepLog
from linnetwind.upstream_list import Upstream

# How often the counts are read: about two passes.
LOOK_INTERVAL = timedelta(milliseconds=100)
# How soon a rollout under way is looked at again: copying takes hundreds of
# milliseconds, all other stages one round trip.
_COPY_LOOK = timedelta(milliseconds=30)
# Rounds that may follow each other at once; a rollout needs about six.
_MOST_ROUNDS = 40
# A planner that has not seen the whole group for this long lets another try.
_BLIND = timedelta(seconds=1)
# Versions are drawn above all seen; so many to a step of the counter.
_VERSIONS = 1 << 20
# Experts copied to one rank by one plan. Copies of a rank follow each other,
# so this bounds the time to the switch.
COPIES_PER_RANK = 3
# The time over which a better map pays: the popular experts change every few
# seconds.
_HORIZON_S = 2.0
# The time that one copy costs: passes take 15 in 100 longer while it lasts,
# and several ranks copy at once.
_COST_PER_COPY_S = 0.002
# A gain in skew below this is not worth a rollout.
_LEAST_GAIN = 0.04
# What is said of the time until a broken group opens, beyond its forming.
_RANK_BACK = timedelta(milliseconds=800)

LinkOpener = Callable[[Upstream], RankLink]


@dataclass
class _Group:
    """What the planner knows of one service's group."""

    links: GroupLinks
    demand: ExpertDemand = ExpertDemand()
    wish: MapWish | None = None
    maps: RankMaps | None = None
    maps_of: tuple[int, int] | None = None
    stage: str = ''
    stage_since: timedelta = timedelta()
    whole_at: timedelta = timedelta()
    was: tuple[int, bool] | None = None
    skew: float = 1.0


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
        self._groups: dict[str, _Group] = {}
        self._led = False
        self._pause = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        in_background(self._run_for_ever, 'planner')

    def _run_for_ever(self) -> None:
        while True:
            guarded(self._run_once)
            copying = any(
                each.stage.startswith('preparing')
                for each in self._groups.values()
            )
            pause = _COPY_LOOK if copying else LOOK_INTERVAL
            self._pause.wait(pause.total_seconds())

    def _run_once(self) -> None:
        table = self._state.table
        leads = self._mesh.leads() and table is not None
        if leads != self._led:
            self._led = leads
            self._log.event(LeaderChanged(leads))
        if not leads:
            self._groups.clear()
            self._mesh.publish((), can_plan=True)
            return
        briefs = []
        able = True
        for service in table.services.values():
            if service.engine is None or not service.engine.layers:
                continue
            brief = self._plan_service(service)
            if brief is not None:
                self._state.take_brief(brief)
                briefs.append(brief)
            able = able and self._sees(service.name)
        self._mesh.publish(tuple(briefs), can_plan=able)

    def _sees(self, service: str) -> bool:
        group = self._groups[service]
        return self._clock.elapsed() - group.whole_at < _BLIND

    def _plan_service(self, service: RoutedService) -> GroupBrief | None:
        group = self._groups.get(service.name)
        if group is None:
            group = _Group(GroupLinks(self._link_to(service.name)))
            group.whole_at = self._clock.elapsed()
            self._groups[service.name] = group
        reports = self._look(service, group, with_counts=True)
        if not reports:
            return None
        self._note_group(service, group, reports)
        for _round in range(_MOST_ROUNDS):
            if not self._next(service, group, reports):
                break
            reports = self._look(service, group, with_counts=False)
        return self._brief(service, group, reports)

    def _link_to(self, service: str) -> Callable[[str], RankLink]:
        def open_link(instance: str) -> RankLink:  # noqa: WPS430
            by_name = {
                each.instance: each
                for each in self._state.upstreams.registered(service)
            }
            return self._open_link(by_name[instance])

        return open_link

    def _look(
        self, service: RoutedService, group: _Group, *, with_counts: bool
    ) -> dict[int, RankReport]:
        registered = self._state.upstreams.registered(service.name)
        wanted = Look(with_counts, with_experts=with_counts and not group.maps)
        seen = group.links.look([each.instance for each in registered], wanted)
        self._instances = {
            each.report.rank: instance
            for instance, each in seen.items()
            if each.report is not None
        }
        reports = {
            each.report.rank: each.report
            for each in seen.values()
            if each.report is not None
        }
        if is_whole(reports):
            group.whole_at = self._clock.elapsed()
            _take_maps(group, reports, seen)
        if with_counts:
            counts = {
                each.report.rank: each.counts
                for each in seen.values()
                if each.report is not None and each.counts is not None
            }
            group.demand = group.demand.take(counts, self._clock.elapsed())
        return reports

    def _next(
        self,
        service: RoutedService,
        group: _Group,
        reports: dict[int, RankReport],
    ) -> bool:
        """Take one round; return whether another may follow at once."""
        decided = next_round(reports, group.wish)
        self._note_stage(service, group, decided.stage, reports)
        match decided.stage:
            case 'idle' | 'in use':
                group.wish = self._wish(service, group, reports, force=False)
                return group.wish is not None
            case 'a new map is needed':
                group.wish = self._wish(service, group, reports, force=True)
                return group.wish is not None
        if not decided.commands:
            return False
        orders = {
            self._instances[each.rank]: each.order for each in decided.commands
        }
        results = group.links.command(orders)
        for command in decided.commands:
            result = results[self._instances[command.rank]]
            if result in {OrderResult.REFUSED, OrderResult.NO_ANSWER}:
                name = type(command.order).__name__
                self._log.event(OrderFailed(command.rank, name, result.value))
        return not decided.stage.startswith('preparing')

    def _wish(
        self,
        service: RoutedService,
        group: _Group,
        reports: dict[int, RankReport],
        *,
        force: bool,
    ) -> MapWish | None:
        engine = service.engine
        tokens = group.demand.by_layer(engine.layers)
        if group.maps is None or not tokens or not sum(map(sum, tokens)):
            return None
        load = _load(tokens, reports)
        current = _slots(group.maps, engine)
        prices = PlacementPrices(
            horizon=_HORIZON_S,
            skew_weight=1,
            cost_weight=1,
            seconds_per_move=_COST_PER_COPY_S,
            max_moves=COPIES_PER_RANK * len(reports),
            copies=CopyLimits(
                COPIES_PER_RANK, engine.new_experts, engine.experts
            ),
        )
        plan = plan_moves(current, load, prices)
        group.skew = plan.skew_before
        gain = 1 - plan.skew_after / plan.skew_before
        if not plan.moves or (gain < _LEAST_GAIN and not force):
            if not force:
                return None
        seen = [
            max(each.map_version, each.prepared or 0, each.armed or 0)
            for each in reports.values()
        ]
        counter = max(seen) // _VERSIONS + 1
        version = counter * _VERSIONS + random.randrange(_VERSIONS)
        self._log.event(
            MapPlanned(
                service.name,
                version,
                len(plan.moves),
                round(plan.skew_before, 3),
                round(plan.skew_after, 3),
                sum(map(sum, tokens)),
                plan.reason,
            )
        )
        return MapWish(version, _rank_maps(plan.target, engine))

    def _note_stage(
        self,
        service: RoutedService,
        group: _Group,
        stage: str,
        reports: dict[int, RankReport],
    ) -> None:
        if stage == group.stage:
            return
        now = self._clock.elapsed()
        if stage != 'idle':
            self._log.event(
                MapStep(
                    service.name,
                    group.wish.version if group.wish else 0,
                    f'{group.stage} -> {stage}',
                    max((each.step for each in reports.values()), default=0),
                    len(reports),
                    now - group.stage_since,
                )
            )
        group.stage = stage
        group.stage_since = now

    def _note_group(
        self,
        service: RoutedService,
        group: _Group,
        reports: dict[int, RankReport],
    ) -> None:
        epoch = max(each.epoch for each in reports.values())
        now = (epoch, is_whole(reports))
        if now == group.was:
            return
        if group.was is not None and group.was[0] != epoch:
            # The group formed anew, with map 0 and nothing prepared.
            group.wish = None
            group.maps = None
        group.was = now
        self._log.event(GroupChanged(service.name, *now, len(reports)))

    def _brief(
        self,
        service: RoutedService,
        group: _Group,
        reports: dict[int, RankReport],
    ) -> GroupBrief:
        is_open = all(each.is_open for each in reports.values())
        opens_in = service.engine.form_ms + _RANK_BACK / timedelta(
            milliseconds=1
        )
        epoch = max((each.epoch for each in reports.values()), default=0)
        return GroupBrief(
            service.name,
            epoch,
            is_open,
            group.skew,
            0 if is_open else int(opens_in),
        )


def _take_maps(
    group: _Group, reports: dict[int, RankReport], seen: dict[str, Seen]
) -> None:
    """Learn which map is in use: from the wish, or from the ranks."""
    versions = {each.map_version for each in reports.values()}
    if len(versions) > 1:
        return
    in_use = (reports[0].epoch, min(versions))
    if group.maps_of == in_use and group.maps is not None:
        return
    if group.wish is not None and group.wish.version == in_use[1]:
        group.maps, group.maps_of = group.wish.maps, in_use
        return
    group.maps = None
    held = {
        each.report.rank: each.experts.experts
        for each in seen.values()
        if each.report is not None and each.experts is not None
        if (each.experts.epoch, each.experts.version) == in_use
    }
    if len(held) == len(reports):
        by_rank = [held[rank] for rank in range(len(held))]
        group.maps = tuple(zip(*by_rank, strict=True))
        group.maps_of = in_use


def _load(
    tokens: tuple[tuple[float, ...], ...], reports: dict[int, RankReport]
) -> GroupLoad:
    # An expert that nobody chose lately still has some demand, and an empty
    # slot, which stands last, has none.
    smoothed = tuple(
        (*(each + sum(layer) / len(layer) / 10 for each in layer), 0.0)
        for layer in tokens
    )
    slowness = tuple(reports[rank].pace for rank in range(len(reports)))
    return GroupLoad(smoothed, slowness)


def _slots(maps: RankMaps, engine: EngineFigures) -> ExpertMap:
    size = engine.slots_per_rank
    layers = tuple(
        tuple(
            expert
            for experts in layer
            for expert in (*experts, *[engine.experts] * (size - len(experts)))
        )
        for layer in maps
    )
    return ExpertMap(size, layers)


def _rank_maps(target: ExpertMap, engine: EngineFigures) -> RankMaps:
    size = target.slots_per_rank
    return tuple(
        tuple(
            tuple(
                sorted(
                    set(layer[start : start + size]) - {engine.experts}
                )
            )
            for start in range(0, len(layer), size)
        )
        for layer in target.layers
    )
