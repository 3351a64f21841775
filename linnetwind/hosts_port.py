"""The interface to the platform's host list."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from linnetwind.address import Address
from linnetwind.errors import HostListUnavailable


class HostState(enum.StrEnum):
    """The state of a host as reported by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Host:
    """An upstream host and the address of its side daemon."""

    name: str
    site: str
    address: Address
    state: HostState


class HostsPort(Protocol):
    """A client of the host list, which lags behind the hosts' real state."""

    def read(self) -> Result[Sequence[Host], HostListUnavailable]:
        """Return the hosts, or the reason why the list cannot be read."""
