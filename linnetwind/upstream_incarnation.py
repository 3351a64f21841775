"""Identifiers of the incarnations of a process that restarts under its name."""

import zlib
from typing import NewType

# Identifies one incarnation. State about a process is stored under this, so
# that it is not applied to the next incarnation.
UpstreamIncarnation = NewType('UpstreamIncarnation', str)
# Stands for an incarnation in messages that have to be small.
IncarnationTag = NewType('IncarnationTag', int)


def name_incarnation(instance: str, born_ms: int | None) -> UpstreamIncarnation:
    """Return the identifier of an incarnation.

    Args:
      instance: The name under which the process registers.
      born_ms: The Unix time in milliseconds of its start, None if unknown.

    Returns:
      The identifier; just the instance's name if the start is unknown.
    """
    return UpstreamIncarnation(
        instance if born_ms is None else f'{instance}#{born_ms}'
    )


def tag_incarnation(life: UpstreamIncarnation) -> IncarnationTag:
    """Return the 32-bit number that stands for an incarnation in messages.

    Sender and receiver both compute it, so they need no agreement on it. Among
    600 incarnations two share a tag in one of 24,000 lists; each of the two is
    then counted with the streams of both, which leaves some capacity unused.

    Args:
      life: The incarnation.

    Returns:
      The number.
    """
    return IncarnationTag(zlib.crc32(life.encode()))
