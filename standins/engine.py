"""A model engine: continuous batching in steps, with a prefix cache."""

import argparse
import hashlib
import json
import threading
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from linnetwind.http_request import prompt_blocks
from standins.http_base import (
    Reply,
    Request,
    Standin,
    json_reply,
    run_until_signal,
)

DEFAULT_MAX_TOKENS = 16
STEP_SECONDS = 0.005
PREFILL_BLOCK_SECONDS = 0.002
CACHE_BLOCKS = 2000


def expected_tokens(messages: Any, max_tokens: int) -> list[str]:
    """Return the only right answer to a prompt, token by token."""
    prompt = json.dumps(messages, sort_keys=True)
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:6]
    return [f'{digest}-{index} ' for index in range(max_tokens)]


@dataclass
class Sequence:
    """One request in the batch."""

    request_id: str
    priority: int
    arrival: int
    tokens: list[str]
    ready_at: float = 0
    made: int = 0
    cancelled: bool = False
    progress: threading.Condition = field(default_factory=threading.Condition)


class Engine(Standin):
    """Faults besides the common ones.

    `step_seconds` slows each step; `cut_after` cuts a stream after that
    many events (once for each count in `cuts`); with `end_cleanly` it ends as
    if it were whole; `ignore_fencing` takes any
    order; `event_delay` and `event_gap` make cache events late and lossy.
    """

    def __init__(self, port: int = 0, slots: int = 8) -> None:
        """Start with an empty batch."""
        super().__init__(port)
        self.slots = slots
        self.arrivals = 0
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.known: OrderedDict[str, Sequence] = OrderedDict()
        self.executions: dict[str, int] = {}
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: list[tuple[float, int, str, int]] = []
        self.fence = 0
        self.orders: list[Any] = []
        threading.Thread(target=self.batch, daemon=True).start()

    def batch(self) -> None:
        """Make one token for each running sequence in each step."""
        while True:
            time.sleep(self.faults.get('step_seconds') or STEP_SECONDS)
            with self.lock:
                self.waiting.sort(key=lambda one: (one.priority, one.arrival))
                while self.waiting and len(self.running) < self.slots:
                    self.running.append(self.waiting.pop(0))
                now = time.monotonic()
                for one in list(self.running):
                    if now < one.ready_at:
                        continue
                    with one.progress:
                        one.made += 1
                        if one.made >= len(one.tokens) or one.cancelled:
                            self.running.remove(one)
                        one.progress.notify_all()

    def handle(self, request: Request) -> Reply | None:
        """Route a request."""
        if request.path == '/v1/chat/completions':
            return self.chat(request)
        if request.path == '/load':
            return json_reply(
                {
                    'running': len(self.running),
                    'waiting': len(self.waiting),
                    'step_ms': 1000
                    * (self.faults.get('step_seconds') or STEP_SECONDS),
                }
            )
        if request.path == '/events':
            return self.cache_events(int(request.query.get('from', 0)))
        if request.path == '/executions':
            return json_reply(self.executions)
        if request.path == '/orders' and request.method == 'POST':
            return self.order(request.json())
        if request.path.startswith('/cancel/'):
            found = self.known.get(request.path.removeprefix('/cancel/'))
            if found:
                found.cancelled = True
            return json_reply({'cancelled': found is not None})
        return Reply(404)

    def order(self, order: Any) -> Reply:
        """Take an order unless its fencing number is old."""
        with self.lock:
            if order['fence'] < self.fence and not self.faults.get(
                'ignore_fencing'
            ):
                return json_reply({'fence': self.fence}, 409)
            self.fence = max(self.fence, order['fence'])
            self.orders.append(order)
            return json_reply({})

    def cache_events(self, start: int) -> Reply:
        """Return the cache events that are old enough to be published."""
        delay = self.faults.get('event_delay') or 0
        gap = self.faults.get('event_gap') or 0
        newest = time.monotonic() - delay
        with self.lock:
            shown = [
                [number, kind, block]
                for at, number, kind, block in self.events
                if number >= start
                and at <= newest
                and (not gap or number % gap)
            ]
        return json_reply(shown[:500])

    def chat(self, request: Request) -> Reply | None:
        """Serve one completion, streamed or whole."""
        body = request.json()
        request_id = request.headers.get('x-request-id', '')
        resume = int(request.headers.get('x-resume-from') or 0)
        with self.lock:
            sequence = self.known.get(request_id) if resume else None
            if resume and sequence is None:
                return Reply(404)
            if sequence is None:
                sequence = self.admit(request, request_id, body)
        if body.get('stream'):
            self.stream(request.raw, sequence, resume)
            return None
        with sequence.progress:
            while sequence.made < len(sequence.tokens):
                sequence.progress.wait(1)
        text = ''.join(sequence.tokens)
        return json_reply({'choices': [{'message': {'content': text}}]})

    def admit(self, request: Request, request_id: str, body: Any) -> Sequence:
        """Put a new sequence in the queue; called with the lock."""
        prompt = json.dumps(body['messages'], sort_keys=True)
        missing = 0
        for block in prompt_blocks(prompt):
            if block not in self.cache:
                missing += 1
                self.cache[block] = None
                self.note_event('stored', block)
                if len(self.cache) > CACHE_BLOCKS:
                    dropped, _none = self.cache.popitem(last=False)
                    self.note_event('dropped', dropped)
        self.arrivals += 1
        sequence = Sequence(
            request_id,
            int(request.headers.get('x-priority') or 5),
            self.arrivals,
            expected_tokens(
                body['messages'], body.get('max_tokens') or DEFAULT_MAX_TOKENS
            ),
            time.monotonic() + missing * PREFILL_BLOCK_SECONDS,
        )
        self.waiting.append(sequence)
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        self.known[request_id] = sequence
        if len(self.known) > 1000:
            self.known.popitem(last=False)
        return sequence

    def note_event(self, kind: str, block: int) -> None:
        """Remember a cache event."""
        number = self.events[-1][1] + 1 if self.events else 0
        self.events.append((time.monotonic(), number, kind, block))
        del self.events[:-5000]

    def stream(self, raw: Any, sequence: Sequence, start: int) -> None:
        """Write events as they are made."""
        raw.send_response(200)
        raw.send_header('Content-Type', 'text/event-stream')
        raw.send_header('Transfer-Encoding', 'chunked')
        raw.end_headers()
        sent = start
        while sent < len(sequence.tokens):
            with sequence.progress:
                while sequence.made <= sent:
                    sequence.progress.wait(1)
                made = sequence.made
            for token in sequence.tokens[sent:made]:
                cut = self.faults.get('cut_after')
                if cut is not None and sent >= cut and self.take_fault('cuts'):
                    raw.close_connection = True
                    if self.faults.get('end_cleanly'):
                        raw.wfile.write(b'0\r\n\r\n')
                    return
                delta = {'choices': [{'delta': {'content': token}}]}
                self.write_chunk(raw, f'data: {json.dumps(delta)}\n\n')
                sent += 1
        self.write_chunk(raw, 'data: [DONE]\n\n')
        raw.wfile.write(b'0\r\n\r\n')

    def write_chunk(self, raw: Any, text: str) -> None:
        """Write one chunk of a chunked body."""
        body = text.encode()
        raw.wfile.write(b'%x\r\n%s\r\n' % (len(body), body))


def main() -> None:
    """Serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--slots', type=int, default=8)
    options = parser.parse_args()
    run_until_signal(Engine(options.port, options.slots))


if __name__ == '__main__':
    main()
