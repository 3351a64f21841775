"""Where a process listens."""

import re
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

_LAST_PORT = 65_535
_LAST_NUMBER = 255
# The first number of addresses of many hosts, and of none above them.
_FIRST_MULTICAST = 224
# Without leading zeros, which some readers take for octal numbers.
_IP_AND_PORT = re.compile(
    r'(?P<ip>(?:0|[1-9][0-9]{0,2})(?:\.(?:0|[1-9][0-9]{0,2})){3})'
    ':(?P<port>[1-9][0-9]{0,4})'
)

Port = Annotated[int, Meta(ge=0, le=_LAST_PORT)]
IpAddress = Annotated[str, Meta(pattern=r'^[0-9]+(\.[0-9]+){3}$')]


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    ip: IpAddress
    port: Port

    def __str__(self) -> str:
        """Return the address as it stands in a URL."""
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Return the address of a host, written as IP:PORT.

    Args:
      text: The text.

    Returns:
      The address.

    Raises:
      ValueError: No host can be reached at such an address.
    """
    found = _IP_AND_PORT.fullmatch(text)
    if found is None:
        raise ValueError('is not IP:PORT')
    ip, port = found['ip'], int(found['port'])
    numbers = [int(number) for number in ip.split('.')]
    if max(numbers) > _LAST_NUMBER:
        raise ValueError('is no IP address')
    if not 0 < numbers[0] < _FIRST_MULTICAST:
        raise ValueError('is the IP address of no host')
    if not 0 < port <= _LAST_PORT:
        raise ValueError('has a port out of range')
    return Address(ip, port)
