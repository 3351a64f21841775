"""Typed errors of operators' files and of the platform's services."""

from dataclasses import dataclass
from typing import Protocol


class Described(Protocol):
    """An error that can be shown to an operator."""

    def describe(self) -> str:
        """Return one line of plain English."""


@dataclass(frozen=True)
class FileError:
    """A file that cannot be read or is not YAML."""

    file: str
    problem: str

    def describe(self) -> str:
        """Return the file and what is wrong with it."""
        return f'{self.file}: {self.problem}'


@dataclass(frozen=True)
class ValueProblem:
    """A value of the wrong type or out of range."""

    file: str
    key: str
    found: str
    expected: str

    def describe(self) -> str:
        """Return the file, key, value and the accepted range."""
        return f'{self.file}: {self.key}: {self.found}: {self.expected}'


@dataclass(frozen=True)
class UnknownKey:
    """A key that is not defined for its place in the file."""

    file: str
    key: str
    accepted: tuple[str, ...]

    def describe(self) -> str:
        """Return the file, the key and the accepted keys."""
        names = ', '.join(self.accepted)
        return f'{self.file}: {self.key}: unknown key, accepted: {names}'


@dataclass(frozen=True)
class DanglingReference:
    """A reference to a name that is not defined."""

    file: str
    key: str
    name: str
    kind: str

    def describe(self) -> str:
        """Return file, key, name and the expected kind of object."""
        return f'{self.file}: {self.key}: {self.name!r} names no {self.kind}'


@dataclass(frozen=True)
class DuplicateName:
    """A name that is defined twice."""

    file: str
    key: str
    name: str

    def describe(self) -> str:
        """Return the file, the key and the name."""
        return f'{self.file}: {self.key}: {self.name!r} is defined twice'


ConfigError = (
    FileError | ValueProblem | UnknownKey | DanglingReference | DuplicateName
)


@dataclass(frozen=True)
class LogUnavailable:
    """The log service did not respond, or responded with an error.

    If this is the result of an append, the record may or may not be stored.
    """

    problem: str

    def describe(self) -> str:
        """Return the problem."""
        return f'log service: {self.problem}'


@dataclass(frozen=True)
class HostListUnavailable:
    """The host list service did not respond, or responded with an error."""

    problem: str

    def describe(self) -> str:
        """Return the problem."""
        return f'host list: {self.problem}'
