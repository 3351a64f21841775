"""Starts a daemon on the users' platform: `entry` or `rank`."""

import os
import sys


def main(role: str, *ports: str) -> None:
    """Run a daemon until it is told to stop.

    Args:
      ports: For `entry`, the port of its metrics.
      role: `entry` for callers' hosts, `rank` beside an upstream. Each role
        imports only what it needs; memory is the rank agents' main cost.
    """
    if role == 'entry':
        from linnetwind.platform.front_port import open_front

        front = open_front()
        from linnetwind.platform.entry import run_entry

        run_entry(int(ports[0]), front)
    else:
        from linnetwind.platform.rank import run_rank

        run_rank()
    # Threads that serve idle connections would keep the process until it is
    # killed; by now nothing is left that they could lose.
    sys.stdout.flush()
    os._exit(0)


if __name__ == '__main__':
    main(*sys.argv[1:])
