"""Tests of splitting a stream into whole events."""

from hypothesis import given
from hypothesis import strategies as st

from linnetwind.event_stream import EventSplitter

EVENTS = [b'id: 1\ndata: a\n\n', b'id: 2\r\ndata: b\r\n\r\n', b'data: c\n\n']


@given(st.lists(st.integers(min_value=1, max_value=9), max_size=30))
def test_events_do_not_depend_on_how_the_body_is_chunked(sizes):
    body = b''.join(EVENTS)
    splitter = EventSplitter()
    collected = []
    for size in [*sizes, len(body)]:
        splitter, events = splitter.feed(body[:size])
        body = body[size:]
        collected.extend(events)
    assert [each.content for each in collected] == EVENTS
    assert [each.number for each in collected] == [1, 2, None]
    assert splitter.incomplete == b''


def test_an_incomplete_event_is_held_back():
    # An upstream stops in the middle of an event. If the first half were
    # relayed, the caller would see it joined to the retry's response.
    splitter, events = EventSplitter().feed(EVENTS[0] + b'id: 2\nda')
    assert [each.number for each in events] == [1]
    assert splitter.incomplete == b'id: 2\nda'


def test_a_non_numeric_id_is_none():
    _splitter, events = EventSplitter().feed(b'id: x\n\n')
    assert events[0].number is None
