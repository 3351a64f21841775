"""Replay synthetic demand against a planning policy for expert maps.

`python -m standins.expert_replay POLICY RANKS...` prints the skew over time,
the copies made and the processor time of the plans.
"""

import random
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Protocol

from linnetwind.experts.copy_payback import USUAL_LIFE, ShiftHistory
from linnetwind.experts.expert_demand import ExpertDemand
from linnetwind.experts.lasting_demand import LastingDemand
from linnetwind.experts.target_map import (
    PlannedMap,
    PlanTerms,
    can_gain,
    map_skew,
    plan_map,
)
from linnetwind.placement import even_map
from linnetwind.rank_messages import make_lane_counts
from linnetwind.rank_types import LaneCounts, RankCounts, RankMaps, RankReport
from linnetwind.routes import EngineProfile
from standins.expert_demand_model import DemandTerms, TopicDemand
from standins.gateway_fixtures import make_engine
from standins.rank_orders import GroupModel

_LINK_MBIT_S = 92_000
_EXPERT_GB = 0.15
_BITS_PER_BYTE = 8
_DURATION_S = 34
_POLL_S = 0.1
_POLL_S_PER_RANK = 0.002
_ROLLOUT_S = (0.3, 0.7)
_STREAMS_PER_RANK = 4
_REPLAN_S = 1

Demand = tuple[tuple[float, ...], ...]


@dataclass(frozen=True)
class Case:
    """A group and its demand; `shift_s` as in `DemandTerms`."""

    ranks: int
    shift_s: tuple[float, float] | None = (2, 3)
    utilization: float = 1
    seed: int = 1
    duration_s: float = _DURATION_S
    layers: int = 12
    experts: int = 128
    batch: int = 1


@dataclass(frozen=True)
class View:
    """What a policy plans from."""

    maps: RankMaps
    reports: dict[int, RankReport]
    engine: EngineProfile
    utilization: float
    now: timedelta


@dataclass(frozen=True)
class Outcome:
    """The skew at each poll, the GB copied and the seconds of each plan.

    `late_gb` are the GB copied in the second half.
    """

    skews: tuple[float, ...]
    copied_gb: float
    late_gb: float
    plan_seconds: tuple[float, ...]

    @property
    def mean_skew(self) -> float:
        """Return the mean skew over time."""
        return statistics.mean(self.skews)

    @property
    def high_skew(self) -> float:
        """Return the 0.9 quantile of the skew over time."""
        return sorted(self.skews)[int(len(self.skews) * 0.9)]


class Policy(Protocol):
    """A policy under test."""

    def apply_counts(self, counts: LaneCounts, now: timedelta) -> None:
        """Learn the counts of a poll."""

    def plan(self, view: View) -> PlannedMap | None:
        """Plan; return None if no plan was computed."""


class PresentDemandPolicy:
    """Plans for the present demand alone, whenever a plan gains enough."""

    def __init__(self) -> None:
        """Start without counts."""
        self._demand = ExpertDemand()
        self._futile = (float(0), timedelta())

    def apply_counts(self, counts: LaneCounts, now: timedelta) -> None:
        """Learn the counts of a poll."""
        self._demand = self._demand.apply_counts({0: counts}, now)

    def plan(self, view: View) -> PlannedMap | None:
        """Plan if the skew promises a gain."""
        return self._plan(
            view, self._demand.by_layer(view.engine.layers), USUAL_LIFE
        )

    def _plan(
        self, view: View, tokens: Demand, life: timedelta
    ) -> PlannedMap | None:
        if not sum(map(sum, tokens)):
            return None
        current = map_skew(view.maps, tokens, view.reports, view.engine)
        futile, since = self._futile
        if view.now - since >= timedelta(seconds=_REPLAN_S):
            futile = 0
        if not can_gain(current, view.utilization, futile, life):
            return None
        planned = plan_map(
            view.maps,
            tokens,
            view.reports,
            view.engine,
            utilization=view.utilization,
            force=False,
            terms=PlanTerms(life),
        )
        if planned.target is None:
            self._futile = (current, view.now)
        return planned


class LastingDemandPolicy(PresentDemandPolicy):
    """Plans for the demand that lasts, with the expected life of its gain."""

    def __init__(self) -> None:
        """Start without counts."""
        super().__init__()
        self._lasting = LastingDemand()
        self._shifts = ShiftHistory()

    def apply_counts(self, counts: LaneCounts, now: timedelta) -> None:
        """Learn the counts of a poll."""
        super().apply_counts(counts, now)
        self._lasting = self._lasting.apply_counts(
            self._demand.added, self._demand.recent, now
        )
        self._shifts = self._shifts.begin(now)
        if self._lasting.has_shifted:
            self._shifts = self._shifts.record_shift(now)

    def plan(self, view: View) -> PlannedMap | None:
        """Plan if the skew promises a gain."""
        return self._plan(
            view,
            self._lasting.by_layer(view.engine.layers),
            self._shifts.expected_life(view.now),
        )


