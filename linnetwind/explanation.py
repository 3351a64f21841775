"""Reconstructs from log lines how a request was handled, with its context.

A line belongs to the request if it contains the request's id. A line without
a request id reports a change of a daemon's state: its configuration,
upstreams, rank groups or dependencies. Such lines from shortly before, during
and shortly after the request are its context.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

_REQUEST = 'request'
_TIME = 'time'
_EVENT = 'event'
# Fields that are printed before the others or are of no use to a reader.
_NOT_SHOWN = frozenset((_TIME, 'level', _EVENT, _REQUEST))


@dataclass(frozen=True, slots=True)
class LogLine:
    """A structured line of a daemon's log."""

    at: datetime
    event: str
    request: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class BadLine:
    """A line that is not a structured log line."""

    number: int
    problem: str

    def describe(self) -> str:
        """Return the line number and the problem."""
        return f'line {self.number}: {self.problem}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine | BadLine]:
    """Decode the lines of a log file.

    Args:
      texts: The lines; blank ones are skipped.

    Yields:
      Each decoded line, or the reason why it cannot be decoded.
    """
    for number, text in enumerate(texts, start=1):
        if text.strip():
            yield _read_line(number, text)


def explain_request(
    lines: Iterable[LogLine], request: str, around: timedelta
) -> list[LogLine]:
    """Return the lines of a request and of its context, ordered by time.

    Args:
      lines: The lines of all daemons.
      request: The request's id.
      around: How long before the start and after the last line of the request
        the context extends; zero for no context.

    Returns:
      The lines; empty if none contains the request's id.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request == request]
    if not own or not around:
        return own
    first = min(_started_at(line) for line in own) - around
    last = own[-1].at + around
    return [
        line
        for line in ordered
        if line.request == request
        or (not line.request and first <= line.at <= last)
    ]


def format_line(line: LogLine) -> str:
    """Format a line for a reader.

    Args:
      line: The line.

    Returns:
      The time, the event and its fields; lines of the context are indented.
    """
    details = ', '.join(
        f'{name} {datum}'
        for name, datum in line.fields.items()
        if name not in _NOT_SHOWN and datum not in ('', None)  # noqa: WPS510
    )
    indent = '' if line.request else '    '
    return f'{line.fields[_TIME]}  {indent}{line.event}: {details}'


def _started_at(line: LogLine) -> datetime:
    """Return when the logged action began; a line is written at its end."""
    took = line.fields.get('took')
    seconds = took if isinstance(took, int | float) else 0
    return line.at - timedelta(seconds=seconds)


def _read_line(number: int, text: str) -> LogLine | BadLine:
    try:
        return _log_line(json.loads(text))
    except json.JSONDecodeError:
        return BadLine(number, 'not JSON')
    except (KeyError, TypeError, ValueError) as error:
        return BadLine(number, f'not a log line: {error!r}')


def _log_line(fields: dict[str, Any]) -> LogLine:
    return LogLine(
        datetime.fromisoformat(fields[_TIME]),
        str(fields[_EVENT]),
        str(fields.get(_REQUEST, '')),
        fields,
    )
