"""The platform's store, as far as the gateway uses it, with outages.

It may come back from a copy: what was written since the copy is gone, its
offsets are given out again, and the era in the header of all answers rises.
"""

import base64
import collections
import json
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class PlatformStore:
    """Keyed topics over HTTP; `outage` is None, 'busy', 'silent' or 'cut'."""

    def __init__(self):
        """Start to serve."""
        self.outage = None
        # The header is left out if this is None.
        self.era = 0
        # After so many calls the era is another one.
        self.era_after = None
        self.calls = []
        self._topics = collections.defaultdict(list)
        self._first = collections.defaultdict(int)
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def do_GET(self):
                store.answer(self)

            def do_POST(self):
                store.answer(self)

            def log_message(self, *_args):
                """Stay silent."""

        self._server = ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        self._server.daemon_threads = True
        # Clients that give up in an outage are part of the tests.
        self._server.handle_error = lambda *_args: None
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        """Stop."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, topic, key, value):
        """Append a record; a value of None drops the key."""
        content = b'' if value is None else json.dumps(value).encode()
        self.put_bytes(topic, key, content)

    def put_bytes(self, topic, key, content):
        """Append a record of another writer, with any bytes."""
        with self._changed:
            self._topics[topic].append((key, content))
            self._changed.notify_all()

    def forget(self, topic):
        """Delete the history; the newest record of each key stays."""
        self._first[topic] = len(self._topics[topic])

    def copy(self):
        """Return a copy to come back from."""
        with self._changed:
            return {topic: list(each) for topic, each in self._topics.items()}

    def come_back_from(self, copy):
        """Lose what was written since a copy."""
        with self._changed:
            self._topics.clear()
            self._topics.update(
                {topic: list(each) for topic, each in copy.items()}
            )
            self.era += 1
            self._changed.notify_all()

    def answer(self, handler):
        """Answer one call, or not."""
        self.calls.append(handler.path)
        if self.era_after and len(self.calls) >= self.era_after[0]:
            self.era = self.era_after[1]
        body = handler.rfile.read(int(handler.headers['Content-Length'] or 0))
        if self.outage == 'silent':
            time.sleep(3)
        if self.outage in {'silent', 'cut'}:
            handler.close_connection = True
            return
        if self.outage == 'busy':
            self._send(handler, 503, b'')
            return
        url = urlsplit(handler.path)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        if url.path == '/-/log-append':
            self._append(query['topic'], body)
            self._send(handler, 200, b'{}')
        elif url.path == '/-/log-newest':
            self._send(handler, 200, self._newest(query))
        else:
            self._send(handler, *self._read(query))

    def _append(self, topic, body):
        while body:
            end = 4 + struct.unpack_from('>I', body)[0]
            key_end = 5 + body[4]
            key = body[5:key_end].decode()
            self.put_bytes(topic, key, body[key_end:end])
            body = body[end:]

    def _newest(self, query):
        records = self._topics[query['topic']]
        newest = {
            key: (offset, content)
            for offset, (key, content) in enumerate(records)
        }
        kept = sorted(key for key, (_at, content) in newest.items() if content)
        rest = [key for key in kept if key > query.get('after', '')]
        page = rest[:5]
        elements = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in page
        ]
        answer = {
            'elements': elements,
            'hasMore': len(rest) > len(page),
            'endOffset': len(records),
        }
        return json.dumps(answer).encode()

    def _read(self, query):
        topic, start = query['topic'], int(query['from'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        if not self._first[topic] <= start <= len(self._topics[topic]):
            return 410, json.dumps({'first': self._first[topic]}).encode()
        with self._changed:
            while len(self._topics[topic]) <= start:
                left = until - time.monotonic()
                if left <= 0 or not self._changed.wait(left):
                    break
            records = self._topics[topic][start:]
        body = struct.pack('>QQ', start + len(records), self._first[topic])
        for key, content in records:
            record = bytes([len(key)]) + key.encode() + content
            body += struct.pack('>I', len(record)) + record
        return 200, body

    def _send(self, handler, status, body):
        handler.send_response(status)
        if self.era is not None:
            handler.send_header('Store-Era', str(self.era))
        handler.send_header('Content-Length', str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)
