"""One life of a process that may start again under its name."""

from typing import NewType

# Names one life: what is believed of a process is kept under this, so that
# none of it is taken for true of the next one.
Life = NewType('Life', str)


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
