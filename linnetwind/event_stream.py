"""Splits the body of a stream into whole events.

An upstream may stop in the middle of an event. The gateway relays only whole
events, so that a retry can resume after the last of them. Otherwise part of
an event could be lost, duplicated or mixed from two attempts.
"""

from dataclasses import dataclass, field

_ID_FIELD = b'id:'
_EVENT_ENDS = (b'\n\n', b'\r\n\r\n')


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event, unchanged; `number` is its id, None if not numeric."""

    content: bytes
    number: int | None


@dataclass(frozen=True, slots=True)
class EventSplitter:
    """Splits a body into events; holds the bytes of an incomplete event."""

    incomplete: bytes = field(default=b'')

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
        events = []
        incomplete = self.incomplete + received
        end = _event_end(incomplete)
        while end:
            content = incomplete[:end]
            events.append(StreamEvent(content, _event_id(content)))
            incomplete = incomplete[end:]
            end = _event_end(incomplete)
        return EventSplitter(incomplete), events


def _event_end(body: bytes) -> int:
    """Return the length of the first event, or 0 if none is complete."""
    ends = [body.find(mark) + len(mark) for mark in _EVENT_ENDS if mark in body]
    return min(ends, default=0)


def _event_id(content: bytes) -> int | None:
    for line in content.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
