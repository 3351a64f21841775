"""Where a process listens."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

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
