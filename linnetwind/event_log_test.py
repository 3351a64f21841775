"""Tests of the log, which must never block its callers."""

import json
import os
import threading
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from linnetwind.clock import ManualClock
from linnetwind.event_log import MAX_QUEUED_LINES, EventLog

NOW = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True)
class SampleEvent:
    """An event."""

    what: str
    took: timedelta = timedelta(seconds=1.5)


def test_an_event_is_written_as_one_line_with_its_fields():
    reader, writer = os.pipe()
    with os.fdopen(reader) as source, os.fdopen(writer, 'w') as stream:
        EventLog('d', ManualClock(NOW), stream).event(SampleEvent('x'))
        assert json.loads(source.readline()) == {
            'time': '2026-01-01T00:00:00.000+00:00',
            'daemon': 'd',
            'event': 'SampleEvent',
            'what': 'x',
            'took': 1.5,
        }


def test_a_full_pipe_blocks_no_caller():
    # Standard output is a full pipe. Lines are dropped and counted, and the
    # count is written when there is room.
    reader, writer = os.pipe()
    with os.fdopen(reader) as source, os.fdopen(writer, 'w') as stream:
        log = EventLog('d', ManualClock(NOW), stream)
        seen = []
        log.observe_with(seen.append)
        done = threading.Event()

        def flood():
            for _line in range(3 * MAX_QUEUED_LINES):
                log.event(SampleEvent('y' * 200))
            done.set()

        threading.Thread(target=flood, daemon=True).start()
        assert done.wait(30)
        assert len(seen) == 3 * MAX_QUEUED_LINES
        lines = [
            json.loads(source.readline()) for _line in range(MAX_QUEUED_LINES)
        ]
        log.event(SampleEvent('after'))
        while lines[-1].get('what') != 'after':
            lines.append(json.loads(source.readline()))
        dropped = [each for each in lines if each['event'] == 'LinesDropped']
        written = len(lines) - len(dropped) - 1
        assert written + sum(each['count'] for each in dropped) == len(
            seen
        ) - 1 - len(dropped)


def test_the_last_lines_are_written_before_a_process_ends():
    # A stopping process rejects callers up to its end and logs a line for each,
    # and its log is read slowly. When it ended while its last line, the stop,
    # was still queued behind them, the log did not show that it had stopped.
    reader, writer = os.pipe()
    with os.fdopen(reader) as source, os.fdopen(writer, 'w') as stream:
        log = EventLog('d', ManualClock(NOW), stream)
        for _line in range(2000):
            log.event(SampleEvent('refused' * 20))
        log.event(SampleEvent('stopped'))
        assert not log.wait_until_written(timedelta(milliseconds=1))
        read = []
        threading.Thread(
            target=lambda: read.extend(source.readline() for _ in range(2001)),
            daemon=True,
        ).start()
        assert log.wait_until_written(timedelta(seconds=30))
        for _poll in range(3000):
            if len(read) == 2001:
                break
            threading.Event().wait(0.01)
        assert json.loads(read[-1])['what'] == 'stopped'
