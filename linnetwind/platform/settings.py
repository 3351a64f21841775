"""Decodes the platform's settings file into the settings of a daemon."""

import json
import os
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from linnetwind.address import Address, parse_address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.upstreams.cold_allowance import ColdTolerance

_SETTINGS_VARIABLE = 'LINNETWIND_CONFIG'
_BYTES_PER_MB = 1_048_576


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings of a daemon on one host.

    `front` is the address that callers connect to, and `readiness` the address
    of the platform's readiness check; both are None on a host that serves no
    callers. `upstream` is the address of the worker on this host. `first_port`
    is the first port for messages between daemons; these ports are the same on
    all hosts. `repeats` limits retries. `power` is the host's link in Mbit/s
    times the number of cores that the daemon may use, 0 if not stated.
    `cold_tolerance` is None if requests to cold upstreams are not limited.
    `memory_bytes` is the host's memory, None if not stated.
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
    retry_terms: RetryBudgetTerms
    power: int
    cold_tolerance: ColdTolerance | None = None
    memory_bytes: int | None = None


def read_settings() -> HostSettings:
    """Read the settings file that an environment variable names.

    Returns:
      The settings.

    Raises:
      KeyError: The environment variable or a field of the file is missing.
      OSError: The file cannot be read.
    """
    with open(os.environ[_SETTINGS_VARIABLE], encoding='utf-8') as source:
        return decode_settings(json.load(source))


def decode_settings(fields: dict[str, Any]) -> HostSettings:
    """Decode the fields of a settings file.

    Args:
      fields: The file's content, decoded from JSON.

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
        # A seed gives a host's control address. The daemon on that host uses
        # the same first port as this one.
        seeds=tuple(Address(each.ip, first_port) for each in seeds),
        store=parse_address(fields['platform']['address']),
        upstream=_optional_address(fields.get('app')),
        service=fields.get('service'),
        stop_within=timedelta(seconds=bounds['graceS']),
        drain_within=timedelta(milliseconds=bounds['drainMs']),
        retry_terms=RetryBudgetTerms(
            timedelta(seconds=bounds['retryWindowS']),
            float(bounds['retryRatio']),
            float(bounds['retryAllowance']),
        ),
        power=_host_power(fields.get('limits') or {}),
        cold_tolerance=_cold_tolerance(bounds),
        memory_bytes=_memory_bytes(fields.get('limits') or {}),
    )


def _host_power(limits: dict[str, Any]) -> int:
    """Return link (Mbit/s) times cores, or 0 if the limits are not stated."""
    cores = limits.get('cpuShare', 0) * limits.get('cpuCores', 1)
    return int(cores * limits.get('linkMbps', 0))


def _memory_bytes(limits: dict[str, Any]) -> int | None:
    """Return the host's memory in bytes, None if it is not stated."""
    memory_mb = limits.get('memoryMb')
    return None if memory_mb is None else int(memory_mb * _BYTES_PER_MB)


def _cold_tolerance(bounds: dict[str, Any]) -> ColdTolerance | None:
    """Return the bound on requests to cold upstreams, None if none is stated.

    If only one of the two numbers is stated, the other one adds nothing.
    """
    overage = bounds.get('coldOverage')
    slack = bounds.get('coldSlack')
    if overage is None and slack is None:
        return None
    return ColdTolerance(
        1 if overage is None else float(overage),
        0 if slack is None else float(slack),
    )


def _optional_address(text: str | None) -> Address | None:
    return parse_address(text) if text else None
