"""IPv4 addresses with ports."""

import re
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

_MAX_PORT = 65_535
_MAX_OCTET = 255
# The first octet of multicast addresses; those above it are reserved.
_FIRST_MULTICAST_OCTET = 224
# Leading zeros are not accepted: some parsers read such numbers as octal.
_IP_AND_PORT = re.compile(
    r'(?P<ip>(?:0|[1-9][0-9]{0,2})(?:\.(?:0|[1-9][0-9]{0,2})){3})'
    ':(?P<port>[1-9][0-9]{0,4})'
)

Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
IpAddress = Annotated[str, Meta(pattern=r'^[0-9]+(\.[0-9]+){3}$')]


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    ip: IpAddress
    port: Port

    def __str__(self) -> str:
        """Return the address in the form IP:PORT, as in a URL."""
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse the address of a host, written as IP:PORT.

    Args:
      text: The text.

    Returns:
      The address.

    Raises:
      ValueError: The text has another form, or no host can have the address.
    """
    match = _IP_AND_PORT.fullmatch(text)
    if match is None:
        raise ValueError('is not IP:PORT')
    ip, port = match['ip'], int(match['port'])
    octets = [int(octet) for octet in ip.split('.')]
    if max(octets) > _MAX_OCTET:
        raise ValueError('is no IP address')
    if not 0 < octets[0] < _FIRST_MULTICAST_OCTET:
        raise ValueError('is the IP address of no host')
    if not 0 < port <= _MAX_PORT:
        raise ValueError('has a port out of range')
    return Address(ip, port)
