"""An HTTP client of the host list, with JSON bodies."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from http.client import HTTPConnection, HTTPException

import msgspec
from result import Err, Ok, Result

from linnetwind.address import Address
from linnetwind.errors import HostListUnavailable
from linnetwind.hosts_port import Host

_OK = 200
_HOSTS_PER_SECOND = 50


@dataclass(frozen=True)
class HttpHosts:
    """A client of the host list."""

    address: Address
    timeout: timedelta

    def read(self) -> Result[Sequence[Host], HostListUnavailable]:
        """Read the list; see `HostsPort`."""
        connection = HTTPConnection(
            self.address.ip,
            self.address.port,
            timeout=self.timeout.total_seconds(),
        )
        try:
            connection.request('GET', '/hosts')
            response = connection.getresponse()
            return _parse(response.status, response.read())
        except (OSError, HTTPException) as error:
            return Err(HostListUnavailable(repr(error)))
        finally:
            connection.close()


def host_list_interval(poll: timedelta, hosts: int) -> timedelta:
    """Return the interval between reads of the host list.

    Each read transfers the whole list, so with a fixed interval the bytes
    would grow with the fleet beyond a daemon's budget. A long interval is safe:
    the side daemon of a leaving host reports this long before.

    Args:
      poll: The interval for a small fleet.
      hosts: The number of hosts on the list.

    Returns:
      The interval.
    """
    return max(poll, timedelta(seconds=hosts / _HOSTS_PER_SECOND))


def _parse(
    status: int, body: bytes
) -> Result[Sequence[Host], HostListUnavailable]:
    if status != _OK:
        return Err(HostListUnavailable(f'status {status}'))
    try:
        hosts = msgspec.convert(json.loads(body), tuple[Host, ...])
    except (ValueError, msgspec.ValidationError) as error:
        return Err(HostListUnavailable(repr(error)))
    return Ok(hosts)
