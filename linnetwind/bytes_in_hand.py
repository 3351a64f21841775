"""Counts the memory for request and response bodies that a daemon holds."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from linnetwind.admission.memory_budget import (
    Hold,
    HoldDecision,
    MemoryBudget,
)


class BytesInHand:
    """The memory of all bodies of a daemon; may be used from any thread."""

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        """Start with nothing held.

        Args:
          budget: The budget, None for no limit.
        """
        self._budget = budget or MemoryBudget()
        self._lock = threading.Lock()
        self._total = 0

    @property
    def total(self) -> int:
        """Return the memory that bodies take, in bytes."""
        return self._total

    @contextmanager
    def holder(self) -> Iterator['Holder']:
        """Provide the account of one body, which is emptied at the end."""
        held = Holder(self)
        try:
            yield held
        finally:
            held.release()

    def change(self, held: int, size: int) -> HoldDecision:
        """Change the size of a body if the budget allows.

        Args:
          held: The memory that the body is counted with, in bytes.
          size: The new size of the body, in bytes.

        Returns:
          The decision, which is already counted.
        """
        with self._lock:
            decision = self._budget.decide(self._total, held, size)
            if isinstance(decision, Hold):
                self._total += decision.memory - held
        return decision


class Holder:
    """The account of one body; used from one thread."""

    def __init__(self, account: BytesInHand) -> None:
        """Start with an empty body.

        Args:
          account: The account of all bodies.
        """
        self._account = account
        self._held = 0

    def resize(self, size: int) -> HoldDecision:
        """Change the size of the body.

        Args:
          size: The new size in bytes.

        Returns:
          Whether the body may have this size. If not, the count is unchanged.
        """
        decision = self._account.change(self._held, size)
        if isinstance(decision, Hold):
            self._held = decision.memory
        return decision

    def may_hold(self, size: int) -> bool:
        """Change the size of the body, and return whether this is allowed.

        Args:
          size: The new size in bytes.
        """
        return isinstance(self.resize(size), Hold)

    def release(self) -> None:
        """Give back all bytes."""
        self.resize(0)
