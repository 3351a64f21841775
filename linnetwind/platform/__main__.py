"""Starts a daemon on the users' platform: `entry` or `rank`."""

import os
import sys

from linnetwind.stop_signals import hold_signals


def main(role: str, *ports: str) -> None:
    """Run a daemon until it is stopped.

    Args:
      role: `entry` on the hosts that callers connect to, `rank` beside an
        upstream. Each role imports only the modules that it needs, because
        memory is the main cost of a rank agent.
      ports: For `entry`, the port on which it serves its metrics.
    """
    hold_signals()
    if role == 'entry':
        from linnetwind.platform.front_port import open_front

        front = open_front()
        from linnetwind.platform.entry import run_entry

        run_entry(int(ports[0]), front)
    else:
        from linnetwind.platform.rank import run_rank

        run_rank()
    # Threads that serve idle connections would keep the process alive until it
    # is killed. No request is in flight at this point, so none can be lost.
    sys.stdout.flush()
    os._exit(0)


if __name__ == '__main__':
    main(*sys.argv[1:])
