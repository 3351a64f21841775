"""The field of an external message that is malformed, and the reason."""

from dataclasses import dataclass
from typing import Self

import msgspec

# Reasons quote the malformed value, which may be as long as the message.
_MAX_CHARACTERS = 200
# Separates the reason from the path in error messages of msgspec.
_PATH_SEPARATOR = ' - at `$'


@dataclass(frozen=True, slots=True)
class BadFormat:
    """A malformed message; `field` is empty if no single field is malformed."""

    field: str
    reason: str

    @classmethod
    def of(cls, error: msgspec.MsgspecError) -> Self:
        """Convert an error of msgspec.

        Args:
          error: The error.

        Returns:
          The path of the field, as in `limits[2].name`, and the reason.
        """
        # The quoted value may contain the separator, so the last one counts.
        reason, separator, path = str(error).rpartition(_PATH_SEPARATOR)
        if not separator:
            return cls('', path[:_MAX_CHARACTERS])
        field = path.rstrip('`').removeprefix('.')
        return cls(field[:_MAX_CHARACTERS], reason[:_MAX_CHARACTERS])

    def describe(self) -> str:
        """Return the field and the reason in one line."""
        field = self.field or 'content'
        return f'{field}: {self.reason}'
