"""A rank group that takes the engine's orders, and a walk through faults.

Orders are lost, carried out late, and repeated; planners decide from old
reports and send later; ranks restart, all at once or one alone under its
name. After each pass the maps of all ranks are compared.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    PrepareMap,
    RankReport,
    ReleasePass,
)
from linnetwind.rollout import RankCommand, Round, TargetMap

# What may happen next in a walk, and how often; and what else where single
# ranks start again.
_EVENTS = (
    ('look', 'act', 'late', 'copy', 'pass', 'restart'),
    (20, 30, 10, 20, 20, 0.3),
)
_ALONE = (('restart one', 'form'), (1, 5))

Decide = Callable[[dict[int, RankReport], TargetMap | None], Round]


@dataclass
class RankModel:
    """One life of a rank; `had` is the highest version it was ever given."""

    born_ms: int = 1
    sequence: int = 0
    had: int = 0
    maps: tuple[int, object] = (0, None)
    prepared: tuple[int, object] | None = None
    copying: tuple[int, object] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None


@dataclass
class GroupModel:
    """All ranks, in lock-step.

    `binds_epoch` and `binds_sequence` say whether the engine refuses orders
    of another epoch, or for another number of orders begun.
    """

    size: int
    binds_epoch: bool = True
    binds_sequence: bool = True
    epoch: int = 1
    is_open: bool = True
    step: int = 0
    ranks: list[RankModel] = field(default_factory=list)
    mixed: list[int] = field(default_factory=list)
    switches: int = 0

    def __post_init__(self):
        """Start the ranks."""
        self.ranks = [RankModel() for _rank in range(self.size)]

    def reports(self) -> dict[int, RankReport]:
        """Return what each rank reports now."""
        return {rank: self.report(rank) for rank in range(self.size)}

    def report(self, rank: int) -> RankReport:
        """Return what a rank reports now."""
        each = self.ranks[rank]
        return RankReport(
            group='g',
            rank=rank,
            size=self.size,
            epoch=self.epoch,
            is_open=self.is_open,
            step=self.step,
            sequence=each.sequence,
            is_copying=each.copying is not None,
            map_version=each.maps[0],
            prepared=each.prepared[0] if each.prepared else None,
            armed=each.armed[0] if each.armed else None,
            armed_step=each.armed[1] if each.armed else None,
            held=each.held,
            pace=1,
            running=1,
            waiting=0,
            born_ms=each.born_ms,
        )

    def obey(self, command: RankCommand) -> bool:
        """Carry out an order; return whether it fitted the rank's state."""
        each = self.ranks[command.rank]
        order = command.order
        expect = getattr(order, 'expect', each.sequence)
        if self.binds_epoch and order.epoch != self.epoch:
            return False
        if self.binds_sequence and expect != each.sequence:
            return False
        match order:
            case PrepareMap(version=version, maps=maps):
                if version <= each.had or each.armed or each.copying:
                    return False
                each.had = version
                each.copying = (version, maps)
                each.sequence += 1
            case ArmMap(version, step):
                fits = each.prepared is not None and step > self.step
                if not fits or each.prepared[0] != version or each.armed:
                    return False
                each.armed = (version, step)
                each.sequence += 1
            case DisarmMap(version):
                if not each.armed or each.armed[0] != version:
                    return False
                each.armed = None
                each.sequence += 1
            case HoldPass(step):
                if each.held is not None or step <= self.step:
                    return False
                each.held = step
            case ReleasePass(step):
                if each.held != step:
                    return False
                each.held = None
        return True

    def copy_done(self, rank: int) -> None:
        """Finish copying at a rank."""
        each = self.ranks[rank]
        if each.copying:
            each.prepared, each.copying = each.copying, None

    def try_pass(self) -> bool:
        """Begin the next pass unless it is held; compare all maps."""
        coming = self.step + 1
        if not self.is_open or any(each.held == coming for each in self.ranks):
            return False
        self.step = coming
        for each in self.ranks:
            if each.armed and each.armed[1] == coming:
                each.maps = each.prepared
                each.armed = None
                self.switches += 1
        if len({repr(each.maps) for each in self.ranks}) > 1:
            self.mixed.append(coming)
        return True

    def restart(self) -> None:
        """Form anew after all ranks have crashed."""
        self.epoch += 1
        self.is_open = True
        self.ranks = [RankModel(each.born_ms + 1) for each in self.ranks]

    def restart_rank(self, rank: int) -> None:
        """Start one rank again under its name; the group is broken.

        The rank still names the epoch of before, holds nothing, and takes
        orders.
        """
        self.is_open = False
        self.ranks[rank] = RankModel(self.ranks[rank].born_ms + 1)

    def form(self) -> None:
        """Open a broken group in a new epoch, with map 0 and nothing held."""
        if self.is_open:
            return
        self.epoch += 1
        self.is_open = True
        self.ranks = [
            RankModel(each.born_ms, each.sequence) for each in self.ranks
        ]


