"""Who was refused and told to come back, so that they go first then.

Callers come back through any daemon, so the daemons tell each other. A
request is known by the subject of its prompt, which it shares with its
repeat.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Self

from linnetwind.clock import Clock

# A caller comes back within the longest time that it is told, and a little.
KEPT = timedelta(seconds=4)
# A refusal is told for this long: several states, some of which may be lost.
# The caller comes back through another daemon later than that.
_TOLD_MS = 600
TOLD = timedelta(milliseconds=_TOLD_MS)
# What one daemon tells the others; more than that cannot be served first.
MOST_TOLD = 100


@dataclass(frozen=True)
class RefusalBook:
    """Subjects that were refused lately, and when to forget them."""

    own: Mapping[str, timedelta] = field(default_factory=dict)
    told: Mapping[str, timedelta] = field(default_factory=dict)

    def refuse(self, subject: str, now: timedelta) -> Self:
        """Return the book after a refusal here.

        Args:
          subject: The request's subject; nothing is noted if it has none.
          now: The monotonic time.

        Returns:
          The book.
        """
        if not subject:
            return self
        return replace(self, own={**_kept(self.own, now), subject: now + KEPT})

    def hear(self, subjects: Iterable[str], now: timedelta) -> Self:
        """Return the book after a message of another daemon.

        Args:
          subjects: What it refused lately.
          now: The monotonic time.

        Returns:
          The book.
        """
        fresh = {
            subject: now + KEPT
            for subject in subjects
            if now >= self.told.get(subject, timedelta())
        }
        if not fresh:
            return self
        return replace(self, told={**_kept(self.told, now), **fresh})

    def tell(self, now: timedelta) -> tuple[str, ...]:
        """Return what to tell the other daemons.

        Args:
          now: The monotonic time.

        Returns:
          The newest subjects that were refused here.
        """
        newest = _kept(self.own, now + KEPT - TOLD)
        return tuple(newest)[-MOST_TOLD:]

    def is_returning(self, subject: str, now: timedelta) -> bool:
        """Return whether a request was refused before.

        Args:
          subject: The request's subject.
          now: The monotonic time.

        Returns:
          Whether any daemon refused it lately.
        """
        return any(
            now < book.get(subject, timedelta())
            for book in (self.own, self.told)
        )


class Refusals:
    """The book of a daemon; may be called from any thread."""

    def __init__(self, clock: Clock) -> None:
        """Start with an empty book.

        Args:
          clock: For forgetting.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._book = RefusalBook()

    def refuse(self, subject: str) -> None:
        """Take note of a refusal here.

        Args:
          subject: The request's subject.
        """
        with self._lock:
            self._book = self._book.refuse(subject, self._clock.elapsed())

    def hear(self, subjects: Iterable[str]) -> None:
        """Take note of what another daemon refused.

        Args:
          subjects: The subjects.
        """
        with self._lock:
            self._book = self._book.hear(subjects, self._clock.elapsed())

    def tell(self) -> tuple[str, ...]:
        """Return the subjects refused here lately."""
        return self._book.tell(self._clock.elapsed())

    def is_returning(self, subject: str) -> bool:
        """Return whether a request was refused before, here or elsewhere.

        Args:
          subject: The request's subject.

        Returns:
          Whether its caller was told to come back.
        """
        return self._book.is_returning(subject, self._clock.elapsed())


def _kept(
    book: Mapping[str, timedelta], now: timedelta
) -> dict[str, timedelta]:
    return {subject: until for subject, until in book.items() if now < until}
