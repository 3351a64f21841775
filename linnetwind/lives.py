"""One life of a process that may start again under its name."""

import zlib
from typing import NewType

# Names one life: what is believed of a process is kept under this, so that
# none of it is taken for true of the next one.
Life = NewType('Life', str)
# Stands for a life in messages that have to be small.
LifeTag = NewType('LifeTag', int)


def name_life(instance: str, born_ms: int | None) -> Life:
    """Name one life of a process.

    Args:
      instance: The name under which the process registers.
      born_ms: The Unix time in milliseconds of its start, None where that is
        not stated.

    Returns:
      The name; the instance alone where no start is stated.
    """
    return Life(instance if born_ms is None else f'{instance}#{born_ms}')


def tag_life(life: Life) -> LifeTag:
    """Return the 32-bit number that stands for a life in messages.

    Both ends work it out by themselves, so that nothing has to be agreed. Two
    of 600 lives share a number once in 24,000 lists; each is then taken to
    run the streams of both, which leaves some places unused.

    Args:
      life: The life.

    Returns:
      The number.
    """
    return LifeTag(zlib.crc32(life.encode()))
