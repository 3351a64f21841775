"""Tests of how often daemons read the store."""

from datetime import timedelta

import pytest

from linnetwind.store_pace import configuration_pace, upstreams_pace


@pytest.mark.parametrize('daemons', [1, 4, 8])
def test_few_daemons_read_as_often_as_one(daemons):
    assert upstreams_pace(daemons) == upstreams_pace(1)
    assert configuration_pace(daemons) == configuration_pace(1)


@pytest.mark.parametrize('daemons', [13, 16, 35, 100, 400])
def test_many_daemons_read_less_often_and_still_within_two_seconds(daemons):
    # Together they read the list no more than one read a second each.
    upstreams = upstreams_pace(daemons)
    assert upstreams_pace(1).rest < upstreams.rest <= timedelta(seconds=1)
    configuration = configuration_pace(daemons)
    assert configuration.wait + configuration.rest < timedelta(seconds=2)
