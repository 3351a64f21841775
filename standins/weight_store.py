"""The platform's weight store, which hands out experts at a limited rate."""

import argparse
import time

from standins.http_base import (
    Reply,
    Request,
    Standin,
    json_reply,
    run_until_signal,
)

EXPERTS_PER_SECOND = 200.0


class WeightStore(Standin):
    """`GET /experts?count=N` answers when N experts have gone out.

    Faults besides the common ones: `experts_per_second`.
    """

    def __init__(self, port: int = 0) -> None:
        """Start idle."""
        super().__init__(port)
        self.free_at = time.monotonic()
        self.given = 0

    def handle(self, request: Request) -> Reply | None:
        """Hand out experts, one request after the other."""
        if request.path == '/given':
            return json_reply(self.given)
        count = int(request.query.get('count', 1))
        rate = self.faults.get('experts_per_second') or EXPERTS_PER_SECOND
        with self.lock:
            start = max(self.free_at, time.monotonic())
            self.free_at = start + count / rate
            self.given += count
        time.sleep(max(0, self.free_at - time.monotonic()))
        return json_reply({'count': count})


def main() -> None:
    """Serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    run_until_signal(WeightStore(parser.parse_args().port))


if __name__ == '__main__':
    main()
