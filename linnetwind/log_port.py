"""The platform's log service as this project sees it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Ok, Result

from linnetwind.errors import LogUnavailable


@dataclass(frozen=True, slots=True)
class Entry:
    """One record and its place in the stream."""

    offset: int
    record: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """A run of records.

    `first` is the lowest offset that the log still keeps; `end` is the
    offset that the next append will get.
    """

    first: int
    end: int
    entries: tuple[Entry, ...]


class LogPort(Protocol):
    """Append-only streams with offsets and limited retention."""

    def append(
        self, stream: str, records: Sequence[bytes]
    ) -> Result[int, LogUnavailable]:
        """Append records in one go.

        Args:
          stream: The stream's name.
          records: At least one record.

        Returns:
          The offset of the first record; or an error, after which nobody
          knows whether the records were stored.
        """

    def read(self, stream: str, start: int) -> Result[Page, LogUnavailable]:
        """Read records in offset order.

        Args:
          stream: The stream's name.
          start: The lowest offset wanted.

        Returns:
          The records from `start` or from the first one kept, as many as
          the service puts on one page.
        """


def read_to_end(
    log: LogPort, stream: str, start: int
) -> Result[Page, LogUnavailable]:
    """Read pages until the end of the stream as of now.

    Args:
      log: The log service.
      stream: The stream's name.
      start: The lowest offset wanted.

    Returns:
      All records as one page.
    """
    entries: list[Entry] = []
    position = start
    while True:
        answer = log.read(stream, position)
        if answer.is_err():
            return answer
        page = answer.unwrap()
        entries.extend(page.entries)
        position = _next_position(page)
        if position >= page.end:
            return Ok(Page(page.first, page.end, tuple(entries)))


def _next_position(page: Page) -> int:
    if page.entries:
        return page.entries[-1].offset + 1
    return page.end
