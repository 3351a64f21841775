"""Tests of knowing that a group is broken as soon as a rank has crashed."""

import random
from datetime import timedelta

import pytest

from linnetwind.group_breaks import (
    USUAL_OUTAGE,
    GroupHealth,
    GroupWord,
    expected_opening,
    note_crash,
    take_word,
)

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
CRASH = 10 * SECOND
# What callers send a second in all, and what may reach a stalled group.
ARRIVALS_PER_S = 130
MOST_AFTER_NEWS = 10
# When everybody should know of a crash.
NEWS_WITHIN = 50 * MS
# Those that had a stream at the rank; the packets of each come one by one.
WITNESSES = 3


def _sound(at=timedelta(), epoch=1):
    return take_word(GroupHealth(), GroupWord(at, epoch, is_open=True))


def test_a_crash_closes_the_group_whatever_its_ranks_say():
    # The engines give up 1.5 s after the crash and say until then that the
    # group is open. Its planner looked just before; streams went on to it.
    health = note_crash(_sound(), CRASH)
    health = take_word(health, GroupWord(CRASH + 40 * MS, 1, is_open=True))
    opening = expected_opening(health, None, CRASH + 40 * MS)
    assert opening == USUAL_OUTAGE - 40 * MS


def test_a_group_that_formed_anew_is_open_at_once():
    health = note_crash(_sound(), CRASH)
    health = take_word(health, GroupWord(CRASH + 100 * MS, 2, is_open=True))
    assert expected_opening(health, None, CRASH + 100 * MS) is None


def test_one_gateway_that_lost_a_rank_does_not_close_a_sound_group_for_long():
    # A false alarm: the planner goes on to see all ranks and their passes.
    health = note_crash(_sound(), CRASH)
    for look in range(1, 8):
        word = GroupWord(CRASH + look * 100 * MS, 1, is_open=True)
        health = take_word(health, word)
    assert expected_opening(health, None, CRASH + 700 * MS) is None
    # Others repeat what they were told, for a while.
    health = note_crash(health, CRASH)
    assert expected_opening(health, None, CRASH + 800 * MS) is None
    assert health.outage == USUAL_OUTAGE


def test_a_crash_before_the_group_opened_is_no_news():
    health = take_word(_sound(), GroupWord(CRASH, 1, is_open=False))
    health = take_word(health, GroupWord(CRASH + SECOND, 2, is_open=True))
    assert note_crash(health, CRASH) == health


def test_the_planner_knows_better_when_its_group_opens():
    health = note_crash(_sound(), CRASH)
    assert expected_opening(health, 600 * MS, CRASH + SECOND) == 600 * MS
    assert expected_opening(health, -MS, CRASH + SECOND) == timedelta()


def test_the_next_outage_is_expected_to_last_as_long():
    health = note_crash(_sound(), CRASH)
    back = CRASH + 2 * SECOND
    health = take_word(health, GroupWord(back, 2, is_open=True))
    health = note_crash(health, back + SECOND)
    assert expected_opening(health, None, back + SECOND) == 2 * SECOND


def test_a_group_of_which_nobody_speaks_any_more_is_tried_again():
    health = note_crash(GroupHealth(), CRASH)
    assert expected_opening(health, None, CRASH + 5 * SECOND) == timedelta()
    assert expected_opening(health, None, CRASH + 11 * SECOND) is None


@pytest.mark.parametrize('gateways', [13, 46, 400])
@pytest.mark.parametrize('lost', [0, 0.025, 0.05])
def test_hardly_a_stream_goes_to_a_stalled_group(gateways, lost):
    # A rank crashes at 130 arrivals a second. Those gateways that had a stream
    # there tell all others at once; the others hear them, or the planner's
    # word half a second later. Before, all of 1.5 s went to the stalled ranks.
    chance = random.Random(gateways)
    knows_at = []
    for _gateway in range(gateways):
        packets = [chance.random() >= lost for _each in range(WITNESSES)]
        delay = 5 * MS if any(packets) else 500 * MS
        health = note_crash(_sound(), CRASH)
        closed = expected_opening(health, None, CRASH + delay) is not None
        knows_at.append(delay if closed else 1500 * MS)
    late = sum(
        max(each - NEWS_WITHIN, timedelta()) / SECOND for each in knows_at
    )
    assert late * ARRIVALS_PER_S / gateways < MOST_AFTER_NEWS


def test_a_group_that_its_planner_called_broken_is_open_at_its_word():
    # After a power loss the planner sees the ranks come, then the group form.
    # Callers that waited were kept from it for half a second more.
    health = take_word(GroupHealth(), GroupWord(CRASH, 0, is_open=False))
    opened = CRASH + 250 * MS
    health = take_word(health, GroupWord(opened, 1, is_open=True))
    assert expected_opening(health, None, opened) is None
