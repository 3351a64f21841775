"""Client of a rank's engine over HTTP, for its status and its orders."""

from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec
from result import Err, Ok, Result

from linnetwind.address import Address
from linnetwind.engine_orders import encode_order, status_from_body
from linnetwind.mapswitch_types import (
    Order,
    RankStatus,
)

TIMEOUT_SECONDS = 1.0

_ERRORS = (OSError, HTTPException, ValueError, msgspec.ValidationError)


@dataclass(frozen=True)
class EngineUnavailable:
    """The engine did not respond; it may still have received the order."""

    problem: str

    def describe(self) -> str:
        """Return the problem."""
        return f'engine: {self.problem}'


@dataclass(frozen=True)
class RankEngine:
    """The engine of one rank; used by one thread."""

    address: Address
    rank: int

    def status(self) -> Result[RankStatus, EngineUnavailable]:
        """Read the rank's status."""
        return self._request_status('GET', f'/ranks/{self.rank}', None)

    def order(self, order: Order) -> Result[RankStatus, EngineUnavailable]:
        """Send an order.

        Args:
          order: The order; it is harmless if duplicated or late.

        Returns:
          The rank's status after the order.
        """
        path = f'/ranks/{self.rank}/orders'
        return self._request_status('POST', path, encode_order(order))

    def counts(self) -> list[list[float]]:
        """Read the number of tokens per expert in each layer.

        Returns:
          A list for each layer; empty if the engine does not respond.
        """
        try:
            body = self._fetch('GET', '/counts', None)
            return msgspec.json.decode(body, type=list[list[float]])
        except _ERRORS:
            return []

    def _request_status(
        self, method: str, path: str, body: bytes | None
    ) -> Result[RankStatus, EngineUnavailable]:
        try:
            return Ok(status_from_body(self._fetch(method, path, body)))
        except _ERRORS as error:
            return Err(EngineUnavailable(repr(error)))

    def _fetch(self, method: str, path: str, body: Any) -> bytes:
        connection = HTTPConnection(
            self.address.ip, self.address.port, timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request(method, path, body)
            return connection.getresponse().read()
        finally:
            connection.close()
