"""Tests of what is known of the capacity of a group."""

from datetime import timedelta

from linnetwind.admission.group_capacity import GroupCapacity, apply_summary
from linnetwind.peers.peer_table import GroupSummary

SECOND = timedelta(seconds=1)


def _apply(group, at_s, skew, epoch):
    summary = GroupSummary(
        'model',
        'g',
        epoch,
        is_open=True,
        skew=skew,
        opens_in_ms=0,
        members=(),
    )
    apply_summary(group, summary, at_s * SECOND)


def test_the_initial_map_of_a_group_that_opened_again_is_not_expected_again():
    # Guards against a limit far too low, as long after a break as the group had
    # run before it: the skew of the initial map seemed to come regularly.
    group = GroupCapacity()
    for epoch, opened_s in ((1, 0), (2, 20)):
        _apply(group, opened_s, 1, epoch)
        _apply(group, opened_s + 1, 13, epoch)
        _apply(group, opened_s + 2, 1.2, epoch)
    for at_s in range(22, 60):
        assert group.skews.expected(at_s * SECOND) == 1.2


def test_changes_of_the_demand_are_expected_after_a_break_too():
    group = GroupCapacity()
    _apply(group, 0, 1.2, 1)
    for shift_s in (10, 13, 16):
        _apply(group, shift_s, 3, 2)
        _apply(group, shift_s + 1, 1.2, 2)
    assert group.skews.expected(18 * SECOND) == 3
