"""Decodes the platform's JSON by schema into a typed value or an error."""

import re
from typing import Annotated, TypeVar

from msgspec import UNSET, Meta, MsgspecError, UnsetType
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat

Decoded = TypeVar('Decoded')

# The platform's counters are signed 64-bit integers.
_MAX_INTEGER = 9_223_372_036_854_775_807
# One year, longer than any duration on the platform. Timeouts of system calls
# overflow at about 292 years.
_MAX_DURATION_MS = 31_536_000_000
# Far above every performance figure of an engine. The bound keeps products of
# such figures finite.
_MAX_FLOAT = 1_000_000_000_000

NonNegativeInteger = Annotated[int, Meta(ge=0, le=_MAX_INTEGER)]
PositiveInteger = Annotated[int, Meta(ge=1, le=_MAX_INTEGER)]
NonEmptyText = Annotated[str, Meta(min_length=1)]
DurationMs = Annotated[float, Meta(ge=0, le=_MAX_DURATION_MS)]
TimeoutMs = Annotated[float, Meta(gt=0, le=_MAX_DURATION_MS)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=_MAX_FLOAT)]
PositiveFloat = Annotated[float, Meta(gt=0, le=_MAX_FLOAT)]
# The Unix time at which a process started. The field may be absent but is
# never null.
OptionalStartMs = NonNegativeInteger | UnsetType

# The platform's messages nest at most six levels deep. The parser recurses for
# each level, and 900 levels overflowed the 128 KB stack of a rank agent's
# thread: a signal killed the process and nothing was logged. The parser's own
# limit is higher than that and depends on the current call depth.
_MAX_NESTING = 32
# String literals are removed first because brackets inside them do not nest.
# The closing quote is optional: the parser reports an unterminated string.
# Possessive quantifiers keep the match linear in the length of the text.
_STRING_LITERAL = re.compile(r'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_NON_BRACKETS = re.compile(r'[^\[\]{}]++')
_MISSING_FIELD = re.compile('Object missing required field `(.*)`')


def decode_json(
    content: bytes, decoder: Decoder[Decoded]
) -> Decoded | BadFormat:
    """Decode a JSON message and check it against a schema.

    Args:
      content: The message; any bytes are allowed.
      decoder: The decoder for the message's schema.

    Returns:
      The decoded message, or a description of the first error. Malformed
      content raises no exception.
    """
    try:
        text = content.decode()
    except UnicodeDecodeError:
        return BadFormat('', 'is not UTF-8')
    if _exceeds_max_nesting(text):
        return BadFormat('', f'is nested more than {_MAX_NESTING} deep')
    try:
        return decoder.decode(text)
    except MsgspecError as error:
        return _name_missing_field(BadFormat.of(error))


def unset_to_none(born: int | UnsetType) -> int | None:
    """Convert an absent start time to None.

    Args:
      born: The decoded start time of a process, as a Unix time in
        milliseconds.

    Returns:
      The start time in milliseconds, or None if the field was absent.
    """
    return None if born is UNSET else born


def _exceeds_max_nesting(text: str) -> bool:
    depth = 0
    for bracket in _NON_BRACKETS.sub('', _STRING_LITERAL.sub('', text)):
        depth += 1 if bracket in '[{' else -1
        if depth > _MAX_NESTING:
            return True
    return False


def _name_missing_field(error: BadFormat) -> BadFormat:
    missing = _MISSING_FIELD.fullmatch(error.reason)
    if missing is None:
        return error
    path = f'{error.field}.{missing[1]}' if error.field else missing[1]
    return BadFormat(path, 'is missing')
