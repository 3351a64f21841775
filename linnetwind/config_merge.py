"""Merges the overlays into the base."""

from dataclasses import replace

from linnetwind.config import (
    Base,
    Customer,
    CustomerOverride,
    Deployment,
    Overlay,
)


def effective_base(deployment: Deployment, site: str) -> Base:
    """Return the configuration in force at one site.

    Customer limits and routing settings of an overlay apply at its own site
    only. Drained upstreams and placement settings of every overlay apply at
    all sites: requests from other sites must not be routed to a drained
    upstream either, and a placement names exactly one group. The upstreams of
    an evacuated site count as drained.

    Args:
      deployment: The base and all overlays.
      site: The site's name.

    Returns:
      The base, with the values of the overlays replacing its own.
    """
    base = _drain_evacuated(deployment)
    for overlay in deployment.overlays:
        base = _apply_global(base, overlay)
        if overlay.site == site:
            base = _apply_local(base, overlay)
    return base


def _drain_evacuated(deployment: Deployment) -> Base:
    base = deployment.base
    sites = {each.site for each in deployment.evacuated}
    evacuated = (
        upstream.name
        for service in base.services
        for upstream in service.upstreams
        if upstream.site in sites
    )
    return replace(base, drained=(*base.drained, *evacuated))


def _apply_global(base: Base, overlay: Overlay) -> Base:
    settings = {
        override.group: override.placement for override in overlay.placements
    }
    groups = tuple(
        replace(group, placement=settings.get(group.name, group.placement))
        for group in base.groups
    )
    drained = (*base.drained, *overlay.drained)
    return replace(base, groups=groups, drained=drained)


def _apply_local(base: Base, overlay: Overlay) -> Base:
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
    present = {
        key: limit for key, limit in changes.items() if limit is not None
    }
    return replace(customer, **present)
