"""Tests of the settings that limit cold upstreams and memory."""

import pytest

from linnetwind.platform.settings import decode_settings
from linnetwind.upstreams.cold_allowance import ColdTolerance

BOUNDS = {
    'graceS': 5,
    'drainMs': 1_000,
    'retryWindowS': 10,
    'retryRatio': 0.2,
    'retryAllowance': 10,
}
SETTINGS = {
    'node': 'n',
    'zone': 'z',
    'ip': '10.0.0.1',
    'internalPorts': [7340],
    'platform': {'address': '10.0.0.9:80'},
}


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        ({}, None),
        ({'coldOverage': 1.5, 'coldSlack': 5}, ColdTolerance(1.5, 5)),
        # A bound of which only one number is stated still holds.
        ({'coldOverage': 2}, ColdTolerance(2, 0)),
        ({'coldSlack': 3}, ColdTolerance(1, 3)),
    ],
)
def test_the_bound_for_cold_upstreams_is_decoded(stated, expected):
    decoded = decode_settings({**SETTINGS, 'bounds': {**BOUNDS, **stated}})
    assert decoded.cold_tolerance == expected


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [({}, {}), ({'limits': {'memoryMb': 2}}, {'memory_bytes': 2_097_152})],
)
def test_the_memory_of_the_host_is_decoded(limits, expected):
    decoded = decode_settings({**SETTINGS, **limits, 'bounds': BOUNDS})
    assert decoded.memory_bytes == expected.get('memory_bytes')
