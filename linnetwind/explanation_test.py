"""Tests of a request's life from log lines, with lines of real runs."""

from datetime import timedelta

from typer.testing import CliRunner

from linnetwind.cli import app
from linnetwind.explanation import (
    BadLine,
    LogLine,
    explain_request,
    read_lines,
    sentence,
)

SECOND = timedelta(seconds=1)
# From a soak run: an upstream talked nonsense, the call went to another one.
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
    return [each for each in read_lines(texts) if isinstance(each, LogLine)]


def _events(around):
    found = explain_request(_lines(), 'c8-158', around)
    return [line.event for line in found]


def test_a_request_is_told_in_order_of_time():
    assert _events(0 * SECOND) == ['AttemptFailed', 'RequestEnded']


def test_the_context_is_what_daemons_believed_then():
    # Of all daemons, before and during the request; other requests are not
    # its context.
    assert _events(1 * SECOND) == [
        'DependencyLost',
        'AttemptFailed',
        'RequestEnded',
    ]
    assert _events(10 * SECOND)[0] == 'UpstreamsChanged'


def test_a_line_reads_as_a_sentence():
    last = explain_request(_lines(), 'c8-158', 0 * SECOND)[-1]
    assert sentence(last) == (
        '2026-12-02T22:08:03.654+00:00  RequestEnded: daemon edge-127.0.0.2, '
        "outcome answered, status 200, upstreams ['i-6', 'i-5'], took 0.3339"
    )


def test_lines_that_are_no_log_lines_are_told_with_their_number():
    texts = ['', 'Traceback', '{"event": "x"}', '[1]']
    found = list(read_lines(texts))
    assert all(isinstance(each, BadLine) for each in found)
    assert found[0].describe() == 'line 2: not JSON'
    assert [each.number for each in found] == [2, 3, 4]


def test_the_command_explains_and_says_what_it_passed_over(tmp_path):
    gateway, store = tmp_path / 'a.log', tmp_path / 'b.log'
    gateway.write_text(GATEWAY)
    store.write_text(STORE)
    files = [str(gateway), str(store)]
    run = CliRunner().invoke(
        app, ['explain', 'c8-158', *files, '--around', '2', '--json']
    )
    assert run.exit_code == 0
    assert run.output.count('"event"') == 3
    assert '1 lines passed over; line 2: not JSON' in run.output
    unknown = CliRunner().invoke(app, ['explain', 'nobody', *files])
    assert unknown.exit_code == 1
    missing = str(tmp_path / 'missing.log')
    unread = CliRunner().invoke(app, ['explain', 'c8-158', missing])
    assert unread.exit_code == 2
