"""A rank's status and orders as an engine's HTTP interface carries them."""

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
    """Decode an order, as the stand-in engine does.

    Args:
      body: The request's body.

    Returns:
      The order.
    """
    return ORDER_CODEC.decode(body).unwrap()


def status_to_plain(status: RankStatus) -> Any:
    """Return a status in the form that an engine answers with.

    Args:
      status: The status.

    Returns:
      Maps, lists and scalars.
    """
    return msgspec.to_builtins(status)


def status_from_body(body: bytes) -> RankStatus:
    """Read an engine's answer.

    Args:
      body: The answer's body.

    Returns:
      The status.
    """
    return msgspec.convert(json.loads(body), RankStatus)
