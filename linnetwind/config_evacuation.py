"""Prepares the publishes that evacuate a data centre, or cancel that.

The evacuations are a part of the configuration of their own: publishing the
operators' files replaces the base and the overlays, and must not cancel one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

import msgspec

from linnetwind.config import Deployment, EvacuatedSite
from linnetwind.config_fold import (
    EVACUATED_PART,
    ConfigState,
    PartUpdate,
    Publish,
    pack_part,
)


@dataclass(frozen=True)
class UnknownSite:
    """The configuration in force has no data centre of this name."""

    name: str
    known: tuple[str, ...]

    def describe(self) -> str:
        """Return the name and those that exist."""
        if not self.known:
            return f'{self.name}: no configuration is in force'
        names = ', '.join(self.known)
        return f'{self.name}: no such data centre; there are: {names}'


@dataclass(frozen=True)
class EvacuationChange:
    """An operator's request to evacuate a data centre, or to cancel that."""

    site: str
    cancel: bool
    operator: str
    at: datetime


def prepare_evacuation(
    state: ConfigState, change: EvacuationChange, publish_id: str
) -> Publish | UnknownSite:
    """Build the publish of an evacuation or of its cancellation.

    Args:
      state: The configuration in force.
      change: What the operator requests.
      publish_id: A unique id.

    Returns:
      A publish, without updates if nothing would change, or the reason why
      there is none.
    """
    deployment = state.deployment
    evacuated = deployment.evacuated if deployment else ()
    others = [each for each in evacuated if each.site != change.site]
    known = _sites(deployment)
    if change.site not in known:
        return UnknownSite(change.site, known)
    is_evacuated = len(others) < len(evacuated)
    if is_evacuated is not change.cancel:
        return Publish(publish_id, change.operator, ())
    if not change.cancel:
        requested_at = change.at.isoformat(timespec='seconds')
        others.append(EvacuatedSite(change.site, change.operator, requested_at))
    update = _make_update(state, others)
    return Publish(publish_id, change.operator, (update,))


def _make_update(
    state: ConfigState, evacuated: Iterable[EvacuatedSite]
) -> PartUpdate:
    part = state.parts.get(EVACUATED_PART)
    ordered = sorted(evacuated, key=lambda each: each.site)
    document = pack_part(msgspec.to_builtins(ordered))
    return PartUpdate(EVACUATED_PART, part.revision if part else 0, document)


def _sites(deployment: Deployment | None) -> tuple[str, ...]:
    if deployment is None:
        return ()
    return tuple(sorted(each.name for each in deployment.base.sites))
