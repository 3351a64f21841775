"""The platform's settings file, as the settings of our daemons."""

import json
import os
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from linnetwind.address import Address, parse_address
from linnetwind.repeat_budget import BudgetTerms

_FILE_VARIABLE = 'LINNETWIND_CONFIG'


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What the platform tells a daemon of its host.

    `front` is where callers connect, `readiness` where the platform asks
    whether they may; both are None on a host without callers. `upstream` is
    the address of the worker on this host. `first_port` is the first of the
    ports for our own messages, which are the same on all hosts. `power` is
    its link in Mbit/s times its part of a core.
    """

    name: str
    site: str
    ip: str
    front: Address | None
    readiness: Address | None
    first_port: int
    seeds: tuple[Address, ...]
    store: Address
    upstream: Address | None
    service: str | None
    stop_within: timedelta
    drain_within: timedelta
    repeats: BudgetTerms
    power: int


def read_settings() -> HostSettings:
    """Read the file that the platform names.

    Returns:
      The settings.

    Raises:
      KeyError: The variable or a field is missing.
      OSError: The file cannot be read.
    """
    with open(os.environ[_FILE_VARIABLE], encoding='utf-8') as source:
        return decode_settings(json.load(source))


def decode_settings(fields: dict[str, Any]) -> HostSettings:
    """Decode the settings.

    Args:
      fields: The file's content.

    Returns:
      The settings.
    """
    bounds = fields['bounds']
    listen = fields.get('listen') or {}
    first_port = int(fields['internalPorts'][0])
    seeds = [parse_address(each) for each in fields.get('seeds') or []]
    return HostSettings(
        name=fields['node'],
        site=fields['zone'],
        ip=fields['ip'],
        front=_optional_address(listen.get('front')),
        readiness=_optional_address(listen.get('readiness')),
        first_port=first_port,
        # Seeds name the control addresses; our ports are the same everywhere.
        seeds=tuple(Address(each.ip, first_port) for each in seeds),
        store=parse_address(fields['platform']['address']),
        upstream=_optional_address(fields.get('app')),
        service=fields.get('service'),
        stop_within=timedelta(seconds=bounds['graceS']),
        drain_within=timedelta(milliseconds=bounds['drainMs']),
        repeats=BudgetTerms(
            timedelta(seconds=bounds['retryWindowS']),
            float(bounds['retryRatio']),
            float(bounds['retryAllowance']),
        ),
        power=_power(fields.get('limits') or {}),
    )


def _power(limits: dict[str, Any]) -> int:
    """Return what a host bears; 0 where its limits are not stated."""
    cores = limits.get('cpuShare', 0) * limits.get('cpuCores', 1)
    return int(cores * limits.get('linkMbps', 0))


def _optional_address(text: str | None) -> Address | None:
    return parse_address(text) if text else None
