"""Expert maps and what is known of the load, as data types."""

from dataclasses import dataclass

# The experts in a layer's slots, rank by rank: slot s of rank r is at
# position r * slots_per_rank + s.
LayerMap = tuple[int, ...]


@dataclass(frozen=True)
class ExpertMap:
    """Which expert is in which slot of which rank, for each layer."""

    slots_per_rank: int
    layers: tuple[LayerMap, ...]

    @property
    def ranks(self) -> int:
        """Return the number of ranks."""
        return len(self.layers[0]) // self.slots_per_rank


@dataclass(frozen=True)
class GroupLoad:
    """Tokens per expert in each layer, and how slow each rank runs.

    `slowness` is 1 for a rank of usual speed and 2 for one that takes
    twice as long for the same tokens.
    """

    tokens: tuple[tuple[float, ...], ...]
    slowness: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CopyLimits:
    """How many experts that are new to a rank one plan may bring there.

    `per_rank` bounds the time that copying takes, `per_layer` is what the
    engine accepts at once. `blank` is the number that stands for an empty
    slot, which needs no copy.
    """

    per_rank: int
    per_layer: int
    blank: int


@dataclass(frozen=True)
class PlacementPrices:
    """What a move is worth and what it costs.

    `horizon` is the time in seconds over which a gain is counted;
    `seconds_per_move` is the time for which moving one expert loads the
    weight store and a rank.
    """

    horizon: float
    skew_weight: float
    cost_weight: float
    seconds_per_move: float
    max_moves: int
    copies: CopyLimits | None = None


@dataclass(frozen=True, slots=True)
class Move:
    """Load an expert into a slot, in place of what was there."""

    layer: int
    slot: int
    expert: int


@dataclass(frozen=True)
class Plan:
    """The next map, the moves to it, and why it is not more or less."""

    target: ExpertMap
    moves: tuple[Move, ...]
    skew_before: float
    skew_after: float
    reason: str
