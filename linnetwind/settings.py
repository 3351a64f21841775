"""The settings files of the daemons: addresses, site, key file, services."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from linnetwind.address import Address
from linnetwind.config import Name, PositiveInt, Seconds
from linnetwind.config_loader import load_yaml
from linnetwind.errors import ConfigError

_MAX_DRAIN_SECONDS = 600


@dataclass(frozen=True)
class PlatformSettings:
    """The addresses of the platform's services, and how often to poll them."""

    log_service: Address
    host_list: Address
    fleet_key_file: str
    poll_seconds: Seconds = 1.0
    snapshot_seconds: Seconds = 3600.0


@dataclass(frozen=True)
class EntrySettings:
    """The settings of an entry daemon.

    After SIGTERM the daemon continues to accept requests for
    `drain_notice_seconds`, so that the load balancer in front can remove it
    from rotation. Requests that are then still running have
    `drain_limit_seconds` to finish.
    """

    name: Name
    site: Name
    listen: Address
    metrics: Address
    platform: PlatformSettings
    threads: PositiveInt = 64
    drain_notice_seconds: Annotated[
        float, Meta(ge=0, le=_MAX_DRAIN_SECONDS)
    ] = 5.0
    drain_limit_seconds: Annotated[float, Meta(ge=0, le=_MAX_DRAIN_SECONDS)] = (
        60.0
    )


@dataclass(frozen=True)
class ServedUpstream:
    """An upstream on the side daemon's host.

    `rank_engine` is the address at which the engine accepts orders for its
    rank; it is set only if the upstream belongs to a group.
    """

    name: Name
    address: Address
    rank_engine: Address | None = None


@dataclass(frozen=True)
class SideSettings:
    """The settings of a side daemon."""

    name: Name
    host: Name
    site: Name
    listen: Address
    metrics: Address
    platform: PlatformSettings
    upstreams: tuple[ServedUpstream, ...]
    drain_notice_seconds: Annotated[
        float, Meta(ge=0, le=_MAX_DRAIN_SECONDS)
    ] = 5.0


def load_entry_settings(
    path: Path,
) -> tuple[EntrySettings | None, list[ConfigError]]:
    """Read an entry daemon's settings file.

    Args:
      path: The YAML file.

    Returns:
      The settings, or None if there are errors; the errors.
    """
    return load_yaml(path, EntrySettings)


def load_side_settings(
    path: Path,
) -> tuple[SideSettings | None, list[ConfigError]]:
    """Read a side daemon's settings file.

    Args:
      path: The YAML file.

    Returns:
      The settings, or None if there are errors; the errors.
    """
    return load_yaml(path, SideSettings)
