"""Tests of at-most-once execution with two sides and a failing log."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.call_admission import CallAdmission
from linnetwind.claims import CLAIMS_CODEC, Claim, SlotTakeover, slot_stream
from linnetwind.clock import ManualClock
from linnetwind.keyed_calls import MAX_STORED_BODY_BYTES, KeyedCalls
from linnetwind.messages import Call, Chunk, End, Head, Lost, Refused
from linnetwind.outcome import Reason
from linnetwind.side_calls import UpstreamCalls
from standins.fakes import FakeLog, HeldExecutor, InlineExecutor

STREAM = slot_stream('codes', 3)


class FakeUpstream:
    """Records the keys of the calls that it runs."""

    def __init__(self):
        self.ran = []
        self.body = b'paired'
        self.lose_response = False
        self.refuse_calls = False

    def start_run(self, _address, call):
        return FakeRun(self, call)


@dataclass
class FakeRun:
    upstream: FakeUpstream
    call: Call

    def answers(self):
        call_id = self.call.call_id
        if self.upstream.refuse_calls:
            yield Refused(call_id, Reason.UPSTREAM_REFUSED, 10)
            return
        self.upstream.ran.append(self.call.key)
        if self.upstream.lose_response:
            yield Lost(call_id, Reason.INCOMPLETE_ANSWER)
            return
        yield Head(call_id, 201, ())
        yield Chunk(call_id, 0, self.upstream.body)
        yield End(call_id, 1)

    def cancel(self):
        """Fail: calls that are not repeatable are never cancelled."""
        raise AssertionError


@dataclass
class Side:
    """The parts of a side daemon that handle keyed calls, without sockets."""

    log: FakeLog
    upstream: FakeUpstream
    name: str
    clock: ManualClock
    executor: object = field(default_factory=InlineExecutor)
    calls_executor: object = field(default_factory=InlineExecutor)

    def __post_init__(self):
        self.keyed = KeyedCalls(self.log, self.name, self.executor, self.clock)
        self.calls = UpstreamCalls(
            Address('127.0.0.1', 1),
            CallAdmission(4, self.clock),
            self.calls_executor,
            self.clock,
        )

    def send_call(self, key, number=0, fingerprint=b'f', gone=False):
        """Submit a call and return the frames of the response so far."""
        frames = []

        def send(frame):
            frames.append(frame)
            return not gone

        call = Call(
            f'{self.name}:{key!r}:{number}',
            'r',
            'codes-01',
            'POST',
            '/p',
            (),
            b'',
            'c',
            5,
            1000,
            False,
            False,
            'codes',
            3,
            key,
            fingerprint,
        )
        self.keyed.handle(call, send, self.calls)
        return frames


@pytest.fixture
def doubles(monkeypatch):
    upstream = FakeUpstream()
    monkeypatch.setattr(
        'linnetwind.side_calls.UpstreamHttpCall', upstream.start_run
    )
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    log = FakeLog()
    return upstream, log, clock


def make_side(doubles, name, **executors):
    upstream, log, clock = doubles
    return Side(log, upstream, name, clock, **executors)


def is_complete_response(frames):
    return [type(frame) for frame in frames] == [Head, Chunk, End]


def test_retry_gets_the_same_response_without_a_second_run(doubles):
    first = make_side(doubles, 'a')
    assert is_complete_response(first.send_call(b'k'))
    frames = first.send_call(b'k', 1)
    assert is_complete_response(frames)
    assert frames[1].body == b'paired'
    assert doubles[0].ran == [b'k']


def test_key_used_for_another_request_is_refused(doubles):
    first = make_side(doubles, 'a')
    first.send_call(b'k')
    frames = first.send_call(b'k', 1, fingerprint=b'other')
    assert frames[0].reason is Reason.KEY_REUSED
    assert doubles[0].ran == [b'k']


def test_new_owner_replays_the_stored_response(doubles):
    # The caller retries through another entry daemon, which sees another
    # set of live upstreams and therefore sends the call to side b.
    first, second = make_side(doubles, 'a'), make_side(doubles, 'b')
    first.send_call(b'k')
    first.keyed.flush()
    frames = second.send_call(b'k')
    assert is_complete_response(frames)
    assert doubles[0].ran == [b'k']


def test_new_owner_never_runs_a_call_that_the_old_owner_claimed(doubles):
    # Side a claims the key and crashes while the call runs: the log has the
    # claim but no outcome. Side b takes over the slot.
    first, second = (
        make_side(doubles, 'a', calls_executor=HeldExecutor()),
        make_side(doubles, 'b'),
    )
    assert first.send_call(b'k') == []
    frames = second.send_call(b'k')
    assert frames == [Lost('b:' + repr(b'k') + ':0', Reason.RAN_BEFORE)]
    assert doubles[0].ran == []


def test_claim_of_a_paused_owner_is_void_after_a_takeover(doubles):
    # Side a owns the slot and is paused just before its append reaches the
    # log. Side b takes over and runs the call. When a resumes, its claim is
    # appended after b's takeover, so a must not run the call.
    first, second = make_side(doubles, 'a'), make_side(doubles, 'b')
    first.send_call(b'other')
    frames_from_second = []
    doubles[1].before_append = lambda: frames_from_second.extend(
        second.send_call(b'k')
    )
    frames = first.send_call(b'k', 1)
    assert is_complete_response(frames_from_second)
    assert frames[0].reason is Reason.STALE_OWNER
    assert doubles[0].ran.count(b'k') == 1


def test_paused_owner_with_a_valid_claim_is_the_only_one_to_run(doubles):
    # The claim of side a is in the log before b takes over, and a is paused
    # before it sends the call to the upstream. The retry at b gets "may have
    # run", and the late run of a is the only one.
    held_executor = HeldExecutor()
    first, second = (
        make_side(doubles, 'a', calls_executor=held_executor),
        make_side(doubles, 'b'),
    )
    first.send_call(b'k')
    assert isinstance(second.send_call(b'k')[0], Lost)
    held_executor.run_all()
    assert doubles[0].ran == [b'k']
    # The outcome still reaches the log and serves the next retry.
    first.keyed.flush()
    assert is_complete_response(second.send_call(b'k', 1)) or doubles[
        0
    ].ran == [b'k']


def test_lost_append_reply_refuses_and_frees_the_key(doubles):
    # The claim is appended, but the reply of the log service is lost. The
    # call is refused as not run. The caller retries, and it runs once.
    first = make_side(doubles, 'a')
    first.send_call(b'other')
    doubles[1].lose_replies = 1
    frames = first.send_call(b'k')
    assert frames[0].reason is Reason.LOG_UNAVAILABLE
    doubles[2].advance(timedelta(seconds=1))
    assert is_complete_response(first.send_call(b'k', 1))
    assert is_complete_response(first.send_call(b'k', 2))
    assert doubles[0].ran.count(b'k') == 1


def test_lost_append_reply_does_not_block_the_key_at_the_next_owner(doubles):
    first, second = make_side(doubles, 'a'), make_side(doubles, 'b')
    first.send_call(b'other')
    doubles[1].lose_replies = 1
    first.send_call(b'k')
    doubles[2].advance(timedelta(seconds=1))
    first.keyed.flush()
    assert is_complete_response(second.send_call(b'k'))
    assert doubles[0].ran.count(b'k') == 1


def test_takeover_whose_append_reply_was_lost_is_found_in_the_log(doubles):
    first = make_side(doubles, 'a')
    doubles[1].lose_replies = 1
    assert first.send_call(b'k')[0].reason is Reason.LOG_UNAVAILABLE
    doubles[2].advance(timedelta(seconds=1))
    assert is_complete_response(first.send_call(b'k', 1))
    owns = [
        record
        for frame in doubles[1].streams[STREAM]
        if isinstance(
            record := CLAIMS_CODEC.decode(frame).unwrap(), SlotTakeover
        )
    ]
    assert len(owns) == 1


def test_log_outage_refuses_new_keys_at_once(doubles):
    # While the log is unavailable, another side may have claimed the key, so
    # calls with new keys are refused as not run; only the first of them
    # tries to append to the log.
    first = make_side(doubles, 'a')
    first.send_call(b'old')
    doubles[1].down = True
    frames = first.send_call(b'new')
    assert frames == [Refused("a:b'new':0", Reason.LOG_UNAVAILABLE, 1000)]
    appends = doubles[1].appends
    assert first.send_call(b'new', 1)[0].reason is Reason.LOG_UNAVAILABLE
    assert doubles[1].appends == appends
    assert doubles[0].ran == [b'old']
    doubles[1].down = False
    doubles[2].advance(timedelta(seconds=1))
    assert is_complete_response(first.send_call(b'new', 2))
    assert doubles[0].ran == [b'old', b'new']


def test_outcome_is_logged_after_a_log_outage(doubles):
    first, second = make_side(doubles, 'a'), make_side(doubles, 'b')
    held_executor = HeldExecutor()
    first.calls._executor = held_executor  # the call is still running
    first.send_call(b'k')
    doubles[1].down = True
    held_executor.run_all()
    first.keyed.flush()
    doubles[1].down = False
    first.keyed.flush()
    assert is_complete_response(second.send_call(b'k'))
    assert doubles[0].ran == [b'k']


def test_call_whose_response_was_lost_is_never_run_again(doubles):
    first = make_side(doubles, 'a')
    doubles[0].lose_response = True
    assert isinstance(first.send_call(b'k')[-1], Lost)
    doubles[0].lose_response = False
    assert first.send_call(b'k', 1) == [Lost("a:b'k':1", Reason.RAN_BEFORE)]
    assert doubles[0].ran == [b'k']


def test_call_that_its_upstream_refused_may_run_later(doubles):
    # The connection to the upstream could not be opened, so nothing ran.
    first = make_side(doubles, 'a')
    doubles[0].refuse_calls = True
    assert first.send_call(b'k')[0].reason is Reason.UPSTREAM_REFUSED
    doubles[0].refuse_calls = False
    assert is_complete_response(first.send_call(b'k', 1))
    assert doubles[0].ran == [b'k']


def test_refused_calls_leave_no_state_behind(doubles):
    # An overloaded upstream refuses many keyed calls. Once the withdrawals
    # of their claims are in the log, no state of them remains in memory.
    first = make_side(doubles, 'a')
    doubles[0].refuse_calls = True
    for number in range(50):
        first.send_call(bytes([number]))
    first.keyed.flush()
    (slot,) = first.keyed._slots.values()
    assert (slot.abandoned, slot.unlogged, slot.running) == (set(), [], {})


def test_retry_during_the_run_waits_for_the_same_response(doubles):
    held_executor = HeldExecutor()
    first = make_side(doubles, 'a', calls_executor=held_executor)
    first_frames, retry_frames = first.send_call(b'k'), first.send_call(b'k', 1)
    assert (first_frames, retry_frames) == ([], [])
    held_executor.run_all()
    assert is_complete_response(first_frames)
    assert is_complete_response(retry_frames)
    assert doubles[0].ran == [b'k']


def test_disconnected_caller_does_not_stop_the_run(doubles):
    first = make_side(doubles, 'a')
    first.send_call(b'k', gone=True)
    assert is_complete_response(first.send_call(b'k', 1))
    assert doubles[0].ran == [b'k']


def test_response_too_large_to_store_is_not_replayed(doubles):
    first = make_side(doubles, 'a')
    doubles[0].body = b'x' * (MAX_STORED_BODY_BYTES + 1)
    assert is_complete_response(first.send_call(b'k'))
    assert first.send_call(b'k', 1) == [Lost("a:b'k':1", Reason.RAN_BEFORE)]


def test_concurrent_takeover_by_two_sides_runs_the_call_once(doubles):
    # Both sides read the same epoch and append a takeover. The second in
    # the order of offsets is void, and its side refuses the call.
    first, second = make_side(doubles, 'a'), make_side(doubles, 'b')
    frames_from_second = []
    doubles[1].before_append = lambda: frames_from_second.extend(
        second.send_call(b'k')
    )
    frames = first.send_call(b'k')
    assert is_complete_response(frames_from_second)
    assert isinstance(frames[0], Refused)
    assert doubles[0].ran == [b'k']


def test_restarted_side_reads_its_keys_from_the_log(doubles):
    first = make_side(doubles, 'a')
    first.send_call(b'k')
    first.keyed.flush()
    restarted = make_side(doubles, 'a2')
    assert is_complete_response(restarted.send_call(b'k'))
    assert doubles[0].ran == [b'k']


def test_every_claim_is_logged_before_its_run(doubles, monkeypatch):
    upstream, log, _clock = doubles
    claim_was_logged = []
    first = make_side(doubles, 'a')
    start_run = upstream.start_run

    def spy(address, call):
        records = [
            CLAIMS_CODEC.decode(each).unwrap() for each in log.streams[STREAM]
        ]
        claim_was_logged.append(
            any(
                isinstance(each, Claim) and each.key == call.key
                for each in records
            )
        )
        return start_run(address, call)

    monkeypatch.setattr('linnetwind.side_calls.UpstreamHttpCall', spy)
    for number in range(3):
        first.send_call(bytes([number]))
    assert claim_was_logged == [True, True, True]
