"""Upstreams of the soak: they run what they are sent, or misbehave."""

import threading
import time
from dataclasses import dataclass

from standins.platform_cluster import entry_of
from standins.scripted_upstream import ScriptedUpstream
from standins.soak_book import BAD_PART, Book
from standins.soak_callers import expected_body, expected_events
from standins.soak_proxy import SoakProxy

_EVENT_S = 0.05
_BACK_AFTER_S = 1.0
_BACKOFF_S = 3
# In the other moods a gateway may get no head of an answer, and so is not told.
_MOODS_THAT_TELL = frozenset(('sound', 'failing', 'full'))


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached an upstream, and what its answer told the gateway.

    `backoff` is for how many seconds it asked to back off, `leaving` says that
    the answer named the upstream as leaving; `life` counts its starts.
    """

    at: float
    call: str
    life: int
    backoff: int = 0
    leaving: bool = False


class SoakUpstream:
    """An upstream behind a proxy, registered under an instance.

    `mood` is 'sound', 'failing' (500), 'full' (refuses, not run), 'hanging',
    'breaking' (resets in the middle of an answer) or 'wrong' (bytes that are
    no answer).
    `refusing` has every second call refused and asks to back off. `leaving` is
    told in each answer; the entry does not say so.
    """

    def __init__(
        self, instance: str, service: str, book: Book, store, site: str = 'z'
    ):
        """Start and register."""
        self.instance = instance
        self.site = site
        self.mood = 'sound'
        self.last_runs: list[float] = []
        self.refusing = False
        self.leaving = False
        self.arrivals: list[Arrival] = []
        self._lives = 0
        self._born_ms = int(time.time() * 1000)
        self._state = 'ready'
        self._lock = threading.Lock()
        self._service = service
        self._book = book
        self._store = store
        self._ended = threading.Event()
        self._upstream = ScriptedUpstream(self._serve)
        self.proxy = SoakProxy(self._upstream.port)
        self.register('ready')

    def register(self, state: str) -> None:
        """Write the entry to the store."""
        with self._lock:
            self._state = state
            self._write()

    def start_again(self) -> bool:
        """Crash and start again at once, elsewhere under the same name.

        Returns:
          Whether it did; one that drains does not.
        """
        with self._lock:
            if self._state != 'ready':
                return False
            self.proxy.close()
            self.proxy = SoakProxy(self._upstream.port)
            self._born_ms = int(time.time() * 1000)
            self._lives += 1
            self.leaving = False
            self._write()
            return True

    def spoil(self, content: bytes) -> bool:
        """Have another writer replace the entry.

        Args:
          content: What it writes.

        Returns:
          Whether it did; the entry of one that drains stays.
        """
        with self._lock:
            if self._state != 'ready':
                return False
            self._store.put_bytes('keyed.servers', self.instance, content)
            return True

    def write_again(self) -> None:
        """Write the entry as it stands, as with each heartbeat."""
        with self._lock:
            if self._state == 'gone':
                self._store.put('keyed.servers', self.instance, None)
            else:
                self._write()

    def leave(self) -> None:
        """Drop the entry."""
        with self._lock:
            self._state = 'gone'
            self._store.put('keyed.servers', self.instance, None)

    def _crash(self, connection) -> None:
        """Crash under a request, and be back after some time."""
        with self._lock:
            self.proxy.close()
            connection.reset()
            self._book.crash()
            time.sleep(_BACK_AFTER_S)
            if self._state == 'ready':
                self.proxy = SoakProxy(self._upstream.port)
                self._born_ms = int(time.time() * 1000)
                self._lives += 1
                self._write()

    def close(self) -> None:
        """Stop at once."""
        self._ended.set()
        self._upstream.close()
        self.proxy.close()

    def _write(self) -> None:
        entry = entry_of(self.proxy, self._service, self._state, self._born_ms)
        entry['zone'] = self.site
        self._store.put('keyed.servers', self.instance, entry)

    def _serve(self, connection, request) -> None:
        name = request.headers.get('attempt-id', '')
        # Read once: a fault may change it while the call is answered.
        mood = self.mood
        refuses = self.refusing and len(self.arrivals) % 2
        said = {'Server_Leaving': '1'} if self.leaving else {}
        is_told = refuses or mood in _MOODS_THAT_TELL
        backoff = _BACKOFF_S if refuses else 0
        self._note_arrival(name, backoff, leaving=bool(said and is_told))
        if refuses:
            said['Retry_After'] = str(backoff)
            connection.answer(request, 'no', 503, Not_Executed='1', **said)
            return
        if mood == 'full':
            connection.answer(request, 'full', 503, Not_Executed='1', **said)
            return
        self._book.run(name)
        prompt = request.headers.get('prompt-prefix', '')
        if request.target == '/x/crash' or BAD_PART in prompt:
            self._crash(connection)
            return
        self.last_runs.append(time.monotonic())
        match mood:
            case 'failing':
                connection.answer(request, 'failed', 500, **said)
            case 'hanging':
                self._ended.wait(3)
            case 'wrong':
                connection.send('HTTP/1.1 what is this\r\n\r\n')
            case 'breaking':
                self._break(connection, request, name, said)
            case _:
                self._answer(connection, request, name, said)

    def _note_arrival(self, call: str, backoff: int, *, leaving: bool) -> None:
        now = time.monotonic()
        arrival = Arrival(now, call, self._lives, backoff, leaving)
        self.arrivals.append(arrival)

    def _answer(self, connection, request, name: str, said: dict) -> None:
        if '/s/' not in request.target:
            body = expected_body(name).decode()
            connection.answer(request, body, **said)
            return
        connection.head(request, Transfer_Encoding='chunked', **said)
        for event in self._events_after(request, name):
            connection.chunk(f'{event}\n\n')
            time.sleep(_EVENT_S)
        connection.send('0\r\n\r\n')

    def _break(self, connection, request, name: str, said: dict) -> None:
        if '/s/' in request.target:
            connection.head(request, Transfer_Encoding='chunked', **said)
            events = self._events_after(request, name)
            if events:
                # The last one is cut in the middle.
                connection.chunk(f'{events[0]}\n\n{events[-1][:5]}')
        else:
            body = expected_body(name).decode()
            connection.head(request, Content_Length=str(len(body)), **said)
            connection.send(body[:4])
        connection.reset()

    def _events_after(self, request, name: str) -> list[str]:
        last = int(request.headers.get('last-event-id') or 0)
        return expected_events(name)[last:]
