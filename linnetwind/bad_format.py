"""Says which field of a message from outside is wrong, and why."""

from dataclasses import dataclass
from typing import Self

import msgspec

# Reasons quote what was found, which may be as long as the message.
_MOST_SHOWN = 200
# Stands between the reason and the path in messages of msgspec.
_MARK = ' - at `$'


@dataclass(frozen=True, slots=True)
class BadFormat:
    """A message that is not in its format; `field` is empty for all of it."""

    field: str
    reason: str

    @classmethod
    def of(cls, error: msgspec.MsgspecError) -> Self:
        """Take over what msgspec found.

        Args:
          error: What msgspec raised.

        Returns:
          The path of the field, as in `limits[2].name`, and the reason.
        """
        # What was found may itself hold the mark, so the last one counts.
        reason, mark, path = str(error).rpartition(_MARK)
        if not mark:
            return cls('', path[:_MOST_SHOWN])
        field = path.rstrip('`').removeprefix('.')
        return cls(field[:_MOST_SHOWN], reason[:_MOST_SHOWN])

    def describe(self) -> str:
        """Return field and reason in one line."""
        field = self.field or 'content'
        return f'{field}: {self.reason}'
