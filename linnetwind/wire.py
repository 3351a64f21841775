"""The CBOR codec for messages between entry daemons and side daemons."""

from typing import Any

from linnetwind import messages
from linnetwind.codec import Codec

PROTOCOL_VERSION = 1

# The position of a type is its tag on the wire, so only append to this list.
_TYPES: tuple[type[Any], ...] = (
    messages.Hello,
    messages.Challenge,
    messages.Proof,
    messages.Welcome,
    messages.Call,
    messages.Head,
    messages.Chunk,
    messages.End,
    messages.Refused,
    messages.Lost,
    messages.Cancel,
    messages.CallStatusQuery,
    messages.CallStatus,
    messages.LoadReport,
    messages.Leaving,
    messages.ConfigQuery,
    messages.ConfigCopy,
    messages.Demand,
    messages.Shares,
    messages.GroupNote,
)

PEER_CODEC = Codec(_TYPES)
