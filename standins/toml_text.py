"""Writes plain values as TOML; the standard library only reads it."""

import json
from collections.abc import Iterator, Mapping
from typing import Any


def write_toml(document: Mapping[str, Any]) -> str:
    """Return a document as TOML text.

    Args:
      document: Numbers, strings, truth values, lists and tables, by key.

    Returns:
      The text. Tables at the top have headers of their own, all below them
      stand in one line.
    """
    return '\n'.join((*_plain_lines(document), *_table_lines(document), ''))


def _plain_lines(document: Mapping[str, Any]) -> Iterator[str]:
    for key, value in document.items():
        if not isinstance(value, Mapping) and not _has_headers(value):
            yield f'{_key(key)} = {_value(value)}'


def _table_lines(document: Mapping[str, Any]) -> Iterator[str]:
    for key, value in document.items():
        if isinstance(value, Mapping):
            yield f'\n[{_key(key)}]'
            yield from _pairs(value)
        elif _has_headers(value):
            for table in value:
                yield f'\n[[{_key(key)}]]'
                yield from _pairs(table)


def _has_headers(value: Any) -> bool:
    # A list of tables that hold tables themselves is long; in one line each,
    # nobody could read it.
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(each, Mapping) for each in value)
        and any(_holds_tables(each) for each in value)
    )


def _holds_tables(table: Mapping[str, Any]) -> bool:
    return any(
        isinstance(value, list) and value and isinstance(value[0], Mapping)
        for value in table.values()
    )


def _pairs(table: Mapping[str, Any]) -> Iterator[str]:
    return (f'{_key(key)} = {_value(value)}' for key, value in table.items())


def _key(key: str) -> str:
    bare = key.replace('-', '').replace('_', '')
    return key if bare.isascii() and bare.isalnum() else json.dumps(key)


def _value(value: Any) -> str:
    match value:
        case Mapping():
            return f'{{ {", ".join(_pairs(value))} }}'
        case list():
            return f'[{", ".join(map(_value, value))}]'
        case bool() | str():
            return json.dumps(value)
        case int() | float():
            return repr(value)
    raise TypeError(f'{value!r} cannot be written as TOML')
