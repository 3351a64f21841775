"""Tests of the events and metrics of streams by priority."""

from dataclasses import fields
from datetime import UTC, datetime, timedelta

from linnetwind.admission.group_capacity import GroupCount
from linnetwind.admission.queue_order import PermitRequest
from linnetwind.admission.service_groups import ClassState
from linnetwind.admission.stream_admission_control import StreamAdmission
from linnetwind.clock import ManualClock
from linnetwind.explanation import explain_request, format_line, read_lines
from linnetwind.gateway_events import RequestEnded
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.peers.peer_table import GroupSummary
from linnetwind.routes import RoutedService
from standins.gateway_fixtures import MS, SECOND, make_engine

REJECTED = (
    '{"time": "2026-12-03T10:00:00.500+00:00", "daemon": "edge-1", '
    '"event": "StreamRejected", "request": "r1", "service": "model", '
    '"priority": 2, "customer": "bulk", "room": 0, '
    '"reason": "no room in time", "retry_after": 0.9, "returning": false}'
)


def _ended(**changes):
    blank = dict.fromkeys((each.name for each in fields(RequestEnded)))
    return RequestEnded(
        **{**blank, 'took': SECOND, 'outcome': 'refused', **changes}
    )


def test_streams_are_counted_by_priority_and_outcome():
    metrics = GatewayMetrics()
    metrics.observe(_ended(priority=2))
    metrics.observe(_ended())
    metrics.watch_streams(lambda: [ClassState(2, 3, 1)])
    text = metrics.render().decode()
    counted = 'linnetwind_streams_total{outcome="refused",priority="2"} 1.0'
    assert counted in text
    assert 'linnetwind_streams_waiting{priority="2"} 3.0' in text
    assert 'linnetwind_room{priority="2"} 1.0' in text


def test_explain_shows_why_a_stream_was_rejected():
    # Priority, customer and room tell whether the caller's class had permits.
    (line,) = explain_request(read_lines([REJECTED]), 'r1', timedelta())
    shown = format_line(line)
    assert 'priority 2, customer bulk, room 0, reason no room' in shown


def test_the_room_of_a_priority_is_what_its_streams_could_use():
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    clock.advance(SECOND)
    admission = StreamAdmission(clock)
    admission.apply_summary(GroupSummary('model', 'a', 1, True, 1.2, 0, ()))
    service = RoutedService('model', '/health', 248, make_engine())

    def read_view(gap):
        counts = {'a': GroupCount(0, 0, 16)}
        return admission.view(service, gap, counts, (), 30 * MS)

    for priority in (0, 2):
        request = PermitRequest(
            clock.elapsed(), SECOND, 120 * MS, False, priority
        )
        admission.acquire_permit(
            'model', request, read_view, lambda: None, lambda: True
        )
        clock.advance(100 * MS)
    read_view(120 * MS)
    urgent, batch = admission.class_states()
    assert (urgent.priority, batch.priority) == (0, 2)
    assert urgent.room >= batch.room > 0
    assert urgent.waiting == 0
    assert admission.class_states('model') == [urgent, batch]
    assert not admission.class_states('other')
