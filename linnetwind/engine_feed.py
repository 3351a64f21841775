"""Reader of a model engine's load and of its prefix-cache events.

Both arrive late, and some cache events are lost. They are hints only: a block
that is reported as cached may have been dropped, and a block that is not
reported may be cached.
"""

import json
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec

from linnetwind.address import Address

TIMEOUT_SECONDS = 0.5
MAX_CACHE_EVENTS = 500

_OK = 200
_STORED = 'stored'
_ERRORS = (OSError, HTTPException, ValueError, msgspec.ValidationError)


@dataclass(frozen=True)
class EngineLoad:
    """The load that the engine reports, which lags behind its state."""

    running: int
    waiting: int
    step_ms: float


@dataclass(frozen=True)
class CacheEvent:
    """A cache block was stored or dropped; event numbers may have gaps."""

    number: int
    kind: str
    block: int


@dataclass(frozen=True)
class EngineUpdates:
    """The engine's step time, and cache changes since the previous read.

    `step_ms` is in milliseconds; 0 means that it is unknown. `cached` and
    `uncached` are blocks.
    """

    step_ms: float = 0
    cached: tuple[int, ...] = ()
    uncached: tuple[int, ...] = ()


class EngineFeed:
    """Polls one engine and keeps the number of its next unread event."""

    def __init__(self, address: Address) -> None:
        """Start before the first event.

        Args:
          address: The engine's address.
        """
        self._address = address
        self._next_event = 0

    def updates(self) -> EngineUpdates:
        """Read the load and the events that are new since the last call.

        Returns:
          The updates; empty if the engine does not respond.
        """
        load = self._read('/load', EngineLoad)
        events = self._read(
            f'/events?from={self._next_event}',
            tuple[tuple[int, str, int], ...],
        )
        new_events = [CacheEvent(*event) for event in events or ()][
            -MAX_CACHE_EVENTS:
        ]
        if new_events:
            self._next_event = new_events[-1].number + 1
        latest = {event.block: event.kind for event in new_events}
        stored = {block for block, kind in latest.items() if kind == _STORED}
        return EngineUpdates(
            load.step_ms if load else 0,
            tuple(stored),
            tuple(set(latest) - stored),
        )

    def _read(self, path: str, target: Any) -> Any:
        connection = HTTPConnection(
            self._address.ip, self._address.port, timeout=TIMEOUT_SECONDS
        )
        try:
            return _fetch(connection, path, target)
        except _ERRORS:
            return None
        finally:
            connection.close()


def _fetch(connection: HTTPConnection, path: str, target: Any) -> Any:
    connection.request('GET', path)
    response = connection.getresponse()
    body = response.read()
    if response.status != _OK:
        return None
    return msgspec.convert(json.loads(body), target)
