"""Callers of the soak: each keeps its connection until it ends."""

import json
import random
import threading
import time
from http.client import HTTPConnection, HTTPException, IncompleteRead

from standins.soak_book import SOUND_PROMPT, Book, Call, Extras

_CALLERS = 12
# A caller's patience, longer than the route's timeout.
_TIMEOUT_S = 8
_EVENTS = 6
# Long streams of `rolls`: their events, how their names end, and their share.
_LONG_EVENTS = 80
_LONG = '-long'
_LONG_SHARE = 0.25


def expected_body(name: str) -> bytes:
    """Return the whole answer to a plain call."""
    return f'answer to {name}'.encode()


def expected_events(name: str) -> list[str]:
    """Return the events of the whole answer to a stream."""
    count = _LONG_EVENTS if name.endswith(_LONG) else _EVENTS
    return [f'id: {number}\ndata: {name}' for number in range(1, count + 1)]


class Caller:
    """One caller in a thread, with the gateways it may use."""

    def __init__(
        self,
        book: Book,
        seed: int,
        number: int,
        gateways,
        paths,
        *,
        lengths: bool = False,
    ):
        """Start to call.

        Args:
          book: Where its calls go.
          seed: Of its choices.
          number: Which caller this is.
          gateways: The gateway processes, in the order of preference.
          paths: Returns the path of a kind of call in force now.
          lengths: Whether some streams are long. All name the same largest
            number of tokens.
        """
        self._book = book
        self._random = random.Random(f'{seed}/{number}')
        # With choices of its own: those of the other extras stay.
        self._lengths = random.Random(f'{seed}/{number}') if lengths else None
        self._number = number
        self._gateways = gateways
        self._paths = paths
        self._calls = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop after the call under way."""
        self._stop.set()
        self._thread.join(2 * _TIMEOUT_S)

    def _run(self) -> None:
        while not self._stop.is_set():
            gateway = self._random.choice(self._gateways)
            connection = HTTPConnection(
                gateway.ip, gateway.front, timeout=_TIMEOUT_S
            )
            try:
                while not self._stop.is_set() and self._call(
                    gateway, connection
                ):
                    self._stop.wait(self._random.expovariate(15))
            finally:
                connection.close()
            self._stop.wait(0.05)

    def _call(self, gateway, connection: HTTPConnection) -> bool:
        """Send one call; return whether the connection can be used again."""
        kind = self._random.choice(('plain', 'plain', 'once', 'stream'))
        self._calls += 1
        name = f'c{self._number}-{self._calls}{self._length(kind)}'
        path = self._paths(kind)
        call = Call(name, kind, path, gateway.ip, time.monotonic())
        usable = False
        try:
            usable = self._exchange(call, connection)
        except (OSError, HTTPException) as error:
            call.problem = repr(error)
        call.ended = time.monotonic()
        self._book.take(call)
        return usable

    def _length(self, kind: str) -> str:
        if self._lengths is None or kind != 'stream':
            return ''
        return _LONG if self._lengths.random() < _LONG_SHARE else ''

    def _exchange(self, call: Call, connection: HTTPConnection) -> bool:
        method = 'GET' if call.kind == 'plain' else 'POST'
        headers = {
            'Host': 'a.example',
            'Attempt-Id': call.name,
            'Prompt-Prefix': SOUND_PROMPT,
            'Deadline-Ms': str(_TIMEOUT_S * 1000),
        }
        if self._lengths is not None:
            headers['Token-Count'] = f'100,{_LONG_EVENTS}'
        body = None if call.kind == 'plain' else b'x' * 200
        connection.request(method, f'{call.path}{call.name}', body, headers)
        response = connection.getresponse()
        call.status = response.status
        try:
            content = response.read()
        except IncompleteRead as error:
            call.right = _is_begun(call, error.partial)
            raise
        call.whole = True
        if call.status == 200:
            call.right = _is_whole(call, content)
        return not response.will_close


def start_callers(
    book: Book, seed: int, gateways, paths, extras: Extras
) -> list[Caller]:
    """Start the callers of a soak; the arguments are those of `Caller`."""
    return [
        Caller(book, seed, number, gateways, paths, lengths=extras.rolls)
        for number in range(_CALLERS)
    ]


def _events(content: bytes) -> list[str]:
    return [each for each in content.decode().split('\n\n') if each]


def _is_whole(call: Call, content: bytes) -> bool:
    if call.kind == 'stream':
        return _events(content) == expected_events(call.name)
    return content == expected_body(call.name)


def _is_begun(call: Call, content: bytes) -> bool:
    """Return whether what came before a break is right."""
    if call.kind != 'stream':
        return expected_body(call.name).startswith(content)
    whole = '\n\n'.join([*expected_events(call.name), ''])
    return whole.encode().startswith(content)


def describe(calls: list[Call]) -> str:
    """Return calls as JSON lines, for a report."""
    return '\n'.join(json.dumps(vars(call)) for call in calls)
