"""A rank's engine over HTTP: its status and its orders."""

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
    """The engine did not answer; an order may have reached it."""

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
        return self._ask('GET', f'/ranks/{self.rank}', None)

    def order(self, order: Order) -> Result[RankStatus, EngineUnavailable]:
        """Give an order.

        Args:
          order: The order; harmless when it is repeated or late.

        Returns:
          The status after it.
        """
        path = f'/ranks/{self.rank}/orders'
        return self._ask('POST', path, encode_order(order))

    def counts(self) -> list[list[float]]:
        """Read the tokens per expert in each layer.

        Returns:
          A list for each layer; empty when there are none.
        """
        try:
            body = self._fetch('GET', '/counts', None)
            return msgspec.json.decode(body, type=list[list[float]])
        except _ERRORS:
            return []

    def _ask(
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
