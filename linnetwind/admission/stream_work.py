"""Estimates the work of a stream, relative to the mean of its route."""

import threading

from linnetwind.call_types import TokenCounts

# Generating a token takes about as much of a pass as reading ten.
_ANSWER_WEIGHT = 10
# The weight of the newest stream in the mean of its route.
_NEWEST_WEIGHT = 0.05
# The bounds of the relative work, so that a caller's statement of its tokens
# cannot decide on the shares of others.
_MIN_WORK = 0.1
_MAX_WORK = 10


class StreamWork:
    """The mean work of the streams of each route; methods are thread-safe."""

    def __init__(self) -> None:
        """Start without any routes."""
        self._lock = threading.Lock()
        self._means: dict[str, float] = {}

    def relative(self, route: str, tokens: TokenCounts | None) -> float:
        """Return a stream's work over the mean, and include it in the mean.

        Args:
          route: The name of the stream's route.
          tokens: The stream's tokens, None if the caller did not state them.

        Returns:
          The relative work; 1 if it is not known.
        """
        if tokens is None:
            return 1
        work = max(1, tokens.prompt + _ANSWER_WEIGHT * tokens.answer)
        with self._lock:
            mean = self._means.get(route, work)
            mean += _NEWEST_WEIGHT * (work - mean)
            self._means[route] = mean
        return min(max(work / mean, _MIN_WORK), _MAX_WORK)
