"""What callers and upstreams saw, and which promises it breaks."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field

# What a refusal promises: the call has not run and never will.
REFUSALS = frozenset((408, 421, 429, 503))
# The prompt part that crashes upstreams, and the prompt of sound calls.
BAD_PART = 'bad:100'
SOUND_PROMPT = 'first:40,other-1:30,own:10'


@dataclass(frozen=True, slots=True)
class Extras:
    """What goes wrong besides the faults that every seed draws.

    `restarts`: upstreams start again under their names; `strangers`: other
    writers write among the entries of upstreams; `returns`: the store comes
    back from older copies; `crashers`: a request crashes upstreams; `prompts`:
    a part of prompts crashes upstreams; `backpressure`: upstreams ask to back
    off or say that they leave; `evacuations`: an operator evacuates a data
    centre; `rolls`: only planned work, mostly stops, and some streams are much
    longer than the others.
    """

    restarts: bool = False
    strangers: bool = False
    returns: bool = False
    crashers: bool = False
    prompts: bool = False
    backpressure: bool = False
    evacuations: bool = False
    rolls: bool = False


@dataclass
class Call:
    """One call as its caller saw it.

    `status` is 0 if the connection ended without an answer; `whole` says that
    the answer was complete, `right` that it was the answer to this call.
    """

    name: str
    kind: str
    path: str
    gateway: str
    sent: float
    ended: float = 0
    status: int = 0
    whole: bool = False
    right: bool = True
    problem: str = ''


@dataclass
class Book:
    """All calls and runs; may be written from any thread."""

    calls: list[Call] = field(default_factory=list)
    runs: Counter = field(default_factory=Counter)
    notes: list[tuple[float, str]] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def take(self, call: Call) -> None:
        """Take note of a call that has ended."""
        with self.lock:
            self.calls.append(call)

    def run(self, name: str) -> None:
        """Take note that an upstream began to run a call."""
        with self.lock:
            self.runs[name] += 1

    def crash(self) -> None:
        """Take note that a request crashed an upstream."""
        with self.lock:
            self.crashes.append(time.monotonic())
        self.note('a request crashes an upstream')

    def note(self, text: str) -> None:
        """Take note of a fault, for the timeline."""
        with self.lock:
            self.notes.append((time.monotonic(), text))

    def broken(self) -> list[str]:
        """Return every broken promise, a line each."""
        known = {call.name for call in self.calls}
        lines = [
            f'ran without a caller: {name}'
            for name in self.runs
            if name not in known
        ]
        for call in self.calls:
            lines.extend(f'{text}: {call}' for text in self._problems(call))
        return lines

    def _problems(self, call: Call) -> list[str]:
        problems = []
        runs = self.runs[call.name]
        if call.status == 200 and not call.right:
            problems.append('a wrong answer')
        if call.kind == 'once' and runs > 1:
            problems.append(f'ran {runs} times')
        if call.kind == 'once' and call.status in REFUSALS and runs:
            problems.append('refused, but ran')
        if call.status == 200 and not runs:
            problems.append('answered, but never ran')
        return problems


def timeline(book: Book, start: float) -> str:
    """Return a picture of the run in text: a line for each second.

    Args:
      book: What was seen.
      start: The monotonic time of the start.

    Returns:
      For each second the calls by outcome, and the faults that began.
    """
    outcomes: dict[int, Counter] = {}
    for call in book.calls:
        second = int(call.sent - start)
        kind = 'cut' if call.status and not call.whole else str(call.status)
        outcomes.setdefault(second, Counter())[kind] += 1
    faults: dict[int, list[str]] = {}
    for at, text in book.notes:
        faults.setdefault(int(at - start), []).append(text)
    lines = []
    for second in range(max([0, *outcomes, *faults]) + 1):
        counts = outcomes.get(second, Counter())
        bar = '#' * min(40, counts['200'] // 4)
        rest = ' '.join(
            f'{kind}:{count}' for kind, count in sorted(counts.items())
        )
        what = '; '.join(faults.get(second, []))
        lines.append(f'{second:4} {bar:40} {rest:40} {what}')
    return '\n'.join(lines)
