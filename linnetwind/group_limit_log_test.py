"""Tests of the log of the groups' limits."""

from dataclasses import replace
from datetime import timedelta

from linnetwind.admission.group_capacity import GroupCapacity
from linnetwind.admission.limit_report import GroupLimitReport, report_limits
from linnetwind.admission.pass_forecast import PassForecast
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.admission.wait_queue import WaitQueue
from linnetwind.clock import SystemClock
from linnetwind.gateway_events import GroupLimitChanged
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.group_limit_log import GroupLimitLog

REPORT = GroupLimitReport(100, 90.04, 85.0, 'forecast')


class Recorder:
    """Both the admission control and the log."""

    def __init__(self):
        self.reports = {'model/a': REPORT}
        self.events = []

    def limit_reports(self):
        """Return the present limits."""
        return self.reports

    def event(self, event):
        """Record an event."""
        self.events.append(event)


def test_a_limit_is_logged_when_it_changes():
    recorder = Recorder()
    log = GroupLimitLog(recorder, recorder)
    metrics = GatewayMetrics()
    log.run_once()
    expected = GroupLimitChanged('model/a', 100, 90.0, 85.0, 'forecast')
    assert recorder.events == [expected]
    # Small steps are logged when they add up.
    for limit in (105, 109, 111):
        recorder.reports = {'model/a': replace(REPORT, limit=limit)}
        log.run_once()
    assert [each.limit for each in recorder.events] == [100, 111]
    slow = replace(REPORT, limit=111, reason='slow rank')
    recorder.reports = {'model/a': slow}
    log.run_once()
    log.run_once()
    assert [each.reason for each in recorder.events[2:]] == ['slow rank']
    metrics.observe(recorder.events[1])
    shown = metrics.render().decode()
    assert 'linnetwind_group_limit{group="model/a"} 111.0' in shown
    seconds = 'linnetwind_group_pass_forecast_seconds{group="model/a"} 0.09'
    assert seconds in shown


def test_a_limit_by_the_pauses_of_other_daemons_is_a_forecast():
    # This daemon has no pauses of its own. The log named the pauses as the
    # reason while the limit followed the corrections of its peers.
    group = GroupCapacity(forecast=PassForecast(9, 20, 1, is_corrected=True))
    service = ServiceCapacity(WaitQueue(SystemClock()), groups={'a': group})
    reports = report_limits({'model': service}, timedelta())
    assert reports['model/a'].reason == 'forecast'
