"""The notes, orders and statuses of the expert-map switch.

The side daemons of a group's ranks exchange notes; each side daemon sends
orders to its own engine. Both may be lost, late or duplicated; `mapswitch`
explains why that is safe.
"""

import enum
from dataclasses import dataclass

from linnetwind.codec import Codec


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """Identifies one attempt to switch the group to a map.

    `epoch` is the coordinator's fencing number, `number` counts its attempts,
    and `coordinator` is the rank whose side daemon coordinates.
    """

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
    """The status of a rank as its engine reports it.

    `generation` grows with each restart of the rank. `step` is the next or
    current step, and `entered` tells whether the rank is in it. `map_id` is
    None until the rank has been started. `armed` is the arming in force,
    `confirmed` whether it may take effect. `switched` is the last attempt
    that took effect. `staged` are the maps whose experts are loaded.
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
        """Return whether the rank has neither a map nor an arming yet."""
        return self.map_id is None and self.armed is None

    @property
    def holding(self) -> bool:
        """Return whether the rank waits at its step for the decision."""
        armed = self.armed
        if armed is None or self.confirmed or self.entered:
            return False
        return armed.step == self.step


@dataclass(frozen=True, slots=True)
class Prepare:
    """The coordinator's request to load a map's experts."""

    attempt: Attempt
    map_id: str


@dataclass(frozen=True, slots=True)
class Prepared:
    """A rank's reply that the experts are loaded.

    `generation` and `incarnation` are those that an arming must match.
    """

    attempt: Attempt
    rank: int
    generation: int
    incarnation: int
    step: int
    is_new: bool


@dataclass(frozen=True, slots=True)
class Member:
    """The generation and incarnation with which a rank prepared."""

    generation: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class Arm:
    """The coordinator's request to arm; `members` are in rank order."""

    arming: Arming
    members: tuple[Member, ...]


class Verdict(enum.IntEnum):
    """A rank's verdict on an attempt; it is final once sent."""

    ARMED = 1
    REFUSED = 2


@dataclass(frozen=True, slots=True)
class Vote:
    """A rank's reply to a `Query`.

    `query_incarnation` is the incarnation of the side daemon that sent the
    query.
    """

    attempt: Attempt
    rank: int
    generation: int
    verdict: Verdict
    query_incarnation: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """Tells a rank that all ranks were armed and the switch is decided."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Query:
    """A request of the coordinator or a waiting rank for a verdict."""

    attempt: Attempt
    rank: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class JoinQuery:
    """A restarted rank's request for its peers' steps, maps and armings."""

    rank: int
    generation: int


@dataclass(frozen=True, slots=True)
class JoinReply:
    """A peer's reply to a `JoinQuery`.

    `generation` is that of the query. `map_id` is None if the peer has not
    been started since its own restart.
    """

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
    """Send a note to the side daemon of a rank."""

    target: int
    note: Note


@dataclass(frozen=True, slots=True)
class OrderStage:
    """Load the experts of a map in addition to those in use."""

    map_id: str


@dataclass(frozen=True, slots=True)
class OrderArm:
    """Arm the rank; the engine refuses it once the step has passed."""

    generation: int
    arming: Arming


@dataclass(frozen=True, slots=True)
class OrderConfirm:
    """Let the armed rank continue with the new map."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class OrderDisarm:
    """Let the armed rank continue with the old map, unless confirmed."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class OrderStart:
    """Start a restarted rank at its group's step, armed like its peers.

    Starting and arming are one order. If they were two, the rank could pass
    the step with the old map in between, while its peers use the new one.
    """

    generation: int
    step: int
    map_id: str | None
    armed: Arming | None
    switched: Attempt | None


Order = OrderStage | OrderArm | OrderConfirm | OrderDisarm | OrderStart
Action = Send | Order
