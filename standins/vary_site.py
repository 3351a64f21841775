"""Writes a changed copy of a deployment file, to play deployments not seen.

    python -m standins.vary_site SITE TARGET [--seed N] [--only NAME,...]

What a deployment may differ in is changed by chance; all else is kept. The
copy holds the users' file, so it is written outside the repository.
"""

import argparse
import copy
import math
import random
import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from random import Random
from typing import Any

from standins.toml_text import write_toml

Table = dict[str, Any]

# The classes of machines in a deployment file.
HOSTS = 'front'
SIDES = 'side'
MOST_HOSTS_A_ZONE = 3
MOST_SPARE_HOSTS = 2
MOST_CORES = 4
# Sizes of groups to choose from.
RANKS = (8, 12, 16, 24)
MOST_GROUPS = 2
# Places for experts in a group, against what each expert once would take; with
# fewer a map has no choice.
PLACES_AN_EXPERT = 1.25
# Factors for figures that may differ between deployments.
WIDE = (0.5, 0.7, 1.4, 2.0)
NARROW = (0.75, 0.9, 1.25, 1.5)
LOADS = (0.5, 0.8, 1.1)
DISTANCES = (1.5, 3.0, 8.0)


def vary(site: Mapping[str, Any], seed: int, only: Iterable[str]) -> Table:
    """Return a changed deployment.

    Args:
      site: The content of a deployment file.
      seed: What is changed and how follows from it.
      only: The names of the changes to make; if empty, half of all, by chance.

    Returns:
      A copy with the changes, its name told apart by the seed.
    """
    luck = random.Random(seed)
    names = sorted(only) or sorted(
        luck.sample(list(CHANGES), len(CHANGES) // 2)
    )
    varied = copy.deepcopy(dict(site))
    varied['name'] = f'{site["name"]}-varied-{seed}'
    for name in names:
        CHANGES[name](varied, luck)
    return varied


def _vary_hosts(site: Table, luck: Random) -> None:
    for machine in _machines(site, HOSTS):
        machine['count'] = luck.randint(1, MOST_HOSTS_A_ZONE)
        machine['spare'] = luck.randint(0, MOST_SPARE_HOSTS)


def _vary_cores(site: Table, luck: Random) -> None:
    for machine in _machines(site, HOSTS):
        machine['cores'] = luck.randint(2, MOST_CORES)


def _vary_groups(site: Table, luck: Random) -> None:
    for service in _model_services(site):
        ranks, groups = luck.choice(RANKS), luck.randint(1, MOST_GROUPS)
        joint = service['llm']['joint']
        least = math.ceil(joint['experts'] * PLACES_AN_EXPERT / ranks)
        joint['ranks'] = ranks
        joint['places'] = max(joint['places'], least)
        before = sum(each['count'] for each in service['servers'])
        counts = _dealt(ranks * groups, len(service['servers']))
        for servers, count in zip(service['servers'], counts, strict=True):
            servers['count'] = count
            _place_sides(site, service['name'], servers['zone'], count)
        _scale_traffic(site, ranks * groups / before)


def _dealt(total: int, parts: int) -> list[int]:
    return [(total + part) // parts for part in range(parts)]


def _place_sides(site: Table, service: str, zone: str, count: int) -> None:
    for machine in _machines(site, SIDES):
        if machine['app'] == service and machine['zone'] == zone:
            machine['count'] = count


def _vary_slots(site: Table, luck: Random) -> None:
    for service in site['services']:
        service['slots'] = max(2, round(service['slots'] * luck.choice(NARROW)))
        if 'llm' in service:
            service['llm']['batch'] = service['slots']


def _vary_bounds(site: Table, luck: Random) -> None:
    bounds = site['bounds']
    for name in ('drain_ms', 'config_ms', 'grace_s', 'recover_s'):
        whole = isinstance(bounds[name], int)
        changed = bounds[name] * luck.choice(NARROW)
        bounds[name] = round(changed) if whole else float(round(changed))


def _vary_allowance(site: Table, luck: Random) -> None:
    bounds = site['bounds']
    bounds['budget_slack'] = round(
        bounds['budget_slack'] * luck.choice(WIDE), 1
    )


def _require_fencing(site: Table, _luck: Random) -> None:
    site['bounds']['fenced'] = True


def _vary_rates(site: Table, luck: Random) -> None:
    _scale_traffic(site, luck.choice(LOADS))


def _scale_traffic(site: Table, factor: float) -> None:
    for traffic in _traffic(site):
        traffic['per_s'] = round(traffic['per_s'] * factor, 2)


def _hide_load(site: Table, luck: Random) -> None:
    luck.choice(site['services'])['load_header'] = False


def _vary_heartbeat(site: Table, luck: Random) -> None:
    discovery = site['discovery']
    discovery['beat_ms'] = round(discovery['beat_ms'] * luck.choice(NARROW))


def _vary_customers(site: Table, luck: Random) -> None:
    count = site['tenants']['count'] * luck.choice(WIDE)
    site['tenants']['count'] = max(2, round(count))


def _vary_distances(site: Table, luck: Random) -> None:
    site['net']['cross_zone_ms'] *= luck.choice(DISTANCES)


def _vary_timeouts(site: Table, luck: Random) -> None:
    for kind in site['classes']:
        # A timeout beyond the deadline is never reached.
        changed = kind['timeout_ms'] * luck.choice(NARROW)
        kind['timeout_ms'] = min(round(changed), kind['deadline_ms'])


def _machines(site: Table, name: str) -> Iterator[Table]:
    return (each for each in site['machines'] if each['class'] == name)


def _model_services(site: Table) -> Iterator[Table]:
    return (each for each in site['services'] if 'joint' in each.get('llm', {}))


def _traffic(site: Table) -> Iterator[Table]:
    yield from site['traffic']
    for day in site['day']:
        yield from day.get('traffic', [])


CHANGES: Mapping[str, Callable[[Table, Random], None]] = {
    'hosts': _vary_hosts,
    'cores': _vary_cores,
    'groups': _vary_groups,
    'slots': _vary_slots,
    'bounds': _vary_bounds,
    'allowance': _vary_allowance,
    'fencing': _require_fencing,
    'rates': _vary_rates,
    'load-header': _hide_load,
    'heartbeat': _vary_heartbeat,
    'customers': _vary_customers,
    'distances': _vary_distances,
    'timeouts': _vary_timeouts,
}


def main() -> None:
    """Write a changed copy of a deployment file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('site', type=Path)
    parser.add_argument('target', type=Path)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', default='', help=', '.join(CHANGES))
    asked = parser.parse_args()
    site = tomllib.loads(asked.site.read_text())
    only = [name for name in asked.only.split(',') if name]
    if not CHANGES.keys() >= set(only):
        parser.error(f'--only takes {", ".join(CHANGES)}')
    varied = vary(site, asked.seed, only)
    asked.target.write_text(write_toml(varied))


if __name__ == '__main__':
    main()
