"""Tests of the rate limits of reads from the store."""

from datetime import timedelta

import pytest

from linnetwind.store_rate_limit import (
    configuration_rate_limit,
    upstreams_rate_limit,
)


@pytest.mark.parametrize('daemons', [1, 4, 8])
def test_few_daemons_each_read_as_often_as_a_single_one(daemons):
    assert upstreams_rate_limit(daemons) == upstreams_rate_limit(1)
    assert configuration_rate_limit(daemons) == configuration_rate_limit(1)


@pytest.mark.parametrize('daemons', [13, 16, 35, 100, 400])
def test_many_daemons_read_less_often_and_still_within_two_seconds(daemons):
    # The interval grows with the number of daemons, up to one second.
    upstreams = upstreams_rate_limit(daemons)
    assert (
        upstreams_rate_limit(1).interval
        < upstreams.interval
        <= timedelta(seconds=1)
    )
    configuration = configuration_rate_limit(daemons)
    assert configuration.wait + configuration.interval < timedelta(seconds=2)
