"""In-memory fakes at the interfaces, for tests of single modules."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from concurrent.futures import Executor, Future
from typing import Any

from result import Err, Ok, Result

from linnetwind.errors import LogUnavailable
from linnetwind.log_port import Entry, Page


class FakeLog:
    """A log in memory whose faults are attributes."""

    def __init__(self) -> None:
        """Start empty and healthy."""
        self.streams: dict[str, list[bytes]] = defaultdict(list)
        self.firsts: dict[str, int] = defaultdict(int)
        self.down = False
        self.lose_replies = 0
        self.before_append: Callable[[], None] | None = None
        self.appends = 0

    def append(
        self, stream: str, records: Sequence[bytes]
    ) -> Result[int, LogUnavailable]:
        """Append; the reply is lost as often as `lose_replies` says."""
        hook, self.before_append = self.before_append, None
        if hook is not None:
            hook()
        if self.down:
            return Err(LogUnavailable('down'))
        self.appends += 1
        offset = self.firsts[stream] + len(self.streams[stream])
        self.streams[stream].extend(records)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return Err(LogUnavailable('reply lost'))
        return Ok(offset)

    def read(self, stream: str, start: int) -> Result[Page, LogUnavailable]:
        """Read everything from an offset on."""
        if self.down:
            return Err(LogUnavailable('down'))
        first = self.firsts[stream]
        kept = self.streams[stream]
        entries = tuple(
            Entry(first + index, record)
            for index, record in enumerate(kept)
            if first + index >= start
        )
        return Ok(Page(first, first + len(kept), entries))

    def expire(self, stream: str, first: int) -> None:
        """Drop the records below an offset."""
        drop = first - self.firsts[stream]
        self.streams[stream] = self.streams[stream][drop:]
        self.firsts[stream] = first


class InlineExecutor(Executor):
    """Runs each task at once, on the caller's thread."""

    def submit(
        self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> 'Future[Any]':
        """Run the task."""
        future: Future[Any] = Future()
        future.set_result(fn(*args, **kwargs))
        return future


class HeldExecutor(Executor):
    """Keeps tasks until they are run by hand, like a paused process."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.tasks: list[Callable[[], Any]] = []

    def submit(
        self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> 'Future[Any]':
        """Keep the task."""
        self.tasks.append(lambda: fn(*args, **kwargs))
        return Future()

    def run_all(self) -> None:
        """Run the tasks that were kept."""
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            task()
