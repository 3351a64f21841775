"""How long streams of a service take, from those that ended lately."""

import threading
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from linnetwind.call_types import TokenCounts

# The streams that count for the length of the next one.
_RUNS = 32
# The next one may run while more others do, and map changes may hold it. With
# 1.3 one stream ended 0.17 s before the cut.
_MARGIN = 1.5
# Until the first event: a wait in line, then the pass that reads the prompt.
_START_MS = 400
_START = timedelta(milliseconds=_START_MS)


def longest_run(
    paces: Iterable[timedelta], tokens: TokenCounts
) -> timedelta | None:
    """Return how long a stream lasts, with a margin.

    Args:
      paces: The time for each token that an answer could have, of streams
        that ended lately.
      tokens: The tokens of the stream.

    Returns:
      The time by the slowest of them, or None if there are none.
    """
    slowest = max(paces, default=None)
    if slowest is None:
        return None
    return _START + slowest * tokens.answer * _MARGIN


class RunTimes:
    """The paces of the streams of all services; for any thread."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self._lock = threading.Lock()
        self._paces: dict[str, deque[timedelta]] = {}

    def note(self, service: str, tokens: TokenCounts, took: timedelta) -> None:
        """Take note of a stream that has ended.

        Args:
          service: Its service.
          tokens: Its tokens.
          took: How long it took from its first event to its last.
        """
        pace = took / max(1, tokens.answer)
        with self._lock:
            paces = self._paces.setdefault(service, deque(maxlen=_RUNS))
            paces.append(pace)

    def expect(
        self, service: str, tokens: TokenCounts | None
    ) -> timedelta | None:
        """Return how long a stream lasts at most, as far as is known.

        Args:
          service: Its service.
          tokens: Its tokens, if its caller told them.

        Returns:
          The time, or None if nothing is known.
        """
        if tokens is None:
            return None
        with self._lock:
            paces = tuple(self._paces.get(service, ()))
        return longest_run(paces, tokens)
