"""Where a process listens."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

_LAST_PORT = 65_535

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
    """Return an address written as IP:PORT.

    Args:
      text: The text.

    Returns:
      The address.

    Raises:
      ValueError: The text has no port.
    """
    ip, _colon, port = text.rpartition(':')
    return Address(ip, int(port))
