"""An HTTP client of the log service, with CBOR bodies."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from http.client import HTTPConnection, HTTPException
from typing import Any

import cbor2
from result import Err, Ok, Result

from linnetwind.address import Address
from linnetwind.errors import LogUnavailable
from linnetwind.log_port import Entry, Page

_OK = 200

# A malformed response is treated like a missing one.
_ERRORS = (
    OSError,
    HTTPException,
    cbor2.CBORDecodeError,
    KeyError,
    TypeError,
    ValueError,
)


class HttpLog:
    """A client of the log service; safe for use by several threads.

    Each request uses a connection of its own, so a broken connection affects
    no later request.
    """

    def __init__(self, address: Address, timeout: timedelta) -> None:
        """Initialize the client without connecting.

        Args:
          address: The log service's address.
          timeout: The timeout of the connect and of each read.
        """
        self._address = address
        self._timeout = timeout

    def append(
        self, stream: str, records: Sequence[bytes]
    ) -> Result[int, LogUnavailable]:
        """Append records with one request; see `LogPort`."""
        body = cbor2.dumps(list(records))
        return self._request(
            'POST', f'/streams/{stream}', body, _offset_from_plain
        )

    def read(self, stream: str, start: int) -> Result[Page, LogUnavailable]:
        """Read records in offset order; see `LogPort`."""
        path = f'/streams/{stream}?from={start}'
        return self._request('GET', path, None, _page_from_plain)

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        parse: Callable[[Any], Any],
    ) -> Result[Any, LogUnavailable]:
        connection = HTTPConnection(
            self._address.ip,
            self._address.port,
            timeout=self._timeout.total_seconds(),
        )
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return _parse_response(response.status, response.read(), parse)
        except _ERRORS as error:
            return Err(LogUnavailable(repr(error)))
        finally:
            connection.close()


def make_log(address: Address, timeout: timedelta) -> HttpLog:
    """Build a client of the log service.

    Args:
      address: The log service's address.
      timeout: The timeout of the connect and of each read.

    Returns:
      The client.
    """
    return HttpLog(address, timeout)


def _parse_response(
    status: int, body: bytes, parse: Callable[[Any], Any]
) -> Result[Any, LogUnavailable]:
    if status != _OK:
        return Err(LogUnavailable(f'status {status}'))
    return Ok(parse(cbor2.loads(body)))


def _offset_from_plain(plain: Any) -> int:
    return int(plain['first_offset'])


def _page_from_plain(plain: Any) -> Page:
    entries = tuple(
        Entry(offset, record) for offset, record in plain['entries']
    )
    return Page(plain['first'], plain['end'], entries)
