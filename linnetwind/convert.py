"""Checked conversion of plain data to frozen data classes.

`msgspec` checks types and ranges but ignores unknown keys of data classes, so
unknown keys are found here by walking the type and the data side by side.
"""

import dataclasses
import re
import types
from collections.abc import Iterator
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from linnetwind.bad_format import BadFormat
from linnetwind.errors import ConfigError, UnknownKey, ValueProblem

Converted = TypeVar('Converted')

_PATH_STEP = re.compile(r'([^.\[\]]+)')


def structure(
    plain: Any,
    target: type[Converted],
    file: str,
) -> tuple[Converted | None, list[ConfigError]]:
    """Convert plain data to a data class and check it.

    Args:
      plain: Maps, lists and scalars.
      target: The data class.
      file: The source of the data, for the errors.

    Returns:
      The instance of the data class, or None if there are errors; and the
      errors.
    """
    errors: list[ConfigError] = list(_unknown_keys(plain, target, file, ''))
    try:
        converted = msgspec.convert(plain, target)
    except msgspec.ValidationError as error:
        return None, [*errors, _value_problem(error, plain, file)]
    if errors:
        return None, errors
    return converted, []


def _value_problem(
    error: msgspec.ValidationError, plain: Any, file: str
) -> ValueProblem:
    bad = BadFormat.of(error)
    found = repr(_look_up(plain, bad.field))
    return ValueProblem(file, bad.field or '(top)', found, bad.reason)


def _look_up(plain: Any, path: str) -> Any:
    current = plain
    for step in _PATH_STEP.findall(path):
        key = int(step) if step.isdigit() else step
        try:
            current = current[key]
        except (KeyError, IndexError, TypeError):
            return None
    return current


def _unknown_keys(
    plain: Any, target: Any, file: str, path: str
) -> Iterator[UnknownKey]:
    target = _core_type(target)
    if dataclasses.is_dataclass(target) and isinstance(plain, dict):
        yield from _unknown_in_map(plain, target, file, path)
    elif get_origin(target) is tuple and isinstance(plain, list):
        element_type = get_args(target)[0]
        for index, element in enumerate(plain):
            yield from _unknown_keys(
                element, element_type, file, f'{path}[{index}]'
            )


def _unknown_in_map(
    plain: dict[str, Any], target: Any, file: str, path: str
) -> Iterator[UnknownKey]:
    hints = _hints(target)
    for key, element in plain.items():
        inner_path = f'{path}.{key}' if path else str(key)
        hint = hints.get(key)
        if hint is None:
            yield UnknownKey(file, inner_path, tuple(hints))
        else:
            yield from _unknown_keys(element, hint, file, inner_path)


@cache
def _hints(target: Any) -> dict[str, Any]:
    return get_type_hints(target)


def _core_type(target: Any) -> Any:
    if get_origin(target) in {types.UnionType, Union}:
        return get_args(target)[0]
    return target
