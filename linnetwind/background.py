"""Background threads, and rounds of work that may fail."""

import threading
from collections.abc import Callable

from loguru import logger


def in_background(work: Callable[[], None], name: str) -> None:
    """Run a function in a thread that does not keep the process alive.

    Args:
      work: The function.
      name: The name of the thread.
    """
    threading.Thread(target=work, name=name, daemon=True).start()


def guarded(work: Callable[[], None]) -> None:
    """Run one round of a loop, and log an exception instead of raising it.

    A thread that ends with an exception would go unnoticed: the daemon would
    keep serving with an old configuration or list of hosts.

    Args:
      work: The round.
    """
    try:
        work()
    except Exception:
        logger.exception('a round of background work failed')
