"""Encoding of a rank's status and orders on an engine's HTTP interface."""

import json
from typing import Any

import msgspec

from linnetwind.codec import Codec
from linnetwind.mapswitch_types import (
    Order,
    OrderArm,
    OrderConfirm,
    OrderDisarm,
    OrderStage,
    OrderStart,
    RankStatus,
)

ORDER_CODEC = Codec(
    (OrderStage, OrderArm, OrderConfirm, OrderDisarm, OrderStart)
)


def encode_order(order: Order) -> bytes:
    """Encode an order for an engine.

    Args:
      order: The order.

    Returns:
      The request's body.
    """
    return ORDER_CODEC.encode(order)


def decode_order(body: bytes) -> Order:
    """Decode an order; used by the stand-in engine.

    Args:
      body: The request's body.

    Returns:
      The order.
    """
    return ORDER_CODEC.decode(body).unwrap()


def status_to_plain(status: RankStatus) -> Any:
    """Convert a status to the plain types of an engine's JSON response.

    Args:
      status: The status.

    Returns:
      Dictionaries, lists and scalars.
    """
    return msgspec.to_builtins(status)


def status_from_body(body: bytes) -> RankStatus:
    """Decode the status in an engine's response.

    Args:
      body: The response's body.

    Returns:
      The status.
    """
    return msgspec.convert(json.loads(body), RankStatus)
