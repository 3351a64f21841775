"""The interface to the platform's log service."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Ok, Result

from linnetwind.errors import LogUnavailable


@dataclass(frozen=True, slots=True)
class Entry:
    """A record and its offset in the stream."""

    offset: int
    record: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    `first` is the lowest offset that the log still keeps; `end` is the offset
    that the next appended record will get.
    """

    first: int
    end: int
    entries: tuple[Entry, ...]


class LogPort(Protocol):
    """Append-only streams with offsets and limited retention."""

    def append(
        self, stream: str, records: Sequence[bytes]
    ) -> Result[int, LogUnavailable]:
        """Append records with one request.

        Args:
          stream: The stream's name.
          records: At least one record.

        Returns:
          The offset of the first record; or an error, after which the records
          may or may not be stored.
        """

    def read(self, stream: str, start: int) -> Result[Page, LogUnavailable]:
        """Read records in offset order.

        Args:
          stream: The stream's name.
          start: The lowest offset to read.

        Returns:
          The records from `start`, or from the first one that the log still
          keeps; at most one page of the service.
        """


def read_to_end(
    log: LogPort, stream: str, start: int
) -> Result[Page, LogUnavailable]:
    """Read all pages up to the current end of the stream.

    Args:
      log: The log service.
      stream: The stream's name.
      start: The lowest offset to read.

    Returns:
      All records as one page, or the error of the first read that failed.
    """
    entries: list[Entry] = []
    position = start
    while True:
        reply = log.read(stream, position)
        if reply.is_err():
            return reply
        page = reply.unwrap()
        entries.extend(page.entries)
        position = _next_position(page)
        if position >= page.end:
            return Ok(Page(page.first, page.end, tuple(entries)))


def _next_position(page: Page) -> int:
    if page.entries:
        return page.entries[-1].offset + 1
    return page.end
