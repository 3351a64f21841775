"""Fixtures of the tests with real processes."""

import pytest

from standins.cluster import reduced, running_cluster
from standins.cluster_calls import EXAMPLE


@pytest.fixture
def cluster(tmp_path):
    """Run two entry daemons, two engines and two plain services."""
    with running_cluster(tmp_path, reduced(EXAMPLE, 2, 2), 2) as running:
        yield running
