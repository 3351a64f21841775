"""Estimates how long a stream takes, from recent streams of its service."""

import threading
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from linnetwind.call_types import TokenCounts

# The number of recent streams that the estimate uses.
_MAX_SAMPLES = 32
# More streams may run beside the next one, and changes of the expert map may
# hold it. With 1.3, a stream ended just 0.17 s before it would have been cut.
_MARGIN = 1.5
# The time to the first event: the wait in the queue and the pass that reads the
# prompt.
_START_MS = 400
_START = timedelta(milliseconds=_START_MS)


def estimate_duration(
    token_times: Iterable[timedelta], tokens: TokenCounts
) -> timedelta | None:
    """Return how long a stream should take, with a margin.

    This is no bound: if recent responses were much shorter than they could have
    been, one of full length takes several times as long.

    Args:
      token_times: The time per token of recent streams, each computed with
        the largest number of tokens that its response could have.
      tokens: The tokens of the stream.

    Returns:
      The time at the slowest token time, None if there are no recent streams.
    """
    slowest = max(token_times, default=None)
    if slowest is None:
        return None
    return _START + slowest * tokens.answer * _MARGIN


class StreamDurations:
    """The time per token of recent streams, by service.

    May be used from any thread.
    """

    def __init__(self) -> None:
        """Start without recent streams."""
        self._lock = threading.Lock()
        self._token_times: dict[str, deque[timedelta]] = {}

    def record_stream(
        self, service: str, tokens: TokenCounts, took: timedelta
    ) -> None:
        """Record a stream that has ended.

        Args:
          service: The stream's service.
          tokens: The stream's tokens.
          took: The time from its first to its last event.
        """
        token_time = took / max(1, tokens.answer)
        with self._lock:
            recent = self._token_times.setdefault(
                service, deque(maxlen=_MAX_SAMPLES)
            )
            recent.append(token_time)

    def expected_duration(
        self, service: str, tokens: TokenCounts | None
    ) -> timedelta | None:
        """Return how long a stream is expected to take.

        Args:
          service: The stream's service.
          tokens: The stream's tokens, None if the caller did not state them.

        Returns:
          The time, None if there is no estimate.
        """
        if tokens is None:
            return None
        with self._lock:
            recent = tuple(self._token_times.get(service, ()))
        return estimate_duration(recent, tokens)
