"""Tests of decoding valid, malformed and almost valid configurations."""

import json
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.bad_format import BadFormat
from linnetwind.call_policy import Denied, allow
from linnetwind.call_types import RequestFacts
from linnetwind.platform.table_format import decode_table
from linnetwind.routes import RouteTable
from standins.bad_messages import MISSING, near_misses, plain_json
from standins.platform_cluster import configuration

SECOND = timedelta(seconds=1)
BOUNDED = settings(max_examples=150, derandomize=True, deadline=None)
TABLE = {
    **configuration(3, 'plain', 'model', targetGapMs=120),
    'tenants': [{'name': 'c', 'apiKeys': ['k'], 'priority': 1}],
}
# Customers are optional: all callers may be anonymous.
NEEDED = {
    field: TABLE[field] for field in ('version', 'routes', 'services', 'limits')
}
ENGINE = {
    'slots': 6,
    'kvTokenCapacity': 140_000,
    'linkMbps': 180_000.0,
    'stride': 4,
    'step_ms': 4.55,
    'per_seq_ms': 1.81,
    'context_per_k': 0.0366,
    'read_per_s': 61_400,
    'chunk': 512,
    'sets': 4,
    'experts': 64,
    'placements': 5,
    'spare': 2,
    'expertMb': 2500,
    'expertShare': 0.85,
    'form_ms': 600,
}


def _table(fields):
    return decode_table(json.dumps(fields).encode())


def test_a_configuration_with_an_engine_is_decoded():
    service = {'name': 'model', 'healthCheck': '/h', 'engine': ENGINE}
    table = _table({**TABLE, 'services': [service]})
    engine = table.services['model'].engine
    assert (engine.tokens_per_ms, engine.form_ms) == (61.4, 600)
    assert engine.copy_ms == pytest.approx(111.1, abs=0.1)


def test_the_cold_time_of_a_service_is_decoded():
    cold = {'name': 'plain', 'coldS': 2.5, 'coldPerS': 12}
    table = _table({**TABLE, 'services': [cold, {'name': 'model'}]})
    plain, model = table.services['plain'], table.services['model']
    assert (plain.cold_time, plain.cold_per_s) == (timedelta(seconds=2.5), 12)
    assert (model.cold_time, model.cold_per_s) == (timedelta(), 0)


def _denied_status(fields, key):
    facts = RequestFacts('id', 'a.example', '/x/1', SECOND, key, None, '')
    decision = allow(_table(fields), facts)
    return decision.status if isinstance(decision, Denied) else None


@pytest.mark.parametrize('key', ['revoked', '', None])
@pytest.mark.parametrize(
    'customers',
    [
        pytest.param([{'name': 'c', 'apiKeys': []}], id='no key is left'),
        pytest.param([], id='no customer is left'),
        pytest.param(None, id='null'),
        pytest.param([{'name': 'c', 'apiKeys': ['k']}], id='other key'),
    ],
)
def test_callers_are_denied_once_the_last_key_is_revoked(customers, key):
    # A configuration whose last key was revoked let every caller in.
    keyed = configuration(4, 'plain', anonymous=False)
    assert _denied_status({**keyed, 'tenants': customers}, key) == 401


def test_callers_need_no_key_if_the_configuration_has_no_customers():
    keyless = configuration(4, 'plain', anonymous=False)
    keyless.pop('tenants')
    assert _denied_status(keyless, None) is None
    assert _denied_status(keyless, 'unknown') is None


def _changed_route(**changes):
    route = {**TABLE['routes'][0], **changes}
    return {key: found for key, found in route.items() if found is not MISSING}


@pytest.mark.parametrize(
    ('field', 'fields'),
    [
        ('version', {**TABLE, 'version': '3'}),
        ('version', {**TABLE, 'version': True}),
        ('routes', {**TABLE, 'routes': {}}),
        ('tenants', {**TABLE, 'tenants': {}}),
        ('limits.headerBytes', {**TABLE, 'limits': {}}),
        *(
            (
                'tenants[0].priority',
                {
                    **TABLE,
                    'tenants': [{**TABLE['tenants'][0], 'priority': bad}],
                },
            )
            for bad in (-1, 0.5, '0')
        ),
        ('tenants[0].apiKeys', {**TABLE, 'tenants': [{'name': 'c'}]}),
        *(
            (
                f'services[0].{field}',
                {**TABLE, 'services': [{'name': 'plain', field: bad}]},
            )
            for field, bad in (
                ('coldS', -1),
                ('coldS', 1e300),
                ('coldPerS', -1),
                ('coldPerS', '4'),
            )
        ),
        *(
            (
                f'routes[0].{field}',
                {**TABLE, 'routes': [_changed_route(**{field: bad})]},
            )
            for field, bad in (
                ('kind', 'other'),
                ('timeoutMs', 1e300),
                ('timeoutMs', -1),
                ('pathPrefix', 'x/'),
                ('service', MISSING),
                ('trafficSplit', [{'service': 'plain', 'weight': 0}]),
                ('trafficSplit', {'service': 'plain'}),
                ('anonymous', 'no'),
                ('maxAttempts', 2.5),
                ('priority', -1),
                ('priority', 1.5),
                ('priority', '1'),
            )
        ),
    ],
)
def test_the_error_for_a_malformed_configuration_names_the_field(field, fields):
    assert isinstance(_table(TABLE), RouteTable)
    assert _table(fields).field == field


@BOUNDED
@given(near_misses(NEEDED))
def test_a_configuration_that_is_nearly_good_is_an_error(fields):
    assert not isinstance(_table(fields), RouteTable)


@BOUNDED
@given(st.binary() | plain_json().map(lambda each: json.dumps(each).encode()))
def test_any_content_is_a_configuration_or_an_error(content):
    found = decode_table(content)
    assert isinstance(found, BadFormat)
    assert found.reason
