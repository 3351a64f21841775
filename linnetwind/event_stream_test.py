"""Tests of splitting a stream into whole events."""

from hypothesis import given
from hypothesis import strategies as st

from linnetwind.event_stream import EventSplitter

EVENTS = [b'id: 1\ndata: a\n\n', b'id: 2\r\ndata: b\r\n\r\n', b'data: c\n\n']


@given(st.lists(st.integers(min_value=1, max_value=9), max_size=30))
def test_events_are_the_same_however_the_body_is_cut(sizes):
    body = b''.join(EVENTS)
    splitter = EventSplitter()
    found = []
    for size in [*sizes, len(body)]:
        splitter, events = splitter.feed(body[:size])
        body = body[size:]
        found.extend(events)
    assert [each.content for each in found] == EVENTS
    assert [each.number for each in found] == [1, 2, None]
    assert splitter.rest == b''


def test_an_event_that_is_cut_stays_in_the_rest():
    # An upstream stops in the middle of an event. Passed on, its first half
    # would be joined with the answer of the next run.
    splitter, events = EventSplitter().feed(EVENTS[0] + b'id: 2\nda')
    assert [each.number for each in events] == [1]
    assert splitter.rest == b'id: 2\nda'


def test_an_id_that_is_no_number_is_none():
    _splitter, events = EventSplitter().feed(b'id: x\n\n')
    assert events[0].number is None
