"""The platform's host list as this project sees it."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from linnetwind.address import Address
from linnetwind.errors import HostListUnavailable


class HostState(enum.StrEnum):
    """What the platform says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Host:
    """One upstream host and the address of its side daemon."""

    name: str
    site: str
    address: Address
    state: HostState


class HostsPort(Protocol):
    """A lagging list of hosts."""

    def read(self) -> Result[Sequence[Host], HostListUnavailable]:
        """Return the hosts, or why the list cannot be had."""
