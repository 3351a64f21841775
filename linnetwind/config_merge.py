"""Applying a site's overlay to the base."""

from dataclasses import replace

from linnetwind.config import (
    Base,
    Customer,
    CustomerOverride,
    Deployment,
    Overlay,
)


def at_site(deployment: Deployment, site: str) -> Base:
    """Return the base as it is in force at one site.

    Drained upstreams are drained everywhere, whichever overlay names them:
    a caller of another site must not be sent to them either. Placement
    overrides, too, hold everywhere, since only one group can be meant.

    Args:
      deployment: The base and all overlays.
      site: The site's name.

    Returns:
      The base with the overlay's values in place of its own.
    """
    base = deployment.base
    for overlay in deployment.overlays:
        base = _everywhere(base, overlay)
        if overlay.site == site:
            base = _at_its_site(base, overlay)
    return base


def _everywhere(base: Base, overlay: Overlay) -> Base:
    settings = {place.group: place.placement for place in overlay.placements}
    groups = tuple(
        replace(group, placement=settings.get(group.name, group.placement))
        for group in base.groups
    )
    drained = (*base.drained, *overlay.drained)
    return replace(base, groups=groups, drained=drained)


def _at_its_site(base: Base, overlay: Overlay) -> Base:
    overrides = {override.name: override for override in overlay.customers}
    customers = tuple(
        _override(customer, overrides.get(customer.name))
        for customer in base.customers
    )
    routing = overlay.routing or base.routing
    return replace(base, customers=customers, routing=routing)


def _override(
    customer: Customer, override: CustomerOverride | None
) -> Customer:
    if override is None:
        return customer
    changes = {
        'requests_per_minute': override.requests_per_minute,
        'tokens_per_minute': override.tokens_per_minute,
        'priority': override.priority,
    }
    given = {key: limit for key, limit in changes.items() if limit is not None}
    return replace(customer, **given)
