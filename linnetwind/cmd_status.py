"""The commands that show the state of the daemons and explain a request."""

import json
from collections.abc import Iterator
from datetime import timedelta
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Annotated

import typer

from linnetwind.cmd_config import (
    EXIT_UNAVAILABLE,
    parse_address,
)
from linnetwind.config_fold import ConfigState
from linnetwind.explanation import (
    BadLine,
    LogLine,
    explain_request,
    format_line,
    read_lines,
)
from linnetwind.group_log import GroupRole, fold_role, stream_of_group
from linnetwind.log_http import make_log
from linnetwind.log_port import LogPort, read_to_end
from linnetwind.publisher import read_state

EXIT_NOT_FOUND = 1
EXIT_BAD_FILE = 2

_TIMEOUT_SECONDS = 2
SHOWN_METRICS = (
    'linnetwind_config_revision',
    'linnetwind_config_version',
    'linnetwind_running',
    'linnetwind_dependency_away',
    'linnetwind_evacuated',
    'linnetwind_bad_records_total',
    'linnetwind_bad_answers_total',
)

OptionalLog = Annotated[
    str | None,
    typer.Option(
        '--log',
        help='The log service, as IP:PORT; omit it if there is none.',
    ),
]
Metrics = Annotated[
    list[str] | None,
    typer.Option(
        help='The metrics address of a daemon, as IP:PORT; may be repeated.'
    ),
]
RequestId = Annotated[
    str, typer.Argument(help='The X-Request-Id of a response.')
]
LogFiles = Annotated[
    list[Path], typer.Argument(help='Log files of one or more daemons.')
]
Around = Annotated[
    float, typer.Option(help='Seconds of context before and after.')
]
AsJson = Annotated[
    bool, typer.Option('--json', help='Print the log lines as JSON.')
]


def status(log_service: OptionalLog = None, metrics: Metrics = None) -> None:
    """Show the revision in force, the upstreams and the groups.

    With --metrics, also show for each of these daemons the configuration in
    force, the requests running at its upstreams, the unavailable dependencies,
    the evacuated data centres, and the number of malformed records and
    responses received. Exit codes: 0 shown, 4 the log service or a daemon did
    not respond.
    """
    if log_service is not None:
        _show_state(log_service)
    silent = False
    for address in metrics or ():
        lines = list(_metric_lines(address))
        silent = silent or not lines
        typer.echo('\n'.join(lines) or f'{address}: no answer')
    if silent:
        raise typer.Exit(EXIT_UNAVAILABLE)


def explain(
    request_id: RequestId,
    log_files: LogFiles,
    around: Around = 0,
    as_json: AsJson = False,
) -> None:
    """Show how a request was routed and why, from the daemons' log lines.

    With --around, also show the changes of the daemons' state from this many
    seconds before the request to as many after it. Exit codes: 0 found, 1 no
    line names the request, 2 a file cannot be read.
    """
    lines = [line for path in log_files for line in _lines_of(path)]
    shown = explain_request(lines, request_id, timedelta(seconds=around))
    for line in shown:
        typer.echo(json.dumps(line.fields) if as_json else format_line(line))
    if not shown:
        typer.echo(f'{request_id}: no line in these files', err=True)
        raise typer.Exit(EXIT_NOT_FOUND)


def _show_state(log_service: str) -> None:
    log = make_log(
        parse_address(log_service), timedelta(seconds=_TIMEOUT_SECONDS)
    )
    state = read_state(log)
    if state.is_err():
        typer.echo(state.unwrap_err().describe(), err=True)
        raise typer.Exit(EXIT_UNAVAILABLE)
    for line in _state_lines(state.unwrap(), log):
        typer.echo(line)


def _state_lines(state: ConfigState, log: LogPort) -> Iterator[str]:
    yield f'revision {state.revision}'
    for part in state.parts.values():
        yield f'  {part.name}: changed by revision {part.revision}'
    if state.deployment is None:
        return
    for each in state.deployment.evacuated:
        yield (
            f'site {each.site}: evacuated by {each.operator} '
            f'at {each.requested_at}'
        )
    base = state.deployment.base
    drained = set(base.drained)
    for overlay in state.deployment.overlays:
        drained.update(overlay.drained)
    for service in base.services:
        names = [upstream.name for upstream in service.upstreams]
        drained_names = sorted(drained.intersection(names))
        count = len(names)
        yield f'service {service.name}: {count} upstreams'
        if drained_names:
            listed = ', '.join(drained_names)
            yield f'  drained: {listed}'
    for group in base.groups:
        yield _group_line(group.name, len(group.ranks), log)


def _group_line(group: str, ranks: int, log: LogPort) -> str:
    page = read_to_end(log, stream_of_group(group), 0)
    if page.is_err():
        problem = page.unwrap_err().describe()
        return f'group {group}: {problem}'
    role = fold_role(GroupRole(), page.unwrap().entries)
    target_map = role.target.map_id if role.target else 'none yet'
    holder = role.holder or 'nobody'
    return (
        f'group {group}: {ranks} ranks, target map: {target_map}, '
        f'coordinator: {holder}'
    )


def _metric_lines(address: str) -> Iterator[str]:
    ip_port = parse_address(address)
    connection = HTTPConnection(
        ip_port.ip, ip_port.port, timeout=_TIMEOUT_SECONDS
    )
    try:
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
    except (OSError, HTTPException):
        return
    finally:
        connection.close()
    for line in text.splitlines():
        if line.startswith(SHOWN_METRICS):
            yield f'{address}: {line}'


def _lines_of(path: Path) -> Iterator[LogLine]:
    try:
        texts = path.read_text('utf-8', errors='replace').splitlines()
    except OSError as error:
        typer.echo(f'{path}: {error.strerror}', err=True)
        raise typer.Exit(EXIT_BAD_FILE) from error
    bad = []
    for line in read_lines(texts):
        if isinstance(line, BadLine):
            bad.append(line)
        else:
            yield line
    if bad:
        first = bad[0].describe()
        count = len(bad)
        typer.echo(f'{path}: {count} lines skipped; {first}', err=True)
