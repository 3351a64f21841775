"""Decides which request and response bytes a daemon may hold.

Handles callers and upstreams that read and write slowly while bodies are large:
900 bodies of 4 MB are many times the memory of a host. A fixed fraction of the
memory is for bodies. Beyond it large bodies are refused before they are read.
Small ones are always accepted, since nearly all requests are small and are not
to fail because of a few large ones.
"""

from dataclasses import dataclass
from datetime import timedelta

# A body exists twice while its parts are joined, and again while it is sent
# together with the head.
_COPIES = 2
# Bodies below this size are accepted even if the budget is used up.
SMALL_BODY_BYTES = 65_536
# The fraction of the memory for bodies. The rest is for the program, threads
# and socket buffers, and for small bodies beyond the budget.
_BODIES_FRACTION = 0.25
# Requests with a large body last about a second.
_RETRY_AFTER_S = 1
_RETRY_AFTER = timedelta(seconds=_RETRY_AFTER_S)


@dataclass(frozen=True, slots=True)
class Hold:
    """The bytes may be held; `memory` is what they take, in bytes."""

    memory: int


@dataclass(frozen=True, slots=True)
class RefuseForNow:
    """The bytes fit once others are given back."""

    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class NeverFits:
    """The bytes alone exceed the budget, so that a retry is useless."""


HoldDecision = Hold | RefuseForNow | NeverFits


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The memory for bodies, in bytes; None if it is not limited."""

    limit: int | None = None

    def decide(self, in_hand: int, held: int, size: int) -> HoldDecision:
        """Decide whether one holder's bytes may grow.

        Args:
          in_hand: The memory that all holders use now, this one included, in
            bytes.
          held: The part of it that this holder uses, in bytes.
          size: The size of this holder's body, in bytes.

        Returns:
          Whether the body may be held.
        """
        memory = size * _COPIES
        if self.limit is None or size < SMALL_BODY_BYTES or memory <= held:
            return Hold(memory)
        if memory > self.limit:
            return NeverFits()
        if in_hand - held + memory > self.limit:
            return RefuseForNow(_RETRY_AFTER)
        return Hold(memory)


def derive_budget(memory_bytes: int | None) -> MemoryBudget:
    """Derive the budget from the memory of a host.

    Args:
      memory_bytes: The memory in bytes, None if it is not stated.

    Returns:
      The budget, without a limit if the memory is not stated.
    """
    if memory_bytes is None:
        return MemoryBudget()
    return MemoryBudget(int(memory_bytes * _BODIES_FRACTION))
