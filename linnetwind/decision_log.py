"""Writes decisions to the log as structured lines."""

import json
import sys
from collections.abc import Mapping
from typing import Any, TextIO

from loguru import logger


def start_logging(level: str, stream: TextIO = sys.stdout) -> None:
    """Write every log line to a stream as one JSON object.

    Args:
      level: The lowest level written.
      stream: The stream for the lines.
    """

    def write(message: Any) -> None:  # noqa: WPS430
        stream.write(_format_line(message.record))
        stream.flush()

    logger.remove()
    logger.add(write, level=level, format='{message}')


def log_decision(event: str, facts: Mapping[str, Any]) -> None:
    """Write a log line for one decision.

    Args:
      event: What was decided, in snake case.
      facts: The names and values that explain the decision.
    """
    logger.bind(facts=facts).info(event)


def _format_line(record: Mapping[str, Any]) -> str:
    line = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'].get('facts', {}),
    }
    if record['exception'] is not None:
        line['exception'] = repr(record['exception'].value)
    return f'{json.dumps(line, default=str)}\n'
