"""At most once: two sides, one log, and everything that may go wrong."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.claims import CLAIMS_CODEC, Claim, Own, stream_of
from linnetwind.clock import ManualClock
from linnetwind.gate import Gate
from linnetwind.keyed_calls import LARGEST_STORED_BODY, KeyedCalls
from linnetwind.messages import Call, Chunk, End, Head, Lost, Refused
from linnetwind.outcome import Reason
from linnetwind.side_calls import UpstreamCalls
from standins.fakes import FakeLog, HeldExecutor, InlineExecutor

STREAM = stream_of('codes', 3)


class FakeUpstream:
    """Counts what it runs; `answer` makes the frames of each call."""

    def __init__(self):
        self.ran = []
        self.body = b'paired'
        self.lose_answer = False
        self.refuse = False

    def run_of(self, _address, call):
        return FakeRun(self, call)


@dataclass
class FakeRun:
    upstream: FakeUpstream
    call: Call

    def answers(self):
        call_id = self.call.call_id
        if self.upstream.refuse:
            yield Refused(call_id, Reason.UPSTREAM_REFUSED, 10)
            return
        self.upstream.ran.append(self.call.key)
        if self.upstream.lose_answer:
            yield Lost(call_id, Reason.INCOMPLETE_ANSWER)
            return
        yield Head(call_id, 201, ())
        yield Chunk(call_id, 0, self.upstream.body)
        yield End(call_id, 1)

    def cancel(self):
        """Never called for calls that may not be repeated."""
        raise AssertionError


@dataclass
class Side:
    """A side daemon's part in this, without its sockets."""

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
            Gate(4, self.clock),
            self.calls_executor,
            self.clock,
        )

    def ask(self, key, number=0, fingerprint=b'f', gone=False):
        """Send a call; returns the frames that came back so far."""
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
def world(monkeypatch):
    upstream = FakeUpstream()
    monkeypatch.setattr('linnetwind.side_calls.UpstreamRun', upstream.run_of)
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    log = FakeLog()
    return upstream, log, clock


def side(world, name, **executors):
    upstream, log, clock = world
    return Side(log, upstream, name, clock, **executors)


def answered(frames):
    return [type(frame) for frame in frames] == [Head, Chunk, End]


def test_repeat_gets_the_same_answer_without_a_second_run(world):
    first = side(world, 'a')
    assert answered(first.ask(b'k'))
    frames = first.ask(b'k', 1)
    assert answered(frames)
    assert frames[1].body == b'paired'
    assert world[0].ran == [b'k']


def test_key_used_for_another_request_is_refused(world):
    first = side(world, 'a')
    first.ask(b'k')
    frames = first.ask(b'k', 1, fingerprint=b'other')
    assert frames[0].reason is Reason.KEY_REUSED
    assert world[0].ran == [b'k']


def test_new_owner_replays_the_stored_answer(world):
    # The caller repeats through another entry daemon, which sees another
    # set of live upstreams and so sends the call to side b.
    first, second = side(world, 'a'), side(world, 'b')
    first.ask(b'k')
    first.keyed.flush()
    frames = second.ask(b'k')
    assert answered(frames)
    assert world[0].ran == [b'k']


def test_new_owner_never_runs_what_the_old_one_may_have_run(world):
    # Side a claims the key and dies while the call runs: the log has the
    # claim and no outcome. Side b takes the slot over.
    first, second = (
        side(world, 'a', calls_executor=HeldExecutor()),
        side(world, 'b'),
    )
    assert first.ask(b'k') == []
    frames = second.ask(b'k')
    assert frames == [Lost('b:' + repr(b'k') + ':0', Reason.RAN_BEFORE)]
    assert world[0].ran == []


def test_paused_owner_that_wakes_finds_its_claim_void(world):
    # Side a owns the slot. It is stopped just before its append reaches the
    # log; side b takes over and runs the key. When a wakes its claim is
    # stored, but behind b's ownership, so a must not run the call.
    first, second = side(world, 'a'), side(world, 'b')
    first.ask(b'other')
    later = []
    world[1].before_append = lambda: later.extend(second.ask(b'k'))
    frames = first.ask(b'k', 1)
    assert answered(later)
    assert frames[0].reason is Reason.STALE_OWNER
    assert world[0].ran.count(b'k') == 1


def test_paused_owner_with_a_standing_claim_runs_late_and_alone(world):
    # Side a's claim stands in the log before b takes over; a is stopped
    # before it hands the call to the upstream. The repeat at b gets "may
    # have run", and a's late run is the only one.
    held = HeldExecutor()
    first, second = side(world, 'a', calls_executor=held), side(world, 'b')
    first.ask(b'k')
    assert isinstance(second.ask(b'k')[0], Lost)
    held.run_all()
    assert world[0].ran == [b'k']
    # Its outcome still reaches the log and serves the next repeat.
    first.keyed.flush()
    assert answered(second.ask(b'k', 1)) or world[0].ran == [b'k']


def test_lost_append_reply_refuses_and_frees_the_key(world):
    # The claim is stored but its reply is lost. The call is refused as not
    # run. The caller comes back, and it runs exactly once.
    first = side(world, 'a')
    first.ask(b'other')
    world[1].lose_replies = 1
    frames = first.ask(b'k')
    assert frames[0].reason is Reason.LOG_UNAVAILABLE
    world[2].advance(timedelta(seconds=1))
    assert answered(first.ask(b'k', 1))
    assert answered(first.ask(b'k', 2))
    assert world[0].ran.count(b'k') == 1


