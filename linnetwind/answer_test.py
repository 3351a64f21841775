"""Tests of putting answers together: every order and loss of frames."""

import itertools

import pytest

from linnetwind.answer import (
    Body,
    Failed,
    Finished,
    LinkLost,
    Opened,
    ResponseAssembler,
)
from linnetwind.messages import Chunk, End, Head, Lost, Refused
from linnetwind.outcome import NotRun, Reason, Unknown

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
def test_any_order_gives_the_same_answer(order):
    steps = feed(FRAMES[index] for index in order)
    assert steps == [Opened(200, ()), Body(b'a'), Body(b'b'), Finished()]


def test_doubled_frames_are_passed_on_once():
    steps = feed(frame for frame in FRAMES for _copy in range(2))
    assert steps == [Opened(200, ()), Body(b'a'), Body(b'b'), Finished()]


@pytest.mark.parametrize('cut', range(4))
def test_cut_at_any_point_is_never_a_whole_answer(cut):
    steps = feed((*FRAMES[:cut], LinkLost()))
    assert steps[-1] == Failed(Unknown(Reason.CONNECTION_LOST))
    assert Finished() not in steps


def test_missing_chunk_keeps_the_answer_open():
    steps = feed((FRAMES[0], FRAMES[2], FRAMES[3]))
    assert steps == [Opened(200, ())]


def test_refusal_is_not_run():
    (step,) = feed((Refused('c', Reason.OVERLOADED, 250),))
    assert isinstance(step.outcome, NotRun)


def test_refusal_after_the_answer_began_is_not_believed():
    steps = feed((FRAMES[0], Refused('c', Reason.OVERLOADED, 250)))
    assert steps[-1] == Failed(Unknown(Reason.INTERNAL))


def test_nothing_follows_the_end():
    steps = feed((*FRAMES, Lost('c', Reason.INTERNAL), Chunk('c', 2, b'x')))
    assert steps[-1] == Finished()
