"""Tests of assembling responses: every order and loss of frames."""

import itertools

import pytest

from linnetwind.messages import Chunk, End, Head, Lost, Refused
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.response_assembler import (
    Body,
    Failed,
    Finished,
    LinkLost,
    Opened,
    ResponseAssembler,
)

FRAMES = (
    Head('c', 200, ()),
    Chunk('c', 0, b'a'),
    Chunk('c', 1, b'b'),
    End('c', 2),
)


def feed(frames):
    assembler = ResponseAssembler()
    return [step for frame in frames for step in assembler.accept(frame)]


@pytest.mark.parametrize('order', list(itertools.permutations(range(4))))
def test_frame_order_does_not_change_the_response(order):
    steps = feed(FRAMES[index] for index in order)
    assert steps == [Opened(200, ()), Body(b'a'), Body(b'b'), Finished()]


def test_duplicate_frames_are_relayed_once():
    steps = feed(frame for frame in FRAMES for _copy in range(2))
    assert steps == [Opened(200, ()), Body(b'a'), Body(b'b'), Finished()]


@pytest.mark.parametrize('cut', range(4))
def test_a_link_lost_at_any_point_never_completes_the_response(cut):
    steps = feed((*FRAMES[:cut], LinkLost()))
    assert steps[-1] == Failed(Unknown(Reason.CONNECTION_LOST))
    assert Finished() not in steps


def test_a_missing_chunk_keeps_the_response_open():
    steps = feed((FRAMES[0], FRAMES[2], FRAMES[3]))
    assert steps == [Opened(200, ())]


def test_a_refusal_means_not_run():
    (step,) = feed((Refused('c', Reason.OVERLOADED, 250),))
    assert isinstance(step.outcome, NotRun)


def test_a_refusal_after_the_head_does_not_mean_not_run():
    steps = feed((FRAMES[0], Refused('c', Reason.OVERLOADED, 250)))
    assert steps[-1] == Failed(Unknown(Reason.INTERNAL))


def test_frames_after_the_end_are_ignored():
    steps = feed((*FRAMES, Lost('c', Reason.INTERNAL), Chunk('c', 2, b'x')))
    assert steps[-1] == Finished()
