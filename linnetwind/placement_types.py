"""Data types for expert maps, expert load and plans."""

from dataclasses import dataclass

# The expert in each slot of a layer, rank by rank: slot s of rank r is at
# position r * slots_per_rank + s.
LayerMap = tuple[int, ...]


@dataclass(frozen=True)
class ExpertMap:
    """The expert in each slot of each rank, for each layer."""

    slots_per_rank: int
    layers: tuple[LayerMap, ...]

    @property
    def ranks(self) -> int:
        """Return the number of ranks."""
        return len(self.layers[0]) // self.slots_per_rank


@dataclass(frozen=True)
class GroupLoad:
    """The tokens of each expert by layer, and the slowness of each rank.

    `slowness` is 1 for a rank of usual speed and 2 for one that takes twice as
    long for the same tokens.
    """

    tokens: tuple[tuple[float, ...], ...]
    slowness: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CopyLimits:
    """How many experts that a rank does not hold one plan may copy to it.

    `per_rank` bounds the time that the copies take; `per_layer` is the number
    that the engine accepts at once in a layer. `blank` is the expert number
    that stands for an empty slot, which needs no copy.
    """

    per_rank: int
    per_layer: int
    blank: int


@dataclass(frozen=True)
class PlacementPrices:
    """The weights that compare what a plan gains with what it costs.

    `horizon` is the time in seconds over which a gain is counted.
    `seconds_per_move` is the cost of moving one expert, in seconds for which
    the move occupies the weight store and a rank. `skew_weight` multiplies the
    gain, `cost_weight` the cost. `max_moves` bounds the moves of one plan;
    `copies` is None if copies are not limited.
    """

    horizon: float
    skew_weight: float
    cost_weight: float
    seconds_per_move: float
    max_moves: int
    copies: CopyLimits | None = None


@dataclass(frozen=True, slots=True)
class Move:
    """Load an expert into a slot, replacing the expert that it held."""

    layer: int
    slot: int
    expert: int


@dataclass(frozen=True)
class Plan:
    """The next map, the moves that lead to it, and why planning stopped."""

    target: ExpertMap
    moves: tuple[Move, ...]
    skew_before: float
    skew_after: float
    reason: str
