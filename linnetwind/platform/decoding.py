"""JSON of the platform, decoded by schemas: a typed value or a typed error."""

import re
from typing import Annotated, TypeVar

from msgspec import UNSET, Meta, MsgspecError, UnsetType
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat

Decoded = TypeVar('Decoded')

# The largest whole number that the platform's counters take, 64 bits signed.
_MOST = 9_223_372_036_854_775_807
# Waits of the operating system's calls overflow at about 292 years; nothing
# of the platform lasts for one.
_LONGEST_MS = 31_536_000_000
# Far above all figures of engines, so that products of them stay finite.
_LARGEST_FIGURE = 1_000_000_000_000

Whole = Annotated[int, Meta(ge=0, le=_MOST)]
Count = Annotated[int, Meta(ge=1, le=_MOST)]
Text = Annotated[str, Meta(min_length=1)]
Milliseconds = Annotated[float, Meta(ge=0, le=_LONGEST_MS)]
Timeout = Annotated[float, Meta(gt=0, le=_LONGEST_MS)]
Figure = Annotated[float, Meta(ge=0, le=_LARGEST_FIGURE)]
PositiveFigure = Annotated[float, Meta(gt=0, le=_LARGEST_FIGURE)]
# The Unix time in milliseconds at which a process started; it may be left
# out, but is never null.
Born = Whole | UnsetType

# Messages of the platform nest six deep. The parser calls itself for each
# level, and 900 levels overflowed the 128 KB of a rank agent's threads: the
# process ended by a signal, without a line in its log. The parser's own limit
# lies above that, and depends on the calls under way.
_MOST_NESTED = 32
# Text goes first, since brackets within it open nothing. An end that is
# missing is the parser's to report; possessive repeats keep this linear.
_STRINGS = re.compile(r'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_NO_BRACKETS = re.compile(r'[^\[\]{}]++')
_MISSING = re.compile('Object missing required field `(.*)`')


def decode_json(
    content: bytes, decoder: Decoder[Decoded]
) -> Decoded | BadFormat:
    """Decode and check a message.

    Args:
      content: Any bytes.
      decoder: Of the message's schema.

    Returns:
      The message, or what is wrong with it; nothing is raised.
    """
    try:
        text = content.decode()
    except UnicodeDecodeError:
        return BadFormat('', 'is not UTF-8')
    if _is_nested_deeply(text):
        return BadFormat('', f'is nested more than {_MOST_NESTED} deep')
    try:
        return decoder.decode(text)
    except MsgspecError as error:
        return _name_missing(BadFormat.of(error))


def stated(born: int | UnsetType) -> int | None:
    """Return the start of a process, or None if it was left out.

    Args:
      born: As decoded.

    Returns:
      The Unix time in milliseconds, or None.
    """
    return None if born is UNSET else born


def _is_nested_deeply(text: str) -> bool:
    depth = 0
    for bracket in _NO_BRACKETS.sub('', _STRINGS.sub('', text)):
        depth += 1 if bracket in '[{' else -1
        if depth > _MOST_NESTED:
            return True
    return False


def _name_missing(bad: BadFormat) -> BadFormat:
    missing = _MISSING.fullmatch(bad.reason)
    if missing is None:
        return bad
    path = f'{bad.field}.{missing[1]}' if bad.field else missing[1]
    return BadFormat(path, 'is missing')
