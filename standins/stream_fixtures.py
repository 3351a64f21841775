"""Streams and what is known of their group, for tests of admission."""

from datetime import timedelta

from linnetwind.admission.admission_policy import CapacityView, PendingStream
from standins.gateway_fixtures import MS

# The latency of a first event that is on time.
TARGET = 500 * MS
# A group with free places, and a stream that has just come.
VIEW = CapacityView(free=8, ends_per_s=40, start_time=200 * MS, opens_in=None)
FIRST = PendingStream(
    ahead=0, waited=timedelta(), target=TARGET, returning=False
)
