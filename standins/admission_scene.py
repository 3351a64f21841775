"""The callers of a replay of admission, and what becomes of their streams."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from standins.gateway_fixtures import MS

# What a late response is worth, of one in time.
LATE_WORTH = 0.4
IN_TIME, LATE, REJECTED = 'in time', 'late', 'rejected'


@dataclass(frozen=True)
class CallerClass:
    """The streams of one priority; `burst` is the factor by time in seconds."""

    priority: int
    per_s: float
    target: timedelta
    burst: Callable[[float], float]
    gap: timedelta = 120 * MS


@dataclass(frozen=True)
class Scene:
    """What is replayed; `weights` are the customers' shares of the streams."""

    classes: tuple[CallerClass, ...]
    limit: int
    duration: timedelta
    weights: tuple[float, ...]
    seconds: int = 16
    daemons: int = 15
    lost: float = 0.05


# The classes of the first deployment of docs/design/hard-load.md in two bursts.
# Three of 24 customers send half of the streams.
TWO_BURSTS = Scene(
    (
        CallerClass(0, 40.5, 400 * MS, lambda at: 1.6 if 10 <= at < 14 else 1),
        CallerClass(1, 17.9, 400 * MS, lambda at: 1),
        CallerClass(2, 53.5, 1000 * MS, lambda at: 3 if 4 <= at < 14 else 1),
    ),
    260,
    1500 * MS,
    (9, 7, 5, *(21 * [1])),
)


@dataclass
class Outcomes:
    """The number of callers by class, customer and outcome."""

    _counts: Counter = field(default_factory=Counter)

    def add(self, kind: CallerClass, customer: str, outcome: str) -> None:
        """Count the outcome of one caller."""
        self._counts[(kind.priority, customer, outcome)] += 1

    def counts(self, priority: int | None, customer: str | None = None):
        """Count the outcomes of a class or customer."""
        counts = Counter()
        for (kind, name, outcome), count in self._counts.items():
            if priority in {None, kind} and customer in {None, name}:
                counts[outcome] += count
        return counts

    def worth(self, priority: int | None, customer: str | None = None) -> float:
        """Return the mean worth of a response to a class or customer."""
        counts = self.counts(priority, customer)
        earned = counts[IN_TIME] + LATE_WORTH * counts[LATE]
        return earned / max(1, counts.total())

    def table(self, title: str, customers: tuple[str, ...]) -> str:
        """Return a table by class, and of some customers of the last one."""
        lines = [f'{title:22}  in time  late  rejected  worth']
        rows = [('all', None, None)]
        rows += [(f'class {each}', each, None) for each in range(3)]
        rows += [(f'class 2, {each}', 2, each) for each in customers]
        for name, priority, customer in rows:
            counts = self.counts(priority, customer)
            numbers = f'{counts[IN_TIME]:7}  {counts[LATE]:4}'
            worth = self.worth(priority, customer)
            lines.append(
                f'{name:22}  {numbers}  {counts[REJECTED]:8}  {worth:5.3f}'
            )
        return '\n'.join(lines)
