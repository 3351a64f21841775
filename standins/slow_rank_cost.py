"""What one slow rank costs a group of some size, by the costs of its engines.

`python -m standins.slow_rank_cost` prints a row a size: streams that a group
completes in a second with all ranks well, and with one rank five times slower,
where all of them are late.
"""

from linnetwind.admission.pass_forecast import (
    GroupShape,
    PassCorrection,
    forecast,
)
from linnetwind.admission.slow_group import (
    CallerPatience,
    GroupLimits,
    PassCosts,
    ServeInTime,
    ServeLate,
    decide_slow_group,
    longest_tolerable_ms,
)
from standins.gateway_fixtures import MS, SECOND, make_engine

_ENGINE = make_engine(
    slots=5, steps_per_pass=6, step_ms=5.85, sequence_ms=0.852
)
_GAP = 120 * MS
_EVENTS = 23
_PACE = 5
_SKEW = 1.4
_READING_MS = 20
# The share of the time for which each rank is slow.
_SLOW_SHARE = 0.001
_PATIENCE = CallerPatience(2 * SECOND, SECOND, 10 * SECOND)


def completed_per_s(ranks: int, pace: float) -> tuple[float, bool]:
    """Return the streams completed in a second, and whether they are late."""
    shape = GroupShape(ranks, ranks * _ENGINE.slots, _SKEW, pace)
    found = forecast(_ENGINE, shape, _GAP, PassCorrection(_READING_MS, 1, 1))
    decision = decide_slow_group(
        PassCosts(found.fixed_ms, found.part_ms, pace),
        GroupLimits(found.limit, _GAP, (ranks - 1) * _ENGINE.slots),
        longest_tolerable_ms(_PATIENCE, _EVENTS),
        ServeInTime(),
    )
    is_late = isinstance(decision, ServeLate)
    streams = decision.limit if is_late else found.limit
    return 1_000 * streams / found.pass_ms(streams) / _EVENTS, is_late


def main() -> None:
    """Print a row for each size."""
    for ranks in (16, 32, 64, 128):
        well, _late = completed_per_s(ranks, 1)
        slow, is_late = completed_per_s(ranks, _PACE)
        share = 1 - (1 - _SLOW_SHARE) ** ranks
        print(
            f'{ranks:3} ranks: {well:5.1f}/s in time; one slow rank '
            f'{slow:5.1f}/s, late: {is_late}; slow for {share:.1%} of the time'
        )


if __name__ == '__main__':
    main()
