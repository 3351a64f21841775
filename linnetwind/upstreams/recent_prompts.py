"""The latest requests and answers of each service, by their prompt parts.

What all requests of a service have in common was also on each upstream that
crashed, whatever the reason. Requests of other services say nothing about how
common a part is, so each service has a history of its own.
"""

import threading
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.upstreams.prompt_crash_inference import Parts

# The number of the latest requests, and of answers, kept for each service.
_MAX_KEPT = 256
# The number of prompt parts kept for each service, since prompts may be long.
_MAX_KEPT_PARTS = 16_384


@dataclass(slots=True)
class ServicePrompts:
    """The shareable parts of a service's latest requests, and its answers.

    `kept_parts` is the number of parts in `arrived`. `answered_at` are the
    monotonic times of the latest complete answers.
    """

    arrived: deque[Parts] = field(default_factory=deque)
    kept_parts: int = 0
    answered_at: deque[timedelta] = field(
        default_factory=lambda: deque(maxlen=_MAX_KEPT)
    )

    def add_arrival(self, parts: Parts) -> None:
        """Add a request and drop the oldest ones beyond the limits.

        Args:
          parts: The shareable parts of its prompt.
        """
        self.arrived.append(parts)
        self.kept_parts += len(parts)
        while (
            len(self.arrived) > _MAX_KEPT or self.kept_parts > _MAX_KEPT_PARTS
        ):
            self.kept_parts -= len(self.arrived.popleft())


class RecentPrompts:
    """The latest requests of all services; may be used from any thread."""

    def __init__(self) -> None:
        """Start without requests."""
        self._lock = threading.Lock()
        self._services: dict[str, ServicePrompts] = {}

    def record_arrival(self, service: str, parts: Parts) -> None:
        """Add a request.

        Args:
          service: The name of its service.
          parts: The shareable parts of its prompt.
        """
        with self._lock:
            self._of(service).add_arrival(parts)

    def record_answer(self, service: str, at: timedelta) -> None:
        """Add a complete answer.

        Args:
          service: The name of the request's service.
          at: The monotonic time.
        """
        with self._lock:
            self._of(service).answered_at.append(at)

    def history_for(
        self, parts: Parts
    ) -> tuple[tuple[Parts, ...], tuple[timedelta, ...]]:
        """Return the latest requests and answers of the service of some parts.

        Args:
          parts: Parts of one request. Parts of different services differ.

        Returns:
          The parts of each request, and the times of the answers. Both are
          empty if no request with any of the parts has arrived here.
        """
        with self._lock:
            for known in self._services.values():
                if any(parts & each for each in known.arrived):
                    return tuple(known.arrived), tuple(known.answered_at)
        return (), ()

    def _of(self, service: str) -> ServicePrompts:
        return self._services.setdefault(service, ServicePrompts())
