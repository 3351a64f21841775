"""A request's life from log lines: what was done, and what was believed.

A line belongs to the request if it names it. Lines that name no request tell
what a daemon took for true: its configuration, upstreams, rank groups and
dependencies. Those shortly before and during the request are its context.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

_REQUEST = 'request'
_TIME = 'time'
_EVENT = 'event'
# What is told before the facts of a line, or says nothing to a person.
_NOT_FACTS = frozenset((_TIME, 'level', _EVENT, _REQUEST))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line of a daemon's log."""

    at: datetime
    event: str
    request: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class BadLine:
    """A line that is no structured line."""

    number: int
    problem: str

    def describe(self) -> str:
        """Return the problem."""
        return f'line {self.number}: {self.problem}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine | BadLine]:
    """Decode the lines of a log file.

    Args:
      texts: The lines; blank ones are passed over.

    Yields:
      Each line, or what is wrong with it.
    """
    for number, text in enumerate(texts, start=1):
        if text.strip():
            yield _read_line(number, text)


def explain_request(
    lines: Iterable[LogLine], request: str, around: timedelta
) -> list[LogLine]:
    """Return the lines of a request in order of time, with their context.

    Args:
      lines: The lines of all daemons.
      request: The request's id.
      around: How long before the first and after the last of its lines
        context is of interest; zero for none.

    Returns:
      The lines; empty if none names the request.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.request == request]
    if not own or not around:
        return own
    first = min(_began(line) for line in own) - around
    last = own[-1].at + around
    return [
        line
        for line in known
        if line.request == request
        or (not line.request and first <= line.at <= last)
    ]


def sentence(line: LogLine) -> str:
    """Return a line for a person to read.

    Args:
      line: The line.

    Returns:
      Time, event and facts; context is indented.
    """
    facts = ', '.join(
        f'{name} {found}'
        for name, found in line.fields.items()
        if name not in _NOT_FACTS and found not in ('', None)  # noqa: WPS510
    )
    indent = '' if line.request else '    '
    return f'{line.fields[_TIME]}  {indent}{line.event}: {facts}'


def _began(line: LogLine) -> datetime:
    """Return when what a line tells of began; it is written at its end."""
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
