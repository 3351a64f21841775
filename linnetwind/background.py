"""Work in the background that goes on whatever happens in one round."""

import threading
from collections.abc import Callable

from loguru import logger


def in_background(work: Callable[[], None], name: str) -> None:
    """Run something in a thread that does not keep the process alive.

    Args:
      work: What to run.
      name: The thread's name.
    """
    threading.Thread(target=work, name=name, daemon=True).start()


def guarded(work: Callable[[], None]) -> None:
    """Run one round of a loop; log what it raises and return.

    A thread that ends by an exception is not missed by anybody: the daemon
    would go on with an old configuration or host list for ever.

    Args:
      work: The round.
    """
    try:
        work()
    except Exception:
        logger.exception('a round of background work failed')
