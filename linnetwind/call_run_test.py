"""Tests of following a call: what is said of it when its link breaks."""

import queue
import threading
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.answer import LinkLost
from linnetwind.call_run import (
    MAX_BUFFERED_BYTES,
    BrokenAnswer,
    InFlightCall,
    OpenAnswer,
    SentCall,
)
from linnetwind.clock import ManualClock
from linnetwind.fleet import Fleet
from linnetwind.link import CallStream
from linnetwind.messages import (
    Cancel,
    Challenge,
    Chunk,
    End,
    Fate,
    Head,
    Lost,
    Refused,
)
from linnetwind.outcome import NotRun, Reason, Unknown


def peer(incarnation):
    return Challenge(1, 'side', incarnation, b'', b'', 0)


@dataclass
class FakeLink:
    """A link that answers questions about fates from a field."""

    incarnation: str = 'life'
    fate: Fate | None = None
    posted: list = field(default_factory=list)

    @property
    def peer(self):
        return peer(self.incarnation)

    def ask_fate(self, _call_id, _timeout):
        return self.fate

    def post(self, message):
        self.posted.append(message)

    def forget(self, call_id):
        """Nothing is kept."""


@dataclass
class FakePool:
    """Gives the same new link to everybody."""

    link: FakeLink | None
    lock: object = field(default_factory=threading.RLock)

    def fresh_link_to(self, _upstream):
        return self.link


def run_of(*frames, fresh=None, streamed=False):
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    stream = CallStream('c', queue.SimpleQueue())
    for frame in frames:
        stream.frames.put(frame)
    link = FakeLink()
    place = SentCall('up', link, stream, timedelta(seconds=0.01))
    fleet = Fleet(clock)
    fleet.call_sent('up', ())
    return InFlightCall(place, fleet, FakePool(fresh), clock, streamed=streamed)


FATES = [
    # the new link, what is told
    (None, Unknown),
    (FakeLink('life', Fate('c', started=False)), NotRun),
    (FakeLink('life', Fate('c', started=True)), Unknown),
    (FakeLink('life', None), Unknown),
    (FakeLink('another life', Fate('c', started=False)), Unknown),
]


@pytest.mark.parametrize('index', range(len(FATES)))
@pytest.mark.parametrize('frames', [(LinkLost(),), ()])
def test_only_the_same_process_can_say_that_it_did_not_run(index, frames):
    # The link breaks, or the deadline passes, before any answer. A side
    # that was restarted knows nothing of the call, so its "not started"
    # must not count.
    fresh, told = FATES[index]
    assert type(run_of(*frames, fresh=fresh).open()) is told


def test_whole_answer_is_opened():
    run = run_of(Head('c', 201, ()), Chunk('c', 0, b'ok'), End('c', 1))
    opened = run.open()
    assert (opened.status, list(opened.body)) == (201, [b'ok'])


def test_small_answer_that_breaks_is_never_opened():
    run = run_of(
        Head('c', 200, ()),
        Chunk('c', 0, b'half'),
        Lost('c', Reason.INCOMPLETE_ANSWER),
    )
    assert run.open() == Unknown(Reason.INCOMPLETE_ANSWER)


@pytest.mark.parametrize(
    ('streamed', 'size'), [(True, 1), (False, MAX_BUFFERED_BYTES)]
)
def test_open_answer_that_breaks_raises(streamed, size):
    run = run_of(
        Head('c', 200, ()),
        Chunk('c', 0, b'x' * size),
        Lost('c', Reason.INCOMPLETE_ANSWER),
        streamed=streamed,
    )
    opened = run.open()
    assert isinstance(opened, OpenAnswer)
    with pytest.raises(BrokenAnswer):
        list(opened.body)


def test_refusal_keeps_its_reason_and_time():
    refused = run_of(Refused('c', Reason.OVERLOADED, 250)).open()
    assert refused == NotRun(Reason.OVERLOADED, timedelta(milliseconds=250))


def test_caller_that_goes_away_cancels_the_call():
    run = run_of(Head('c', 200, ()), Chunk('c', 0, b'x'), streamed=True)
    opened = run.open()
    next(opened.body)
    opened.body.close()
    assert run._place.link.posted == [Cancel('c')]
