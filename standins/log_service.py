"""The platform's log service: offsets, retention, outages, lost replies."""

import argparse
import time
from typing import Any

import cbor2

from standins.http_base import (
    Reply,
    Request,
    Standin,
    cbor_reply,
    run_until_signal,
)

PAGE = 1000


class LogService(Standin):
    """Streams in memory.

    Faults besides the common ones: `retention` (seconds that a record is
    kept), `appends_per_second` (more are answered with status 429) and
    `lose_append_replies` (store, then cut the connection, that many times).
    """

    def __init__(self, port: int = 0) -> None:
        """Start with no streams."""
        super().__init__(port)
        self.streams: dict[str, list[tuple[float, bytes]]] = {}
        self.firsts: dict[str, int] = {}
        self.appends: list[float] = []

    def handle(self, request: Request) -> Reply | None:
        """Append or read."""
        name = request.path.removeprefix('/streams/')
        if request.method == 'POST':
            reply = self.append(name, cbor2.loads(request.body))
            if self.take_fault('lose_append_replies'):
                request.raw.close_connection = True
                return None
            return reply
        return self.read(name, int(request.query.get('from', 0)))

    def append(self, name: str, records: list[bytes]) -> Reply:
        """Store records and return the first one's offset."""
        with self.lock:
            now = time.monotonic()
            self.appends = [at for at in self.appends if at > now - 1]
            limit = self.faults.get('appends_per_second')
            if limit and len(self.appends) >= limit:
                return Reply(429)
            self.appends.append(now)
            stream = self.streams.setdefault(name, [])
            offset = self.firsts.setdefault(name, 0) + len(stream)
            stream.extend((now, record) for record in records)
            return cbor_reply({'first_offset': offset})

    def read(self, name: str, start: int) -> Reply:
        """Return a page of records."""
        with self.lock:
            self.expire(name)
            stream = self.streams.get(name, [])
            first = self.firsts.get(name, 0)
            begin = max(start, first)
            kept = stream[begin - first : begin - first + PAGE]
            entries: list[Any] = [
                [begin + index, record]
                for index, (_at, record) in enumerate(kept)
            ]
            return cbor_reply(
                {
                    'first': first,
                    'end': first + len(stream),
                    'entries': entries,
                }
            )

    def expire(self, name: str) -> None:
        """Drop the records that are older than the retention."""
        retention = self.faults.get('retention')
        if not retention:
            return
        stream = self.streams.get(name, [])
        oldest = time.monotonic() - retention
        while stream and stream[0][0] < oldest:
            stream.pop(0)
            self.firsts[name] += 1


def main() -> None:
    """Serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    run_until_signal(LogService(parser.parse_args().port))


if __name__ == '__main__':
    main()
