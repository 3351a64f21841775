"""A threaded HTTP server with a method per route and switchable faults."""

import contextlib
import json
import signal
import sys
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

import cbor2


@dataclass
class Request:
    """A request with its body read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    raw: Any

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body or b'{}')


@dataclass
class Reply:
    """A whole reply."""

    status: int = 200
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


def json_reply(plain: Any, status: int = 200) -> Reply:
    """Return a JSON reply."""
    body = json.dumps(plain).encode()
    return Reply(status, body, {'Content-Type': 'application/json'})


def cbor_reply(plain: Any) -> Reply:
    """Return a CBOR reply."""
    return Reply(200, cbor2.dumps(plain), {'Content-Type': 'application/cbor'})


class Standin:
    """A server with faults that can be switched on while it runs.

    `POST /faults` with a JSON map sets them; every stand-in knows `down`
    (refuse every request), `slow` (seconds to wait before the work) and
    `lose_replies` (do the work, then cut the connection, that many times).
    """

    def __init__(self, port: int = 0) -> None:
        """Bind the port; nothing is served yet."""
        self.faults: dict[str, Any] = {}
        self.lock = threading.RLock()
        standin = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def handle_any(self) -> None:
                standin.serve_one(self)

            do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = handle_any

            def log_message(self, *_args: Any) -> None:
                """Stay silent."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_args: Any) -> None:
                """Stay silent about cut connections."""

        self.server = Server(('127.0.0.1', port), Handler)
        self.port = self.server.server_address[1]

    def start(self) -> 'Standin':
        """Serve in a thread."""
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()
        return self

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.shutdown()
        self.server.server_close()

    def handle(self, request: Request) -> Reply | None:
        """Answer a request; None when the reply was written already."""
        raise NotImplementedError

    def serve_one(self, raw: Any) -> None:
        """Read a request, apply the faults and write the reply."""
        parts = urlsplit(raw.path)
        length = int(raw.headers.get('Content-Length') or 0)
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        request = Request(
            raw.command,
            parts.path,
            query,
            {key.lower(): text for key, text in raw.headers.items()},
            raw.rfile.read(length),
            raw,
        )
        if parts.path == '/faults':
            with self.lock:
                self.faults.update(request.json())
                self.write(raw, json_reply(self.faults))
            return
        if self.faults.get('down'):
            raw.close_connection = True
            return
        if self.faults.get('slow'):
            time.sleep(self.faults['slow'])
        reply = self.handle(request)
        if reply is None:
            return
        if self.take_fault('lose_replies'):
            raw.close_connection = True
            return
        self.write(raw, reply)

    def take_fault(self, name: str) -> bool:
        """Use up one of a number of faults."""
        with self.lock:
            left = int(self.faults.get(name) or 0)
            if left > 0:
                self.faults[name] = left - 1
            return left > 0

    def write(self, raw: Any, reply: Reply) -> None:
        """Write a whole reply."""
        raw.send_response(reply.status)
        for key, text in reply.headers.items():
            raw.send_header(key, text)
        raw.send_header('Content-Length', str(len(reply.body)))
        raw.end_headers()
        raw.wfile.write(reply.body)


def run_until_signal(standin: Standin) -> None:
    """Serve until SIGTERM or SIGINT, then exit."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: sys.exit(0))
    with contextlib.suppress(KeyboardInterrupt):
        standin.server.serve_forever(0.05)
