"""A rollout during which one rank starts again under its name."""

from collections.abc import Callable
from dataclasses import dataclass

from linnetwind.rank_types import RankReport
from linnetwind.rollout import RankCommand, Round, TargetMap
from standins.rank_orders import GroupModel

Decide = Callable[[dict[int, RankReport], TargetMap | None], Round]


@dataclass(frozen=True)
class Restart:
    """When a rank starts again, and which orders of before come late.

    `point` counts the orders, copies and passes of a rollout. Orders of type
    `late` (all, if None) that were given before the restart are carried out
    again right after it, while the group is broken; when it has formed; and
    after everything that happens later.
    """

    point: int
    rank: int
    late: type | None


class RestartScript:
    """A rollout during which one rank starts again under its name.

    One planner looks at all ranks and orders, round by round.
    """

    def __init__(self, group: GroupModel, restart: Restart, decide: Decide):
        """Set the script up.

        Args:
          group: The group.
          restart: The rank that starts again.
          decide: The decision under test.
        """
        self.group = group
        self.happened = 0
        self.used: set[int] = set()
        self._restart = restart
        self._decide = decide
        self._given: list[RankCommand] = []
        self._started_again = False

    def run(self, wishes: list[TargetMap], rounds: int) -> None:
        """Have the group take up maps.

        Args:
          wishes: The maps that are wanted; the next one when one is in use
            or the group has formed anew.
          rounds: How often the planner looks.
        """
        wanted = list(wishes)
        epoch = self.group.epoch
        for _round in range(rounds):
            decided = self._decide(self.group.reports(), wanted[0])
            for command in decided.commands:
                self._happens(command)
            for rank in range(self.group.size):
                self._happens(rank)
            self._happens(None)
            versions = {each.maps[0] for each in self.group.ranks}
            self.used |= versions
            if versions == {wanted[0].version} or epoch != self.group.epoch:
                epoch = self.group.epoch
                wanted = wanted[1:] or wanted

    def _happens(self, event: RankCommand | int | None) -> None:
        """Carry out an order, end a copy, or begin a pass."""
        if self.happened == self._restart.point:
            self._start_again()
        self.happened += 1
        match event:
            case RankCommand():
                self.group.obey(event)
                self._keep(event)
            case int():
                self.group.copy_done(event)
            case None:
                self.group.try_pass()
        if self._started_again:
            self._repeat()

    def _start_again(self) -> None:
        self._started_again = True
        self.group.restart_rank(self._restart.rank)
        self._repeat()
        self.group.form()
        self._repeat()

    def _keep(self, command: RankCommand) -> None:
        late = self._restart.late
        if not self._started_again:
            if late is None or isinstance(command.order, late):
                self._given.append(command)

    def _repeat(self) -> None:
        for command in self._given:
            self.group.obey(command)
