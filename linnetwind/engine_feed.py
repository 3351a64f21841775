"""What a model engine says of itself: its load and its cache events.

Both come late, and cache events with gaps. They are hints: a block that is
said to be cached may be gone, and one that is not said to be may be there.
"""

import json
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec

from linnetwind.address import Address

TIMEOUT_SECONDS = 0.5
MOST_BLOCKS = 500

_OK = 200
_STORED = 'stored'
_ERRORS = (OSError, HTTPException, ValueError, msgspec.ValidationError)


@dataclass(frozen=True)
class EngineLoad:
    """The engine's own report, out of date by its lag."""

    running: int
    waiting: int
    step_ms: float


@dataclass(frozen=True)
class CacheEvent:
    """A block that was stored or dropped; numbers may have gaps."""

    number: int
    kind: str
    block: int


@dataclass(frozen=True)
class EngineNews:
    """What is new since the last time."""

    step_ms: float = 0
    cached: tuple[int, ...] = ()
    uncached: tuple[int, ...] = ()


class EngineFeed:
    """Asks one engine; remembers which events were seen."""

    def __init__(self, address: Address) -> None:
        """Start before the first event.

        Args:
          address: The engine's address.
        """
        self._address = address
        self._next_event = 0

    def news(self) -> EngineNews:
        """Read the load and the new events.

        Returns:
          What is new; empty when the engine does not answer.
        """
        load = self._read('/load', EngineLoad)
        events = self._read(
            f'/events?from={self._next_event}',
            tuple[tuple[int, str, int], ...],
        )
        known = [CacheEvent(*event) for event in events or ()][-MOST_BLOCKS:]
        if known:
            self._next_event = known[-1].number + 1
        latest = {event.block: event.kind for event in known}
        stored = {block for block, kind in latest.items() if kind == _STORED}
        return EngineNews(
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
