"""The notes, orders and statuses of the expert-map switch.

Notes go between the sides of a group's ranks, orders from a side to its
engine. Both may be lost, late or repeated; `mapswitch` says why that does
no harm.
"""

import enum
from dataclasses import dataclass

from linnetwind.codec import Codec


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """One try to switch; `epoch` is the coordinator's fencing number."""

    epoch: int
    number: int
    coordinator: int


@dataclass(frozen=True, slots=True)
class Arming:
    """An attempt with the step at which it would take effect."""

    attempt: Attempt
    step: int
    map_id: str


@dataclass(frozen=True, slots=True)
class RankStatus:
    """What an engine says of its rank.

    `generation` grows with each restart of the rank. `step` is the next or
    current step, `entered` whether the rank is in it. `map_id` is None
    until the rank has been started. `switched` is the last attempt that
    took effect.
    """

    generation: int
    step: int = 0
    entered: bool = False
    map_id: str | None = None
    armed: Arming | None = None
    confirmed: bool = False
    switched: Attempt | None = None
    staged: frozenset[str] = frozenset()

    @property
    def is_new(self) -> bool:
        """Return whether the rank was restarted and not started yet."""
        return self.map_id is None and self.armed is None

    @property
    def holding(self) -> bool:
        """Return whether the rank waits for a decision."""
        armed = self.armed
        if armed is None or self.confirmed or self.entered:
            return False
        return armed.step == self.step


@dataclass(frozen=True, slots=True)
class Prepare:
    """The coordinator asks to load a map's experts."""

    attempt: Attempt
    map_id: str


@dataclass(frozen=True, slots=True)
class Prepared:
    """The experts are loaded; names what an arming must match."""

    attempt: Attempt
    rank: int
    generation: int
    incarnation: int
    step: int
    is_new: bool


@dataclass(frozen=True, slots=True)
class Member:
    """A rank as it was when it had prepared."""

    generation: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class Arm:
    """The coordinator asks to arm; `members` are all ranks in order."""

    arming: Arming
    members: tuple[Member, ...]


class Verdict(enum.IntEnum):
    """What a rank says of an attempt; neither answer ever changes."""

    ARMED = 1
    REFUSED = 2


@dataclass(frozen=True, slots=True)
class Vote:
    """A rank's verdict, for the incarnation of a side that asked for it."""

    attempt: Attempt
    rank: int
    generation: int
    verdict: Verdict
    asked_by: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """All ranks were armed."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Query:
    """The coordinator or a waiting rank asks for a verdict."""

    attempt: Attempt
    rank: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class JoinQuery:
    """A restarted rank asks where the group is."""

    rank: int
    generation: int


@dataclass(frozen=True, slots=True)
class JoinReply:
    """A peer's answer; `map_id` is None if it was restarted itself."""

    rank: int
    generation: int
    step: int
    map_id: str | None
    armed: Arming | None
    switched: Attempt | None


Note = Prepare | Prepared | Arm | Vote | Confirm | Query | JoinQuery | JoinReply
NOTE_CODEC = Codec(
    (Prepare, Prepared, Arm, Vote, Confirm, Query, JoinQuery, JoinReply)
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a note to another rank's side."""

    target: int
    note: Note


@dataclass(frozen=True, slots=True)
class OrderStage:
    """Load the experts of a map beside those in use."""

    map_id: str


@dataclass(frozen=True, slots=True)
class OrderArm:
    """Arm the rank. Refused once its step has passed."""

    generation: int
    arming: Arming


@dataclass(frozen=True, slots=True)
class OrderConfirm:
    """Let the armed rank go on with the new map."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class OrderDisarm:
    """Let the armed rank go on with the old map, unless confirmed."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class OrderStart:
    """Start a restarted rank where its group is, armed as its peers are.

    One order and not two: between a start and a later arming the rank could
    pass the step with the old map while its peers use the new one.
    """

    generation: int
    step: int
    map_id: str | None
    armed: Arming | None
    switched: Attempt | None


Order = OrderStage | OrderArm | OrderConfirm | OrderDisarm | OrderStart
Action = Send | Order
