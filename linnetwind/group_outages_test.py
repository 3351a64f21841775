"""Tests that a group counts as broken as soon as one of its ranks crashes."""

import random
from datetime import timedelta

import pytest

from linnetwind.group_outages import (
    DEFAULT_OUTAGE,
    GroupAnnouncement,
    GroupHealth,
    apply_announcement,
    record_crash,
    time_until_open,
)

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
CRASH = 10 * SECOND
# The streams that all callers send per second.
ARRIVALS_PER_S = 130
# How many streams may reach the stalled group after the deadline below.
MAX_LATE_STREAMS = 10
# When all gateways should know of a crash.
KNOWN_WITHIN = 50 * MS
# The gateways that had a stream at the rank. Each advertises the crash in a
# packet of its own.
WITNESSES = 3


def _healthy(at=timedelta(), epoch=1):
    return apply_announcement(
        GroupHealth(), GroupAnnouncement(at, epoch, is_open=True)
    )


def test_a_crash_closes_the_group_whatever_its_ranks_say():
    # The engines give up 1.5 s after the crash and report the group as open
    # until then. The planner's last poll is from before the crash, so its
    # announcement must not keep streams going to the group.
    health = record_crash(_healthy(), CRASH)
    health = apply_announcement(
        health, GroupAnnouncement(CRASH + 40 * MS, 1, is_open=True)
    )
    opening = time_until_open(health, None, CRASH + 40 * MS)
    assert opening == DEFAULT_OUTAGE - 40 * MS


def test_a_group_in_a_new_epoch_is_open_at_once():
    health = record_crash(_healthy(), CRASH)
    health = apply_announcement(
        health, GroupAnnouncement(CRASH + 100 * MS, 2, is_open=True)
    )
    assert time_until_open(health, None, CRASH + 100 * MS) is None


def test_a_false_alarm_of_one_gateway_closes_a_healthy_group_only_briefly():
    # One gateway cannot reach a rank and takes it for crashed. The planner
    # still sees all ranks and their passes.
    health = record_crash(_healthy(), CRASH)
    for poll in range(1, 8):
        announcement = GroupAnnouncement(
            CRASH + poll * 100 * MS, 1, is_open=True
        )
        health = apply_announcement(health, announcement)
    assert time_until_open(health, None, CRASH + 700 * MS) is None
    # Peers repeat the advertisement of the crash for a while.
    health = record_crash(health, CRASH)
    assert time_until_open(health, None, CRASH + 800 * MS) is None
    assert health.outage == DEFAULT_OUTAGE


def test_a_crash_before_the_group_opened_is_ignored():
    health = apply_announcement(
        _healthy(), GroupAnnouncement(CRASH, 1, is_open=False)
    )
    health = apply_announcement(
        health, GroupAnnouncement(CRASH + SECOND, 2, is_open=True)
    )
    assert record_crash(health, CRASH) == health


def test_the_estimate_of_the_planner_takes_precedence():
    health = record_crash(_healthy(), CRASH)
    assert time_until_open(health, 600 * MS, CRASH + SECOND) == 600 * MS
    assert time_until_open(health, -MS, CRASH + SECOND) == timedelta()


def test_the_next_outage_is_expected_to_last_as_long():
    health = record_crash(_healthy(), CRASH)
    reopened = CRASH + 2 * SECOND
    health = apply_announcement(
        health, GroupAnnouncement(reopened, 2, is_open=True)
    )
    health = record_crash(health, reopened + SECOND)
    assert time_until_open(health, None, reopened + SECOND) == 2 * SECOND


def test_a_group_that_no_planner_announces_is_tried_again():
    health = record_crash(GroupHealth(), CRASH)
    assert time_until_open(health, None, CRASH + 5 * SECOND) == timedelta()
    assert time_until_open(health, None, CRASH + 11 * SECOND) is None


@pytest.mark.parametrize('gateways', [13, 46, 400])
@pytest.mark.parametrize('loss', [0, 0.025, 0.05])
def test_few_streams_reach_a_stalled_group(gateways, loss):
    # A rank crashes while 130 streams arrive per second. The gateways that had
    # a stream there advertise the crash at once. A gateway that receives none
    # of these packets learns of it from the planner half a second later.
    # Without this, the streams of 1.5 s went to the stalled ranks.
    chance = random.Random(gateways)
    delays = []
    for _gateway in range(gateways):
        received = [chance.random() >= loss for _witness in range(WITNESSES)]
        delay = 5 * MS if any(received) else 500 * MS
        health = record_crash(_healthy(), CRASH)
        closed = time_until_open(health, None, CRASH + delay) is not None
        delays.append(delay if closed else 1500 * MS)
    late_seconds = sum(
        max(known_after - KNOWN_WITHIN, timedelta()) / SECOND
        for known_after in delays
    )
    assert late_seconds * ARRIVALS_PER_S / gateways < MAX_LATE_STREAMS


def test_a_group_that_was_announced_as_broken_opens_when_announced():
    # After a power loss the planner sees the ranks start and then the group
    # form. The confirmation delay after a crash must not apply here, or waiting
    # callers would be held back for another half a second.
    health = apply_announcement(
        GroupHealth(), GroupAnnouncement(CRASH, 0, is_open=False)
    )
    opened = CRASH + 250 * MS
    health = apply_announcement(
        health, GroupAnnouncement(opened, 1, is_open=True)
    )
    assert time_until_open(health, None, opened) is None
