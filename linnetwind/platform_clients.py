"""Clients of the platform's services for the entry and side daemons."""

import random
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.config_follower import ConfigFollower
from linnetwind.hosts_http import HttpHosts
from linnetwind.log_http import HttpLog, make_log
from linnetwind.settings import PlatformSettings

PLATFORM_TIMEOUT = timedelta(seconds=2)

# Shorter, since a caller waits while a claim is written to the log.
CLAIM_TIMEOUT = timedelta(seconds=1)


def make_platform_log(settings: PlatformSettings) -> HttpLog:
    """Build a client of the log service for background work.

    Args:
      settings: The addresses of the platform.

    Returns:
      The client.
    """
    return make_log(settings.log_service, PLATFORM_TIMEOUT)


def make_claim_log(settings: PlatformSettings) -> HttpLog:
    """Build a client of the log service for claims, which callers wait for.

    Args:
      settings: The addresses of the platform.

    Returns:
      The client.
    """
    return make_log(settings.log_service, CLAIM_TIMEOUT)


def make_hosts(settings: PlatformSettings) -> HttpHosts:
    """Build a client of the host list.

    Args:
      settings: The addresses of the platform.

    Returns:
      The client.
    """
    return HttpHosts(settings.host_list, PLATFORM_TIMEOUT)


def make_follower(
    settings: PlatformSettings, clock: Clock, incarnation: str
) -> ConfigFollower:
    """Build the follower of the configuration stream.

    Args:
      settings: The addresses of the platform and the snapshot interval.
      clock: Measures the age of snapshots.
      incarnation: Seeds the random spread, so that daemons differ in it.

    Returns:
      The follower, without a configuration.
    """
    return ConfigFollower(
        make_platform_log(settings),
        clock,
        timedelta(seconds=settings.snapshot_seconds),
        random.Random(incarnation),
    )
