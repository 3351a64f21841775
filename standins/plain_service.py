"""A plain service that keeps a record of every call that it ran."""

import argparse
import base64
import time
from typing import Any

from standins.http_base import (
    Reply,
    Request,
    Standin,
    json_reply,
    run_until_signal,
)


class PlainService(Standin):
    """Answers every path by telling what it was asked.

    Faults besides the common ones: `work_seconds` (how long a call takes),
    `cut_before_work`, `cut_after_work` and `cut_mid_body` (the number of
    calls to cut there). `GET /record` lists the calls that ran.
    """

    def __init__(self, port: int = 0) -> None:
        """Start with an empty record."""
        super().__init__(port)
        self.ran: list[dict[str, Any]] = []

    def handle(self, request: Request) -> Reply | None:
        """Run a call."""
        if request.path == '/record':
            return json_reply(self.ran)
        if self.take_fault('cut_before_work'):
            request.raw.close_connection = True
            return None
        with self.lock:
            number = len(self.ran)
            self.ran.append(
                {
                    'number': number,
                    'request_id': request.headers.get('x-request-id'),
                    'method': request.method,
                    'path': request.path,
                    'body': request.body.decode('utf-8', 'replace'),
                }
            )
        time.sleep(self.faults.get('work_seconds') or 0)
        if self.take_fault('cut_after_work'):
            request.raw.close_connection = True
            return None
        reply = json_reply(
            {
                'ran': number,
                'method': request.method,
                'path': request.raw.path,
                'headers': request.headers,
                'body': base64.b64encode(request.body).decode(),
            }
        )
        if self.take_fault('cut_mid_body'):
            self.write_half(request.raw, reply)
            return None
        return reply

    def write_half(self, raw: Any, reply: Reply) -> None:
        """Promise the whole body and write half of it."""
        raw.send_response(reply.status)
        raw.send_header('Content-Length', str(len(reply.body)))
        raw.end_headers()
        raw.wfile.write(reply.body[: len(reply.body) // 2])
        raw.close_connection = True


def main() -> None:
    """Serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    run_until_signal(PlainService(parser.parse_args().port))


if __name__ == '__main__':
    main()
