"""Expert load over time: late, with gaps, and drifting."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from linnetwind.placement_types import GroupLoad

_SMOOTHING = 0.5
_LEAST_TRUST = 0.1


@dataclass(frozen=True)
class LoadEstimate:
    """A smoothed load, and how much of it has lasted from count to count.

    `trust` is 1 when each count looks like the last and falls towards 0
    when they have nothing in common; gains are counted for that part of
    the horizon only.
    """

    load: GroupLoad | None = None
    trust: float = 1


def take_counts(
    estimate: LoadEstimate,
    tokens: Sequence[Sequence[float]],
    slowness: Sequence[float],
) -> LoadEstimate:
    """Take in a new count.

    Args:
      estimate: The estimate before.
      tokens: Tokens per expert in each layer since the last count; a layer
        without any keeps its former load, since its count may be missing.
      slowness: The factor of each rank.

    Returns:
      The estimate after.
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
        lasting = sum(overlaps) / len(overlaps)
        trust += (lasting - trust) * _SMOOTHING
    load = GroupLoad(tuple(layers), tuple(slowness))
    return replace(estimate, load=load, trust=max(trust, _LEAST_TRUST))


def _scaled(tokens: Sequence[float], total: float) -> tuple[float, ...]:
    # Only the mix matters; a quiet interval must not look like a change.
    factor = total / sum(tokens) if total else 1
    return tuple(each * factor for each in tokens)


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
