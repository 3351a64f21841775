"""Estimate the load of experts from late, missing and drifting counts."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from linnetwind.placement_types import GroupLoad

_SMOOTHING = 0.5
_MIN_TRUST = 0.1


@dataclass(frozen=True)
class LoadEstimate:
    """A smoothed load, and how much of it persists from count to count.

    `trust` is 1 when each count resembles the last one and falls towards 0 when
    they have nothing in common. Gains are counted only for that fraction of the
    horizon.
    """

    load: GroupLoad | None = None
    trust: float = 1


def update_load_estimate(
    estimate: LoadEstimate,
    tokens: Sequence[Sequence[float]],
    slowness: Sequence[float],
) -> LoadEstimate:
    """Return the estimate updated with a new count.

    Args:
      estimate: The estimate so far.
      tokens: The tokens of each expert by layer since the last count. A layer
        without any keeps its previous load, since its count may be missing.
      slowness: The slowness factor of each rank.

    Returns:
      The new estimate.
    """
    if estimate.load is None:
        first = GroupLoad(
            tuple(tuple(layer) for layer in tokens), tuple(slowness)
        )
        return LoadEstimate(first)
    layers = []
    overlaps = []
    for old, new in zip(estimate.load.tokens, tokens, strict=True):
        if sum(new) > 0:
            scaled = _scaled(new, sum(old))
            overlaps.append(_overlap(old, scaled))
            layers.append(_blend(old, scaled))
        else:
            layers.append(old)
    trust = estimate.trust
    if overlaps:
        persistence = sum(overlaps) / len(overlaps)
        trust += (persistence - trust) * _SMOOTHING
    load = GroupLoad(tuple(layers), tuple(slowness))
    return replace(estimate, load=load, trust=max(trust, _MIN_TRUST))


def _scaled(tokens: Sequence[float], total: float) -> tuple[float, ...]:
    # Only the proportions matter: an interval with few requests must not look
    # like a change of demand.
    factor = total / sum(tokens) if total else 1
    return tuple(count * factor for count in tokens)


def _overlap(old: Sequence[float], new: Sequence[float]) -> float:
    total = sum(old)
    if not total:
        return 1
    shared = sum(min(pair) for pair in zip(old, new, strict=True))
    return shared / total


def _blend(old: Sequence[float], new: Sequence[float]) -> tuple[float, ...]:
    return tuple(
        before + (after - before) * _SMOOTHING
        for before, after in zip(old, new, strict=True)
    )
