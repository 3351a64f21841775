"""Tests of a log that never blocks."""

import json
import os
import threading
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from linnetwind.clock import ManualClock
from linnetwind.step_log import MOST_WAITING, StepLog

NOW = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True)
class Happened:
    """An event."""

    what: str
    took: timedelta = timedelta(seconds=1.5)


def test_an_event_is_one_line_with_its_fields():
    reader, writer = os.pipe()
    with os.fdopen(reader) as source, os.fdopen(writer, 'w') as stream:
        StepLog('d', ManualClock(NOW), stream).event(Happened('x'))
        assert json.loads(source.readline()) == {
            'time': '2026-01-01T00:00:00.000+00:00',
            'daemon': 'd',
            'event': 'Happened',
            'what': 'x',
            'took': 1.5,
        }


def test_a_reader_that_stops_reading_blocks_nobody():
    # Standard output is a pipe that is full. Requests go on; lines are
    # dropped and counted, and the count is written when there is room.
    reader, writer = os.pipe()
    with os.fdopen(reader) as source, os.fdopen(writer, 'w') as stream:
        log = StepLog('d', ManualClock(NOW), stream)
        seen = []
        log.observe_by(seen.append)
        done = threading.Event()

        def flood():
            for _line in range(3 * MOST_WAITING):
                log.event(Happened('y' * 200))
            done.set()

        threading.Thread(target=flood, daemon=True).start()
        assert done.wait(30)
        assert len(seen) == 3 * MOST_WAITING
        lines = [json.loads(source.readline()) for _line in range(MOST_WAITING)]
        log.event(Happened('after'))
        while lines[-1].get('what') != 'after':
            lines.append(json.loads(source.readline()))
        dropped = [each for each in lines if each['event'] == 'LinesDropped']
        written = len(lines) - len(dropped) - 1
        assert written + sum(each['count'] for each in dropped) == len(
            seen
        ) - 1 - len(dropped)


def test_the_last_lines_are_written_before_a_process_ends():
    # A process that stops refuses callers up to its end, a line for each, and
    # its log is read slowly. It ended while its last line, that it stopped,
    # still waited behind them, and an engineer could not see that it had.
    reader, writer = os.pipe()
    with os.fdopen(reader) as source, os.fdopen(writer, 'w') as stream:
        log = StepLog('d', ManualClock(NOW), stream)
        for _line in range(2000):
            log.event(Happened('refused' * 20))
        log.event(Happened('stopped'))
        assert not log.finish(timedelta(milliseconds=1))
        read = []
        threading.Thread(
            target=lambda: read.extend(source.readline() for _ in range(2001)),
            daemon=True,
        ).start()
        assert log.finish(timedelta(seconds=30))
        for _look in range(3000):
            if len(read) == 2001:
                break
            threading.Event().wait(0.01)
        assert json.loads(read[-1])['what'] == 'stopped'
