"""The platform's services, as both daemons use them."""

import random
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.follower import Follower
from linnetwind.hosts_http import HttpHosts
from linnetwind.log_http import HttpLog, make_log
from linnetwind.settings import PlatformSettings

PLATFORM_TIMEOUT = timedelta(seconds=2)

# Callers wait for a claim, so it is given up sooner.
CLAIM_TIMEOUT = timedelta(seconds=1)


def make_platform_log(settings: PlatformSettings) -> HttpLog:
    """Build a client of the log service for work in the background.

    Args:
      settings: Where the platform is.

    Returns:
      The client.
    """
    return make_log(settings.log_service, PLATFORM_TIMEOUT)


def make_claim_log(settings: PlatformSettings) -> HttpLog:
    """Build a client of the log service for calls that wait.

    Args:
      settings: Where the platform is.

    Returns:
      The client.
    """
    return make_log(settings.log_service, CLAIM_TIMEOUT)


def make_hosts(settings: PlatformSettings) -> HttpHosts:
    """Build a client of the host list.

    Args:
      settings: Where the platform is.

    Returns:
      The client.
    """
    return HttpHosts(settings.host_list, PLATFORM_TIMEOUT)


def make_follower(
    settings: PlatformSettings, clock: Clock, incarnation: str
) -> Follower:
    """Build the follower of the configuration.

    Args:
      settings: Where the platform is, and how old a snapshot may get.
      clock: For the age of snapshots.
      incarnation: Seeds the spread, so that it differs between daemons.

    Returns:
      The follower, without a configuration.
    """
    return Follower(
        make_platform_log(settings),
        clock,
        timedelta(seconds=settings.snapshot_seconds),
        random.Random(incarnation),
    )
