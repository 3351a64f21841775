"""Decide whether a group gets a new expert map, and which one.

Handles a group whose demand for experts shifts. A plan takes much processor
time, so none is made where it could not gain enough.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.experts.target_map import (
    PlannedMap,
    PlanTerms,
    can_gain,
    even_demand,
    map_skew,
    plan_map,
)
from linnetwind.gateway_events import MapPlanned
from linnetwind.planned_group import PlannedGroup, Reports
from linnetwind.routes import EngineProfile

# For how long no new plan is made after one that gained too little, as long as
# the skew stays. Without this limit ten such plans were made per second.
_REPLAN_DELAY = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """What a plan of a group is made from, besides the group's own state.

    `utilization` is the running streams over the group's capacity, `now` the
    monotonic time, and `force` whether a new version is needed even without a
    gain.
    """

    engine: EngineProfile
    reports: Reports
    utilization: float
    now: timedelta
    force: bool


def plan_group(
    group: PlannedGroup, request: PlanRequest, pause: Callable[[], None]
) -> PlannedMap | None:
    """Plan the next map of a group and record the skew of the map in use.

    Args:
      group: The group.
      request: The terms of the plan.
      pause: Called repeatedly while the plan is made.

    Returns:
      The planned map, which has a target; None if the map in use stays.
    """
    engine = request.engine
    tokens = _demand(group, request)
    if group.maps is None or not tokens:
        return None
    group.skew = map_skew(group.maps, tokens, request.reports, engine)
    life = group.shifts.expected_life(request.now)
    if not request.force and not can_gain(
        group.skew, request.utilization, _futile_skew(group, request.now), life
    ):
        return None
    planned = plan_map(
        group.maps,
        tokens,
        request.reports,
        engine,
        utilization=request.utilization,
        force=request.force,
        terms=PlanTerms(life, pause),
    )
    if planned.target is None:
        group.settled = group.skew
        group.settled_at = request.now
        return None
    return planned


def map_planned(
    name: str, planned: PlannedMap, group: PlannedGroup, request: PlanRequest
) -> MapPlanned:
    """Return the log event of a planned map.

    Args:
      name: The group's name in the log.
      planned: The plan, which has a target.
      group: The group.
      request: The terms of the plan.

    Returns:
      The event.
    """
    tokens = _demand(group, request)
    return MapPlanned(
        name,
        planned.target.version,
        planned.moves,
        round(planned.skew_before, 3),
        round(planned.skew_after, 3),
        round(sum(map(sum, tokens))),
        planned.reason,
        round(planned.moves * request.engine.expert_gb, 3),
        group.shifts.expected_life(request.now),
    )


def _futile_skew(group: PlannedGroup, now: timedelta) -> float:
    return group.settled if now - group.settled_at < _REPLAN_DELAY else 0


def _demand(
    group: PlannedGroup, request: PlanRequest
) -> tuple[tuple[float, ...], ...]:
    tokens = group.lasting.by_layer(request.engine.layers)
    if sum(map(sum, tokens)):
        return tokens
    # A held group runs no passes to count, but needs a new version.
    return even_demand(request.engine) if request.force else ()