class Walk:
    """A random walk of several planners over one group."""

    def __init__(
        self,
        seed: int,
        size: int,
        planners: int,
        decide: Decide,
        partly: bool = False,
        group: GroupModel | None = None,
        alone: bool = False,
    ):
        """Set the walk up.

        Args:
          seed: The seed of all choices.
          size: The ranks.
          planners: How many planners act at once.
          decide: The decision under test.
          partly: Whether answers to orders bring the rank's report, so that
            a planner goes on with reports of different age.
          group: The group; one whose engine refuses late orders if left out.
          alone: Whether single ranks start again under their names, too.
        """
        self.partly = partly
        self.alone = alone
        self.random = random.Random(seed)
        self.group = group or GroupModel(size)
        self.decide = decide
        self.wishes: list[TargetMap | None] = [None] * planners
        self.views: list[dict[int, RankReport]] = [{}] * planners
        self.late: list[RankCommand] = []

    def run(self, steps: int) -> GroupModel:
        """Walk with faults, then without.

        Args:
          steps: The number of random events.

        Returns:
          The group as it was left.
        """
        for _step in range(steps):
            self._event()
        return self.group

    def settle(self, steps: int = 200) -> None:
        """Let one planner act alone, with nothing lost any more."""
        self.late.clear()
        self.group.form()
        for _step in range(steps):
            self._look(0)
            self._act(0, loss=0)
            for rank in range(self.group.size):
                self.group.copy_done(rank)
            self.group.try_pass()

    def _event(self) -> None:
        planner = self.random.randrange(len(self.wishes))
        events, weights = _EVENTS
        if self.alone:
            events, weights = events + _ALONE[0], weights + _ALONE[1]
        match self.random.choices(events, weights)[0]:
            case 'look':
                self._look(planner)
            case 'act':
                self._act(planner, loss=0.3)
            case 'late' if self.late:
                place = self.random.randrange(len(self.late))
                self.group.obey(self.late.pop(place))
            case 'copy':
                self.group.copy_done(self.random.randrange(self.group.size))
            case 'pass':
                self.group.try_pass()
            case 'restart':
                self.group.restart()
            case 'restart one':
                rank = self.random.randrange(self.group.size)
                self.group.restart_rank(rank)
            case 'form':
                self.group.form()

    def _look(self, planner: int) -> None:
        # Ranks answer one after the other: some reports are newer.
        old = self.views[planner]
        self.views[planner] = {
            rank: old[rank]
            if old and self.random.random() < 0.15
            else self.group.report(rank)
            for rank in range(self.group.size)
        }

    def _act(self, planner: int, loss: float) -> None:
        view = self.views[planner]
        decided = self.decide(view, self.wishes[planner])
        if view and decided.stage in {'idle', 'in use', 'a new map is needed'}:
            self.wishes[planner] = self._wish(view)
        for command in decided.commands:
            chance = self.random.random()
            if chance < loss:
                if chance < loss * 0.7:
                    self.late.append(command)
                continue
            self.group.obey(command)
            if self.partly and self.random.random() < 0.7:
                # The answer brings the rank's report; those of the other
                # ranks stay as old as they are.
                report = self.group.report(command.rank)
                self.views[planner] = {
                    **self.views[planner],
                    command.rank: report,
                }
            if self.random.random() < loss / 3:
                self.late.append(command)

    def _wish(self, view: dict[int, RankReport]) -> TargetMap:
        seen = max(
            max(each.map_version, each.prepared or 0) for each in view.values()
        )
        version = (seen // 1000 + 1) * 1000 + self.random.randrange(1000)
        return TargetMap(version, (version,))
