"""Reports the limits of rank groups and their reasons, for the log."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.admission.group_capacity import GroupCapacity
from linnetwind.admission.pass_time_estimator import PAUSE_QUANTILE
from linnetwind.admission.service_capacity import ServiceCapacity
from linnetwind.admission.slow_group import AwaitRecovery, ServeLate


@dataclass(frozen=True, slots=True)
class GroupLimitReport:
    """The limit of a group, and the reason for it.

    `forecast_ms` is the forecast of a pass with that many streams, and
    `observed_ms` a long pause of the last seconds.
    """

    limit: int
    forecast_ms: float
    observed_ms: float
    reason: str


def report_limits(
    services: Mapping[str, ServiceCapacity], now: timedelta
) -> dict[str, GroupLimitReport]:
    """Return the limit of each group that has one.

    Args:
      services: The services by name.
      now: The monotonic time.

    Returns:
      The limits by the names of service and group.
    """
    return {
        f'{service}/{name}': _report(group, now)
        for service, state in services.items()
        for name, group in state.groups.items()
        if group.forecast is not None
    }


def _report(group: GroupCapacity, now: timedelta) -> GroupLimitReport:
    limit = group.forecast.limit
    reason = 'forecast' if group.forecast.is_corrected else 'pauses'
    match group.slow_decision:
        case ServeLate(late_limit):
            limit = late_limit
            reason = 'slow rank, responses are late'
        case AwaitRecovery():
            reason = 'slow rank, callers retry later'
    pauses = sorted(
        each.length
        for each in group.estimator.recent_pauses(now, group.paces.pace)
    )
    observed = timedelta()
    if pauses:
        observed = pauses[int(len(pauses) * PAUSE_QUANTILE)]
    return GroupLimitReport(
        limit,
        group.forecast.pass_ms(limit),
        observed / timedelta(milliseconds=1),
        reason,
    )
