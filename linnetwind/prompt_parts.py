"""Parts of prompts, by which requests are recognized that share content."""

from collections.abc import Iterable
from itertools import islice
from typing import NewType

# Identifies the content of one part of a prompt.
PromptPart = NewType('PromptPart', str)

# Bounds what a caller can make the daemons remember and send to each other.
_MAX_PART_CHARACTERS = 64
_MAX_PARTS = 1_024


def shareable_parts(
    prompt: tuple[PromptPart, ...],
) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt that other requests may share.

    Args:
      prompt: All parts of the prompt in order. The last one belongs to the
        request or its session alone.

    Returns:
      The first parts without the last one, and without repetitions.
    """
    return tuple(islice(_distinct(prompt[:-1]), _MAX_PARTS))


def _distinct(parts: Iterable[PromptPart]) -> Iterable[PromptPart]:
    return (
        part
        for part in dict.fromkeys(parts)
        if 0 < len(part) <= _MAX_PART_CHARACTERS
    )
