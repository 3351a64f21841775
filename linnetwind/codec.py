"""Frames of CBOR for closed sets of message types.

Apart from the messages of the product's own daemons, which cost each process
that imports them 40 ms of its start.
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
    """A frame that is no message of this protocol."""

    problem: str

    def describe(self) -> str:
        """Return the problem."""
        return f'bad frame: {self.problem}'


class Codec:
    """Frames for a closed set of message types.

    A frame is a CBOR array: the type's position, then the fields in order.
    """

    def __init__(self, types: tuple[type[Any], ...]) -> None:
        """Prepare the tables.

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
        # Lists take negative numbers and truth values as positions as well;
        # the fields would go to a type for which they were not meant.
        if not isinstance(tag, int) or isinstance(tag, bool) or tag < 0:
            raise TypeError(f'a tag cannot be {tag!r}')
        named = dict(zip(self._names[tag], fields, strict=False))
        return msgspec.convert(named, self._types[tag], builtin_types=(bytes,))
