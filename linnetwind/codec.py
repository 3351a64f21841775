"""CBOR frames for closed sets of message types.

The module is separate from the messages of the entry and side daemons, since
importing these adds 40 ms to the start of a process.
"""

import dataclasses
from typing import Any

import cbor2
import msgspec
from result import Err, Ok, Result

_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    msgspec.ValidationError,
    ValueError,
    TypeError,
    IndexError,
)


@dataclasses.dataclass(frozen=True)
class BadFrame:
    """A frame that is not a message of the protocol."""

    problem: str

    def describe(self) -> str:
        """Return the problem."""
        return f'bad frame: {self.problem}'


class Codec:
    """Encodes and decodes a closed set of message types.

    A frame is a CBOR array of the type's tag, which is its position in the set,
    and the fields in their order.
    """

    def __init__(self, types: tuple[type[Any], ...]) -> None:
        """Assign the tags.

        Args:
          types: Frozen data classes, in the order of their tags.
        """
        self._types = types
        self._tags = {kind: tag for tag, kind in enumerate(types)}
        self._names = [
            tuple(field.name for field in dataclasses.fields(kind))
            for kind in types
        ]

    def encode(self, message: Any) -> bytes:
        """Encode one message.

        Args:
          message: An instance of one of the types.

        Returns:
          The frame.
        """
        tag = self._tags[type(message)]
        fields = [
            msgspec.to_builtins(getattr(message, name), builtin_types=(bytes,))
            for name in self._names[tag]
        ]
        return cbor2.dumps([tag, *fields])

    def decode(self, frame: bytes) -> Result[Any, BadFrame]:
        """Decode one frame and check every field's type.

        Args:
          frame: The bytes received.

        Returns:
          The message, or what is wrong with the frame.
        """
        try:
            return Ok(self._decode(frame))
        except _DECODE_ERRORS as error:
            return Err(BadFrame(str(error)))

    def _decode(self, frame: bytes) -> Any:
        tag, *fields = cbor2.loads(frame)
        # Negative numbers and booleans are valid list indexes too, and would
        # decode the fields as a type that the sender did not mean.
        if not isinstance(tag, int) or isinstance(tag, bool) or tag < 0:
            raise TypeError(f'a tag cannot be {tag!r}')
        fields_by_name = dict(zip(self._names[tag], fields, strict=False))
        return msgspec.convert(
            fields_by_name, self._types[tag], builtin_types=(bytes,)
        )
