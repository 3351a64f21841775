"""Tests of reading operators' files and of the errors reported in them."""

from pathlib import Path

import pytest
import yaml

from linnetwind.config_loader import load_deployment
from linnetwind.config_merge import effective_base
from linnetwind.settings import load_entry_settings

EXAMPLES = Path(__file__).parent.parent / 'examples'


@pytest.fixture
def base():
    return yaml.safe_load((EXAMPLES / 'queretaro' / 'base.yaml').read_text())


def errors_of(tmp_path, base, overlay=None):
    (tmp_path / 'base.yaml').write_text(yaml.safe_dump(base))
    if overlay is not None:
        (tmp_path / 'overlays').mkdir()
        path = tmp_path / 'overlays' / 'site.yaml'
        path.write_text(yaml.safe_dump(overlay))
    _deployment, errors = load_deployment(tmp_path)
    return [error.describe() for error in errors]


@pytest.mark.parametrize('name', ['queretaro', 'qurum'])
def test_examples_are_valid_and_have_the_specified_size(name):
    deployment, errors = load_deployment(EXAMPLES / name)
    assert errors == []
    base = deployment.base
    assert [len(service.upstreams) for service in base.services] == [16, 3]
    assert (len(base.sites), len(base.customers)) == (3, 10)


def test_overlay_changes_only_its_own_site():
    deployment, _errors = load_deployment(EXAMPLES / 'queretaro')
    limits = {
        site: next(
            customer.requests_per_minute
            for customer in effective_base(deployment, site).customers
            if customer.name == 'kiosks-norte'
        )
        for site in ('qro-norte', 'qro-sur')
    }
    assert limits == {'qro-norte': 900, 'qro-sur': 600}


def change(key, value):
    def apply(base):
        container = base
        *parents, last = key
        for step in parents:
            container = container[step]
        container[last] = value

    return apply


BROKEN = [
    (
        change(('services', 0, 'timeout_seconds'), 0),
        ['base.yaml', 'services[0].timeout_seconds', '0', '>= 0.001'],
    ),
    (
        change(('services', 0, 'timeout_seconds'), '60s'),
        ['services[0].timeout_seconds', "'60s'", 'float'],
    ),
    (
        change(('services', 0, 'timeuot'), 3),
        ['services[0].timeuot', 'unknown key', 'timeout_seconds'],
    ),
    (
        change(('services', 0, 'upstreams', 0, 'site'), 'nowhere'),
        ['upstreams.asistente-01.site', "'nowhere' names no site"],
    ),
    (
        change(('groups', 0, 'ranks', 0), 'codigos-01'),
        ["'codigos-01' names no upstream"],
    ),
    (
        change(('groups', 0, 'slots_per_rank'), 1),
        ['slots_per_rank', '16 slots cannot hold 64 experts'],
    ),
    (
        change(('customers', 1, 'name'), 'phone-centre'),
        ["'phone-centre' is defined twice"],
    ),
    (change(('services', 0, 'kind'), 'other'), ['services[0].kind']),
]


@pytest.mark.parametrize('index', range(len(BROKEN)))
def test_error_names_key_value_and_range(tmp_path, base, index):
    apply, expected = BROKEN[index]
    apply(base)
    errors = errors_of(tmp_path, base)
    assert errors
    for text in expected:
        assert any(text in error for error in errors), (text, errors)


def test_overlay_of_an_unknown_site_or_customer_is_an_error(tmp_path, base):
    overlay = {'site': 'moon', 'customers': [{'name': 'nobody'}]}
    errors = errors_of(tmp_path, base, overlay)
    assert any("'moon' names no site" in error for error in errors)
    assert any("'nobody' names no customer" in error for error in errors)


def test_missing_or_malformed_file_is_an_error(tmp_path):
    (tmp_path / 'base.yaml').write_text('a: [')
    _deployment, errors = load_deployment(tmp_path)
    assert 'not YAML' in errors[0].describe()
    _deployment, errors = load_deployment(tmp_path / 'none')
    assert 'cannot be read' in errors[0].describe()


def test_daemon_settings_are_validated(tmp_path):
    path = tmp_path / 'entry.yaml'
    path.write_text('name: e\nlisten: {ip: localhost, port: 99999}\n')
    settings, errors = load_entry_settings(path)
    assert settings is None
    assert errors
