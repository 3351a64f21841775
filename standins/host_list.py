"""The platform's lagging host list."""

import argparse
import time
from typing import Any

from standins.http_base import (
    Reply,
    Request,
    Standin,
    json_reply,
    run_until_signal,
)


class HostList(Standin):
    """`PUT /hosts` replaces the list; `GET` shows it `lag` seconds late."""

    def __init__(self, port: int = 0) -> None:
        """Start with an empty list."""
        super().__init__(port)
        self.versions: list[tuple[float, Any]] = [(0, [])]

    def handle(self, request: Request) -> Reply | None:
        """Show or replace the list."""
        with self.lock:
            if request.method == 'PUT':
                self.versions.append((time.monotonic(), request.json()))
                return json_reply({})
            newest = time.monotonic() - (self.faults.get('lag') or 0)
            shown = [hosts for at, hosts in self.versions if at <= newest]
            return json_reply(shown[-1])


def main() -> None:
    """Serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    run_until_signal(HostList(parser.parse_args().port))


if __name__ == '__main__':
    main()
