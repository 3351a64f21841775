"""Reads a base with its overlays, and validates them together."""

from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TypeVar

import yaml

from linnetwind.config import Base, Deployment, Overlay
from linnetwind.convert import structure
from linnetwind.errors import (
    ConfigError,
    DanglingReference,
    DuplicateName,
    FileError,
    ValueProblem,
)

BASE_FILE = 'base.yaml'
OVERLAY_FOLDER = 'overlays'

_BASE = 'base'
_EVACUATED = 'evacuated'

Loaded = TypeVar('Loaded')


def load_yaml(
    path: Path, target: type[Loaded]
) -> tuple[Loaded | None, list[ConfigError]]:
    """Read one YAML file into a data class.

    Args:
      path: The file.
      target: The data class.

    Returns:
      An instance of the data class, or None if there are errors; the errors.
    """
    try:
        plain = yaml.load(path.read_text('utf-8'), yaml.CSafeLoader)
    except (OSError, UnicodeDecodeError) as error:
        return None, [FileError(str(path), f'cannot be read: {error}')]
    except yaml.YAMLError as error:
        problem = ' '.join(str(error).split())
        return None, [FileError(str(path), f'not YAML: {problem}')]
    return structure(plain, target, str(path))


def load_deployment(
    folder: Path,
) -> tuple[Deployment | None, list[ConfigError]]:
    """Read the base and all overlays in a folder, and validate them together.

    Args:
      folder: Contains `base.yaml` and, in `overlays/`, one file per site.

    Returns:
      The deployment, or None if there are errors; the errors.
    """
    base, errors = load_yaml(folder / BASE_FILE, Base)
    overlays = []
    for path in sorted((folder / OVERLAY_FOLDER).glob('*.yaml')):
        overlay, overlay_errors = load_yaml(path, Overlay)
        errors.extend(overlay_errors)
        if overlay is not None:
            overlays.append(overlay)
    if base is None or errors:
        return None, errors
    deployment = Deployment(base, tuple(overlays))
    errors = check_deployment(deployment)
    return (None if errors else deployment), errors


def deployment_from_plain(
    plain: Any,
) -> tuple[Deployment | None, list[ConfigError]]:
    """Build a deployment from its published form, and validate it.

    Args:
      plain: Maps, lists and scalars, as `config_fold` unpacks them.

    Returns:
      The deployment, or None if there are errors; the errors.
    """
    deployment, errors = structure(plain, Deployment, 'published')
    if deployment is None:
        return None, errors
    errors = check_deployment(deployment)
    return (None if errors else deployment), errors


def check_deployment(deployment: Deployment) -> list[ConfigError]:
    """Validate the names and references of a base with all its overlays.

    Args:
      deployment: The base and the overlays.

    Returns:
      All errors, those of the base first.
    """
    errors = list(_base_errors(deployment.base))
    for overlay in deployment.overlays:
        errors.extend(_overlay_errors(deployment.base, overlay))
    sites = (part.site for part in deployment.overlays)
    errors.extend(_duplicates('overlays', 'site', sites))
    known = [site.name for site in deployment.base.sites]
    evacuated = [each.site for each in deployment.evacuated]
    errors.extend(_dangling(_EVACUATED, 'site', evacuated, known, 'site'))
    return errors


def _base_errors(base: Base) -> Iterator[ConfigError]:
    sites = {site.name for site in base.sites}
    upstreams = [up for service in base.services for up in service.upstreams]
    names = [up.name for up in upstreams]
    yield from _duplicates(_BASE, 'sites', (site.name for site in base.sites))
    yield from _duplicates(
        _BASE, 'services', (service.name for service in base.services)
    )
    yield from _duplicates(_BASE, 'upstreams', names)
    yield from _duplicates(
        _BASE, 'customers', (customer.name for customer in base.customers)
    )
    yield from _duplicates(
        _BASE,
        'customers.key_sha256',
        (customer.key_sha256 for customer in base.customers),
    )
    for upstream in upstreams:
        key = f'upstreams.{upstream.name}.site'
        yield from _dangling(_BASE, key, [upstream.site], sites, 'site')
    yield from _dangling(_BASE, 'drained', base.drained, names, 'upstream')
    yield from _group_errors(base)


def _group_errors(base: Base) -> Iterator[ConfigError]:
    members = {
        service.name: {upstream.name for upstream in service.upstreams}
        for service in base.services
    }
    yield from _duplicates(
        _BASE, 'groups', (group.name for group in base.groups)
    )
    yield from _duplicates(
        _BASE,
        'groups.ranks',
        (rank for group in base.groups for rank in group.ranks),
    )
    for group in base.groups:
        key = f'groups.{group.name}'
        yield from _dangling(
            _BASE, f'{key}.service', [group.service], members, 'service'
        )
        known = members.get(group.service, set())
        yield from _dangling(
            _BASE, f'{key}.ranks', group.ranks, known, 'upstream'
        )
        slots = len(group.ranks) * group.slots_per_rank
        if slots < group.experts:
            yield ValueProblem(
                _BASE,
                f'{key}.slots_per_rank',
                str(group.slots_per_rank),
                f'{slots} slots cannot hold {group.experts} experts',
            )


def _overlay_errors(base: Base, overlay: Overlay) -> Iterator[ConfigError]:
    file = f'overlay {overlay.site}'
    sites = [site.name for site in base.sites]
    customers = [customer.name for customer in base.customers]
    groups = [group.name for group in base.groups]
    upstreams = [
        upstream.name
        for service in base.services
        for upstream in service.upstreams
        if upstream.site == overlay.site
    ]
    overridden = [customer.name for customer in overlay.customers]
    groups_placed = [placement.group for placement in overlay.placements]
    yield from _dangling(file, 'site', [overlay.site], sites, 'site')
    yield from _dangling(file, 'customers', overridden, customers, 'customer')
    yield from _dangling(file, 'placements', groups_placed, groups, 'group')
    yield from _dangling(
        file, 'drained', overlay.drained, upstreams, 'upstream of this site'
    )
    yield from _duplicates(file, 'customers', overridden)
    yield from _duplicates(file, 'placements', groups_placed)


def _duplicates(
    file: str, key: str, names: Iterable[str]
) -> Iterator[DuplicateName]:
    for name, count in Counter(names).items():
        if count > 1:
            yield DuplicateName(file, key, name)


def _dangling(
    file: str,
    key: str,
    names: Iterable[str],
    known: Iterable[str],
    kind: str,
) -> Iterator[DanglingReference]:
    accepted = set(known)
    for name in names:
        if name not in accepted:
            yield DanglingReference(file, key, name, kind)
