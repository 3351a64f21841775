"""Splits the body of a stream into whole events.

An upstream may stop in the middle of an event. The gateway relays only whole
events, so that a retry can resume after the last of them. Otherwise part of
an event could be lost, duplicated or mixed from two attempts.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

_ID_FIELD = b'id:'
_LINE_ENDS = b'\r\n'
_LF_BLANK = b'\n\n'
# A line ends with LF, CR or CR LF, which an event may mix.
_BLANK_LINE = re.compile(rb'\n(?:\n|\r\n?)|\r\r\n?')
# The last line end of an event in the style of the one before, cut in half.
_HALF_BLANK = b'\r\n\r'


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event, unchanged; `number` is its id, None if not numeric."""

    content: bytes
    number: int | None


@dataclass(frozen=True, slots=True)
class EventSplitter:
    """Splits a body into events; holds the bytes of an incomplete event."""

    incomplete: bytes = field(default=b'')

    @property
    def is_within_event(self) -> bool:
        """Return whether the body so far ends within an event.

        The second half of a CR LF that ended the last event begins no other.
        """
        is_blank = not self.incomplete.strip(_LINE_ENDS)
        return not is_blank and not self.incomplete.endswith(_HALF_BLANK)

    def feed(
        self, received: bytes
    ) -> tuple['EventSplitter', list[StreamEvent]]:
        """Add bytes of the body.

        Args:
          received: The bytes.

        Returns:
          The splitter for the bytes that follow, and the events that these
          bytes completed.
        """
        body = self.incomplete + received
        events = []
        begin = 0
        for end in _event_ends(body):
            content = body[begin:end]
            events.append(StreamEvent(content, _event_id(content)))
            begin = end
        return EventSplitter(body[begin:]), events

    def finish(self) -> list[StreamEvent]:
        """Return what is left at the end of a whole body.

        This is an event that may have ended with half a CR LF, or the other
        half. Both belong to the answer that the caller gets unchanged.
        """
        content = self.incomplete
        if not content or self.is_within_event:
            return []
        return [StreamEvent(content, _event_id(content))]


def _event_ends(body: bytes) -> Iterator[int]:
    """Yield the positions after the blank lines that end events."""
    if b'\r' in body:
        for blank_line in _BLANK_LINE.finditer(body):
            end = blank_line.end()
            if end < len(body) or not body.endswith(_HALF_BLANK):
                yield end
        return
    end = body.find(_LF_BLANK) + len(_LF_BLANK)
    while end >= len(_LF_BLANK):
        yield end
        end = body.find(_LF_BLANK, end) + len(_LF_BLANK)


def _event_id(content: bytes) -> int | None:
    for line in content.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