def make_case_engine(case: Case) -> EngineProfile:
    """Return the engine of a case; a copy takes as long as its link needs."""
    copy_ms = _EXPERT_GB * _BITS_PER_BYTE / _LINK_MBIT_S * 1e6
    return make_engine(
        layers=case.layers,
        experts=case.experts,
        slots_per_rank=5,
        new_experts=2,
        expert_gb=_EXPERT_GB,
        copy_ms=copy_ms,
    )


def first_maps(case: Case, engine: EngineProfile) -> RankMaps:
    """Return the maps that spread all experts evenly."""
    size = engine.slots_per_rank
    even = even_map(case.ranks, size, case.layers, case.experts)
    starts = range(0, case.ranks * size, size)
    return tuple(
        tuple(tuple(sorted(set(layer[at : at + size]))) for at in starts)
        for layer in even.layers
    )


def replay(case: Case, policy: Policy) -> Outcome:
    """Replay a case against a policy.

    A plan is in use 300 to 700 ms after it was made, and the next plan is made
    at the first poll after that.

    Args:
      case: The case.
      policy: The policy.

    Returns:
      The outcome.
    """
    engine = make_case_engine(case)
    terms = DemandTerms(
        case.layers,
        case.experts,
        max(1, round(case.ranks * _STREAMS_PER_RANK * case.utilization)),
        case.shift_s,
        case.batch,
    )
    model = TopicDemand(terms, case.seed)
    timing = random.Random(case.seed)
    reports = GroupModel(case.ranks).reports()
    maps = first_maps(case, engine)
    total = [0] * (case.layers * case.experts)
    pending = None
    skews, copies, plan_seconds = [], [], []
    poll = max(_POLL_S, _POLL_S_PER_RANK * case.ranks)
    for number in range(int(case.duration_s / poll)):
        now = number * poll
        model.advance(now)
        total = [a + b for a, b in zip(total, model.counts(), strict=True)]
        lanes = make_lane_counts(RankCounts(1, number, tuple(total)))
        at = timedelta(seconds=now)
        policy.apply_counts(lanes, at)
        if pending is not None and now >= pending[0]:
            maps, pending = pending[1], None
        skews.append(map_skew(maps, model.demand(), reports, engine))
        if pending is not None:
            continue
        begun = time.thread_time()
        planned = policy.plan(View(maps, reports, engine, case.utilization, at))
        if planned is not None:
            plan_seconds.append(time.thread_time() - begun)
        if planned is not None and planned.target is not None:
            copies.append((now, planned.moves * engine.expert_gb))
            pending = (now + timing.uniform(*_ROLLOUT_S), planned.target.maps)
    late = sum(gb for made, gb in copies if made >= case.duration_s / 2)
    copied = sum(gb for _made, gb in copies)
    return Outcome(tuple(skews), copied, late, tuple(plan_seconds))


POLICIES: dict[str, Callable[[], Policy]] = {
    'present': PresentDemandPolicy,
    'lasting': LastingDemandPolicy,
}
CASES = {
    'hard': Case(72, (2, 3)),
    'bursty': Case(72, (2, 3), batch=6),
    'slow': Case(72, (6, 6)),
    'calm': Case(72, None),
    'light': Case(72, (2, 3), utilization=0.3),
}


def report(name: str, case: Case, outcome: Outcome) -> str:
    """Return the figures of an outcome in one line."""
    seconds = outcome.plan_seconds or (float(0),)
    return (
        f'{name:22} {case.ranks:4} skew {outcome.mean_skew:.3f}'
        f' high {outcome.high_skew:.3f} GB {outcome.copied_gb:6.0f}'
        f' (later half {outcome.late_gb:5.0f}) plans {len(seconds):3}'
        f' ms {statistics.mean(seconds) * 1000:4.0f}'
        f' max {max(seconds) * 1000:4.0f}'
    )


def main() -> None:
    """Print a line for each case and number of ranks."""
    name, *sizes = sys.argv[1:]
    for size in map(int, sizes):
        for kind, base in CASES.items():
            case = replace(base, ranks=size)
            outcome = replay(case, POLICIES[name]())
            print(report(f'{name} {kind}', case, outcome), flush=True)


if __name__ == '__main__':
    main()