def test_lost_append_reply_does_not_block_the_key_at_the_next_owner(world):
    first, second = side(world, 'a'), side(world, 'b')
    first.ask(b'other')
    world[1].lose_replies = 1
    first.ask(b'k')
    world[2].advance(timedelta(seconds=1))
    first.keyed.flush()
    assert answered(second.ask(b'k'))
    assert world[0].ran.count(b'k') == 1


def test_lost_reply_to_taking_the_slot_is_found_out_by_reading(world):
    first = side(world, 'a')
    world[1].lose_replies = 1
    assert first.ask(b'k')[0].reason is Reason.LOG_UNAVAILABLE
    world[2].advance(timedelta(seconds=1))
    assert answered(first.ask(b'k', 1))
    owns = [
        record
        for frame in world[1].streams[STREAM]
        if isinstance(record := CLAIMS_CODEC.decode(frame).unwrap(), Own)
    ]
    assert len(owns) == 1


def test_log_outage_refuses_new_keys_at_once_and_replays_old_ones(world):
    # While the log is out another side could have claimed the key, so a new
    # key is refused as not run; only the first refusal meets the log.
    first = side(world, 'a')
    first.ask(b'old')
    world[1].down = True
    frames = first.ask(b'new')
    assert frames == [Refused("a:b'new':0", Reason.LOG_UNAVAILABLE, 1000)]
    appends = world[1].appends
    assert first.ask(b'new', 1)[0].reason is Reason.LOG_UNAVAILABLE
    assert world[1].appends == appends
    assert world[0].ran == [b'old']
    world[1].down = False
    world[2].advance(timedelta(seconds=1))
    assert answered(first.ask(b'new', 2))
    assert world[0].ran == [b'old', b'new']


def test_outcome_that_could_not_be_stored_is_stored_later(world):
    first, second = side(world, 'a'), side(world, 'b')
    held = HeldExecutor()
    first.calls._executor = held  # the call is still running
    first.ask(b'k')
    world[1].down = True
    held.run_all()
    first.keyed.flush()
    world[1].down = False
    first.keyed.flush()
    assert answered(second.ask(b'k'))
    assert world[0].ran == [b'k']


def test_lost_answer_is_never_run_again(world):
    first = side(world, 'a')
    world[0].lose_answer = True
    assert isinstance(first.ask(b'k')[-1], Lost)
    world[0].lose_answer = False
    assert first.ask(b'k', 1) == [Lost("a:b'k':1", Reason.RAN_BEFORE)]
    assert world[0].ran == [b'k']


def test_call_that_its_upstream_refused_may_run_later(world):
    # The connection to the upstream could not be opened, so nothing ran.
    first = side(world, 'a')
    world[0].refuse = True
    assert first.ask(b'k')[0].reason is Reason.UPSTREAM_REFUSED
    world[0].refuse = False
    assert answered(first.ask(b'k', 1))
    assert world[0].ran == [b'k']


def test_refusals_leave_nothing_behind(world):
    # An overloaded upstream refuses many keyed calls; once the claims are
    # taken back in the log nothing of them is kept.
    first = side(world, 'a')
    world[0].refuse = True
    for number in range(50):
        first.ask(bytes([number]))
    first.keyed.flush()
    (slot,) = first.keyed._slots.values()
    assert (slot.abandoned, slot.unsent, slot.running) == (set(), [], {})


def test_repeat_while_it_runs_waits_for_the_same_answer(world):
    held = HeldExecutor()
    first = side(world, 'a', calls_executor=held)
    one, two = first.ask(b'k'), first.ask(b'k', 1)
    assert (one, two) == ([], [])
    held.run_all()
    assert answered(one)
    assert answered(two)
    assert world[0].ran == [b'k']


def test_caller_that_goes_away_does_not_stop_the_run(world):
    first = side(world, 'a')
    first.ask(b'k', gone=True)
    assert answered(first.ask(b'k', 1))
    assert world[0].ran == [b'k']


def test_answer_too_large_to_keep_is_not_replayed(world):
    first = side(world, 'a')
    world[0].body = b'x' * (LARGEST_STORED_BODY + 1)
    assert answered(first.ask(b'k'))
    assert first.ask(b'k', 1) == [Lost("a:b'k':1", Reason.RAN_BEFORE)]


def test_two_sides_that_take_over_at_once(world):
    # Both read the same epoch; both append an ownership; the second in
    # offset order is void, and its side refuses.
    first, second = side(world, 'a'), side(world, 'b')
    later = []
    world[1].before_append = lambda: later.extend(second.ask(b'k'))
    frames = first.ask(b'k')
    assert answered(later)
    assert isinstance(frames[0], Refused)
    assert world[0].ran == [b'k']


def test_restarted_side_knows_its_keys_from_the_log(world):
    first = side(world, 'a')
    first.ask(b'k')
    first.keyed.flush()
    again = side(world, 'a2')
    assert answered(again.ask(b'k'))
    assert world[0].ran == [b'k']


def test_every_claim_is_written_before_its_run(world, monkeypatch):
    upstream, log, _clock = world
    seen = []
    first = side(world, 'a')
    run_of = upstream.run_of

    def spy(address, call):
        records = [
            CLAIMS_CODEC.decode(each).unwrap() for each in log.streams[STREAM]
        ]
        seen.append(
            any(
                isinstance(each, Claim) and each.key == call.key
                for each in records
            )
        )
        return run_of(address, call)

    monkeypatch.setattr('linnetwind.side_calls.UpstreamRun', spy)
    for number in range(3):
        first.ask(bytes([number]))
    assert seen == [True, True, True]
