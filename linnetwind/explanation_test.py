"""Tests of `explain`, with log lines of a soak run."""

from datetime import timedelta

from typer.testing import CliRunner

from linnetwind.cli import app
from linnetwind.explanation import (
    BadLine,
    LogLine,
    explain_request,
    format_line,
    read_lines,
)

SECOND = timedelta(seconds=1)
# An upstream sent an invalid response, and the call was retried elsewhere.
GATEWAY = """\
{"time": "2026-12-02T22:07:58.100+00:00", "daemon": "edge-127.0.0.2", \
"event": "UpstreamsChanged", "source": "store", "offset": 9, \
"added": ["i-6"], "removed": []}
{"time": "2026-12-02T22:08:03.583+00:00", "daemon": "edge-127.0.0.2", \
"event": "AttemptFailed", "request": "c8-158", "upstream": "i-6", \
"failure": "may have run", "problem": "not a whole answer", \
"events_passed_on": 6, "next_step": "another upstream"}
{"time": "2026-12-02T22:08:03.654+00:00", "daemon": "edge-127.0.0.2", \
"event": "RequestEnded", "request": "c8-158", "outcome": "answered", \
"status": 200, "reason": "", "upstreams": ["i-6", "i-5"], "took": 0.3339}
{"time": "2026-12-02T22:08:03.700+00:00", "daemon": "edge-127.0.0.2", \
"event": "RequestEnded", "request": "c8-159", "outcome": "refused", \
"status": 503, "reason": "no upstream left", "upstreams": []}
"""
STORE = """\
{"time": "2026-12-02T22:08:02.900+00:00", "daemon": "edge-127.0.0.3", \
"event": "DependencyLost", "name": "store-upstreams", "problem": "busy"}
Traceback (most recent call last):
"""


def _lines():
    texts = [*GATEWAY.splitlines(), *STORE.splitlines()]
    return [line for line in read_lines(texts) if isinstance(line, LogLine)]


def _events(around):
    explained = explain_request(_lines(), 'c8-158', around)
    return [line.event for line in explained]


def test_lines_of_a_request_are_ordered_by_time():
    assert _events(0 * SECOND) == ['AttemptFailed', 'RequestEnded']


def test_context_contains_state_changes_of_all_daemons():
    # It covers the time before and during the request, and excludes the lines
    # of other requests.
    assert _events(1 * SECOND) == [
        'DependencyLost',
        'AttemptFailed',
        'RequestEnded',
    ]
    assert _events(10 * SECOND)[0] == 'UpstreamsChanged'


def test_line_is_formatted_with_time_event_and_fields():
    last = explain_request(_lines(), 'c8-158', 0 * SECOND)[-1]
    assert format_line(last) == (
        '2026-12-02T22:08:03.654+00:00  RequestEnded: daemon edge-127.0.0.2, '
        "outcome answered, status 200, upstreams ['i-6', 'i-5'], took 0.3339"
    )


def test_undecodable_lines_are_reported_with_their_numbers():
    texts = ['', 'Traceback', '{"event": "x"}', '[1]']
    decoded = list(read_lines(texts))
    assert all(isinstance(line, BadLine) for line in decoded)
    assert decoded[0].describe() == 'line 2: not JSON'
    assert [line.number for line in decoded] == [2, 3, 4]


def test_command_prints_the_request_and_reports_skipped_lines(tmp_path):
    gateway, store = tmp_path / 'a.log', tmp_path / 'b.log'
    gateway.write_text(GATEWAY)
    store.write_text(STORE)
    files = [str(gateway), str(store)]
    run = CliRunner().invoke(
        app, ['explain', 'c8-158', *files, '--around', '2', '--json']
    )
    assert run.exit_code == 0
    assert run.output.count('"event"') == 3
    assert '1 lines skipped; line 2: not JSON' in run.output
    unknown = CliRunner().invoke(app, ['explain', 'nobody', *files])
    assert unknown.exit_code == 1
    missing = str(tmp_path / 'missing.log')
    unread = CliRunner().invoke(app, ['explain', 'c8-158', missing])
    assert unread.exit_code == 2
