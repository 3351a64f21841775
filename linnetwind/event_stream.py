"""Splits the body of a stream into whole events.

An upstream may stop in the middle of an event. Only whole events are passed
on, so that another run can go on after the last of them without a piece
that is missing, doubled or joined from two runs.
"""

from dataclasses import dataclass, field

_ID_FIELD = b'id:'
_EVENT_ENDS = (b'\n\n', b'\r\n\r\n')


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event as it came; `number` is its id, if that is a number."""

    content: bytes
    number: int | None


@dataclass(frozen=True, slots=True)
class EventSplitter:
    """The bytes of an event that is not complete yet."""

    rest: bytes = field(default=b'')

    def feed(self, piece: bytes) -> tuple['EventSplitter', list[StreamEvent]]:
        """Take more of the body.

        Args:
          piece: The bytes that came.

        Returns:
          The splitter for what follows, and the events that are complete.
        """
        events = []
        rest = self.rest + piece
        end = _event_end(rest)
        while end:
            content = rest[:end]
            events.append(StreamEvent(content, _number(content)))
            rest = rest[end:]
            end = _event_end(rest)
        return EventSplitter(rest), events


def _event_end(body: bytes) -> int:
    """Return the length of the first event, or 0 if none is complete."""
    ends = [body.find(mark) + len(mark) for mark in _EVENT_ENDS if mark in body]
    return min(ends, default=0)


def _number(content: bytes) -> int | None:
    for line in content.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
