"""Logs the limits of rank groups when they change."""

from collections.abc import Mapping
from datetime import timedelta

from linnetwind.admission.limit_report import GroupLimitReport
from linnetwind.admission.stream_admission_control import StreamAdmission
from linnetwind.event_log import EventLog
from linnetwind.gateway_events import GroupLimitChanged

# How often limits are compared, so that each group logs at most one a second.
_INTERVAL = timedelta(seconds=1)
# A limit that has changed by less than this fraction is not logged.
_MIN_CHANGE = 0.1

Reports = Mapping[str, GroupLimitReport]


class GroupLimitLog:
    """Compares the limits once a second with those that were logged last."""

    def __init__(self, admission: StreamAdmission, log: EventLog) -> None:
        """Start without any logged limits.

        Args:
          admission: Knows the limit of each group.
          log: The log.
        """
        self._admission = admission
        self._log = log
        self._logged: Reports = {}

    def run_once(self) -> timedelta:
        """Log the limits that have changed.

        Returns:
          The time to wait before the next comparison.
        """
        present = self._admission.limit_reports()
        changed = changed_limits(self._logged, present)
        for group, report in changed.items():
            self._log.event(
                GroupLimitChanged(
                    group,
                    report.limit,
                    round(report.forecast_ms, 1),
                    round(report.observed_ms, 1),
                    report.reason,
                )
            )
        # Groups that are gone are logged again if they come back.
        known = {**self._logged, **changed}
        self._logged = {name: known[name] for name in present}
        return _INTERVAL


def changed_limits(logged: Reports, present: Reports) -> Reports:
    """Return the limits that differ from those that were logged.

    Args:
      logged: The last logged limit of each group.
      present: The present limits.

    Returns:
      The limits that have changed noticeably, or for another reason.
    """
    return {
        name: report
        for name, report in present.items()
        if name not in logged or _has_changed(logged[name], report)
    }


def _has_changed(before: GroupLimitReport, now: GroupLimitReport) -> bool:
    difference = abs(now.limit - before.limit)
    return (
        before.reason != now.reason or difference > before.limit * _MIN_CHANGE
    )
