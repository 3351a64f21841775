"""Tests of following a call, including its outcome when its link is lost."""

import queue
import threading
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.fleet import Fleet
from linnetwind.in_flight_call import (
    MAX_BUFFERED_BYTES,
    InFlightCall,
    InterruptedResponse,
    OpenResponse,
    SentCall,
)
from linnetwind.link import CallStream
from linnetwind.messages import (
    CallStatus,
    Cancel,
    Challenge,
    Chunk,
    End,
    Head,
    Lost,
    Refused,
)
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.response_assembler import LinkLost


def peer(incarnation):
    return Challenge(1, 'side', incarnation, b'', b'', 0)


@dataclass
class FakeLink:
    """A link that returns the call status in its `fate` field."""

    incarnation: str = 'first process'
    fate: CallStatus | None = None
    posted: list = field(default_factory=list)

    @property
    def peer(self):
        return peer(self.incarnation)

    def query_call_status(self, _call_id, _timeout):
        return self.fate

    def post(self, message):
        self.posted.append(message)

    def discard_call(self, call_id):
        """Do nothing; no frames are buffered."""


@dataclass
class FakePool:
    """Returns the same new link for every upstream."""

    link: FakeLink | None
    lock: object = field(default_factory=threading.RLock)

    def fresh_link_to(self, _upstream):
        return self.link


def run_of(*frames, new_link=None, streamed=False):
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    stream = CallStream('c', queue.SimpleQueue())
    for frame in frames:
        stream.frames.put(frame)
    link = FakeLink()
    sent_call = SentCall('up', link, stream, timedelta(seconds=0.01))
    fleet = Fleet(clock)
    fleet.record_call_sent('up', ())
    return InFlightCall(
        sent_call, fleet, FakePool(new_link), clock, streamed=streamed
    )


CALL_STATUS_CASES = [
    # the new link, the type of the outcome
    (None, Unknown),
    (FakeLink('first process', CallStatus('c', started=False)), NotRun),
    (FakeLink('first process', CallStatus('c', started=True)), Unknown),
    (FakeLink('first process', None), Unknown),
    (FakeLink('restarted process', CallStatus('c', started=False)), Unknown),
]


@pytest.mark.parametrize('index', range(len(CALL_STATUS_CASES)))
@pytest.mark.parametrize('frames', [(LinkLost(),), ()])
def test_only_the_same_process_can_confirm_not_run(index, frames):
    # The link is lost, or the deadline passes, before any response. A side
    # daemon that was restarted since then has no record of the call, so its
    # "not started" must not count.
    new_link, expected = CALL_STATUS_CASES[index]
    assert type(run_of(*frames, new_link=new_link).open()) is expected


def test_a_complete_response_is_opened():
    run = run_of(Head('c', 201, ()), Chunk('c', 0, b'ok'), End('c', 1))
    opened = run.open()
    assert (opened.status, list(opened.body)) == (201, [b'ok'])


def test_a_small_response_that_breaks_off_is_not_opened():
    run = run_of(
        Head('c', 200, ()),
        Chunk('c', 0, b'half'),
        Lost('c', Reason.INCOMPLETE_ANSWER),
    )
    assert run.open() == Unknown(Reason.INCOMPLETE_ANSWER)


@pytest.mark.parametrize(
    ('streamed', 'size'), [(True, 1), (False, MAX_BUFFERED_BYTES)]
)
def test_an_open_response_that_breaks_off_raises(streamed, size):
    run = run_of(
        Head('c', 200, ()),
        Chunk('c', 0, b'x' * size),
        Lost('c', Reason.INCOMPLETE_ANSWER),
        streamed=streamed,
    )
    opened = run.open()
    assert isinstance(opened, OpenResponse)
    with pytest.raises(InterruptedResponse):
        list(opened.body)


def test_a_refusal_keeps_its_reason_and_retry_time():
    refused = run_of(Refused('c', Reason.OVERLOADED, 250)).open()
    assert refused == NotRun(Reason.OVERLOADED, timedelta(milliseconds=250))


def test_a_caller_that_disconnects_cancels_the_call():
    run = run_of(Head('c', 200, ()), Chunk('c', 0, b'x'), streamed=True)
    opened = run.open()
    next(opened.body)
    opened.body.close()
    assert run._sent_call.link.posted == [Cancel('c')]
