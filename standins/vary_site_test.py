"""Tests of deployments that are changed by chance."""

import math
import tomllib

import pytest

from standins.toml_text import write_toml
from standins.vary_site import CHANGES, vary

SITE = tomllib.loads("""
name = "harbour"
label = "a \\"quoted\\" name"
machines = [
  { class = "front", zone = "east", count = 2, spare = 0, cores = 1 },
  { class = "front", zone = "west", count = 1, spare = 0, cores = 1 },
  { class = "side", zone = "east", count = 8, spare = 0, app = "model" },
  { class = "side", zone = "west", count = 8, spare = 0, app = "model" },
]
services = [
  { name = "model", slots = 12, load_header = true, servers = [{ zone = "east", count = 8 }, { zone = "west", count = 8 }], llm = { batch = 12, joint = { ranks = 16, experts = 64, places = 5 } } },
  { name = "plain", slots = 6, load_header = true, servers = [{ zone = "east", count = 2 }] },
]
classes = [{ name = "question", timeout_ms = 8000, deadline_ms = 9000 }]
traffic = [{ zone = "east", per_s = 20.0, mix = { question = 1.0 } }]

[bounds]
drain_ms = 2000
config_ms = 2000
grace_s = 8.0
recover_s = 12.0
budget_slack = 90.0
fenced = false

[discovery]
beat_ms = 1200

[net]
cross_zone_ms = 0.9

[tenants]
count = 10

[[day]]
name = "quiet"
traffic = [{ zone = "east", per_s = 10.0, mix = { question = 1.0 } }]
faults = [{ at = 2.0, kind = "kill", share = 0.5 }]

[[day]]
name = "without-own-traffic"
faults = []
""")


def _sums(site):
    model = site['services'][0]
    sides = [each for each in site['machines'] if each['class'] == 'side']
    return (
        [each['count'] for each in model['servers']],
        [each['count'] for each in sides],
    )


def test_a_written_deployment_reads_as_it_was():
    assert tomllib.loads(write_toml(SITE)) == SITE


@pytest.mark.parametrize('seed', range(20))
def test_a_varied_deployment_can_be_written_and_differs(seed):
    varied = vary(SITE, seed, [])
    assert tomllib.loads(write_toml(varied)) == varied
    assert vary(SITE, seed, []) == varied
    assert {**varied, 'name': SITE['name']} != SITE


@pytest.mark.parametrize('name', sorted(CHANGES))
def test_a_change_touches_nothing_else(name):
    before = write_toml(SITE)
    varied = vary(SITE, 3, [name])
    assert write_toml(SITE) == before
    assert varied.keys() == SITE.keys()
    assert [day['faults'] for day in varied['day']] == [
        day['faults'] for day in SITE['day']
    ]


@pytest.mark.parametrize('seed', range(20))
def test_a_varied_group_has_its_sides_and_room_for_all_experts(seed):
    varied = vary(SITE, seed, ['groups'])
    servers, sides = _sums(varied)
    joint = varied['services'][0]['llm']['joint']
    assert servers == sides
    assert sum(servers) % joint['ranks'] == 0
    assert joint['places'] * joint['ranks'] > joint['experts']


def test_traffic_grows_with_the_groups_on_all_days():
    varied = vary(SITE, 5, ['groups'])
    grown = sum(_sums(varied)[0]) / 16
    assert math.isclose(varied['traffic'][0]['per_s'], 20 * grown, abs_tol=0.1)
    own = varied['day'][0]['traffic'][0]['per_s']
    assert math.isclose(own, 10 * grown, abs_tol=0.1)


def test_what_cannot_be_written_is_refused():
    with pytest.raises(TypeError, match='None'):
        write_toml({'nothing': None})
