"""Tests of decoding valid, malformed and almost valid entries of upstreams.

Other writers may append entries to the topic of upstreams. If such an entry is
accepted as an upstream, it attracts requests that never get a response. If
decoding it raises, reading stops at its offset, and no later upstream is found.
"""

import json
import re
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.address import Address
from linnetwind.bad_format import BadFormat
from linnetwind.platform.upstream_format import decode_upstream
from linnetwind.record_store import KeyedRecord
from linnetwind.upstreams.upstream_list import Upstream, UpstreamRecord
from standins.bad_messages import BORN, MISSING, near_misses, plain_json

ENTRY = {
    'service': 'plain',
    'address': '10.1.2.3:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 4,
}
DEEPLY_NESTED = '[' * 100_000 + ']' * 100_000
BOUNDED = settings(max_examples=150, derandomize=True, deadline=None)


def _decoded(fields, key='i-1'):
    content = fields if isinstance(fields, bytes) else json.dumps(fields)
    if isinstance(content, str):
        content = content.encode()
    return decode_upstream(KeyedRecord(key, 7, content))


def test_a_good_entry_is_an_upstream():
    assert _decoded(ENTRY) == UpstreamRecord(
        'i-1',
        7,
        Upstream(
            'i-1',
            'plain',
            Address('10.1.2.3', 8080),
            'z',
            slots=6,
            draining=False,
            cold=timedelta(),
        ),
    )


@pytest.mark.parametrize(
    ('field', 'content'),
    [
        ('state', 'draining'),
        ('coldRemainingMs', 12.5),
        ('service', 'not yet named by a configuration'),
        ('born', 0),
        ('born', 1_764_000_000_000),
        ('stage', 'unified'),
        ('models', [{'name': 'm', 'version': 1, 'adapters': []}]),
        ('group', {'name': 'g', 'epoch': 1, 'rank': 3, 'state': 'broken'}),
        ('size', 16),
        ('unknown', {'of': ['no', 'interest']}),
        ('unknown', '"[' * 100),
    ],
)
def test_an_entry_with_other_valid_fields_is_an_upstream(field, content):
    found = _decoded({**ENTRY, field: content})
    assert isinstance(found, UpstreamRecord)
    assert found.upstream.draining == (content == 'draining')
    assert found.upstream.born_ms == (content if field == 'born' else None)


@pytest.mark.parametrize(
    ('field', 'content'),
    [
        *((field, MISSING) for field in ENTRY),
        *(
            (field, None)
            for field in (*ENTRY, 'born', 'stage', 'models', 'group', 'size')
        ),
        *(('state', bad) for bad in ('gone', '', 'READY', 1, True)),
        *(('service', bad) for bad in (5, '', ['plain'], {})),
        *(('slots', bad) for bad in (0, -1, True, '6', 6.0, 1e300, 10**30)),
        *(('zone', bad) for bad in (3, ['z'], {})),
        *(('version', bad) for bad in (1, [])),
        *(('sequence', bad) for bad in (-1, '1', 1.5, False)),
        *(('coldRemainingMs', bad) for bad in (-1, '0', True, 1e300, 10**30)),
        *(('born', bad) for bad in BORN),
        ('group.state', {'name': 'g', 'epoch': 1, 'rank': 3, 'state': ''}),
        ('group', 'g'),
        ('size', '16'),
        *(('stage', bad) for bad in (1, [])),
        *(('models', bad) for bad in ('m', {})),
        ('models[0]', ['m']),
        *(
            ('address', bad)
            for bad in (
                '',
                '10.1.2.3',
                'localhost:80',
                '10.1.2:80',
                '10.1.2.256:80',
                '10.1.2.3:0',
                '10.1.2.3:65536',
                '10.1.2.3:-1',
                '10.1.2.3:8_0',
                '10.1.2.3: 80',
                '10.1.2.3:\u0668\u0660',
                '0.0.0.0:80',
                '255.255.255.255:80',
                ':80',
                80,
                ['10.1.2.3', 80],
            )
        ),
    ],
)
def test_the_error_for_a_malformed_entry_names_the_field(field, content):
    fields = {**ENTRY, re.split('[.[]', field)[0]: content}
    if content is MISSING:
        fields.pop(field)
    found = _decoded(fields)
    assert not isinstance(found, UpstreamRecord)
    assert found.field == field
    assert found.reason


@pytest.mark.parametrize(
    'content',
    [
        b'{}',
        b'[]',
        b'null',
        b'no json',
        b'\xff\xfe',
        b'\x00',
        json.dumps(ENTRY).encode('utf-16'),
        json.dumps(ENTRY).encode()[:-1],
        json.dumps(ENTRY).encode() + b'}',
        json.dumps(ENTRY).replace('"z"', '"\\ud800"').encode(),
        json.dumps(ENTRY).encode().replace(b'"z"', b'"\xff"'),
        json.dumps(ENTRY).replace('6', '1e400').encode(),
        json.dumps(ENTRY).replace('6', '9' * 5000).encode(),
        json.dumps({**ENTRY, 'x': 1})
        .replace('1}', f'{DEEPLY_NESTED}}}')
        .encode(),
        json.dumps({**ENTRY, 'x': 1}).encode().replace(b'"x"', b'"\xff"'),
        DEEPLY_NESTED.encode(),
        b'{"a":' * 5000,
        b'"\\"' * 30_000,
    ],
)
def test_undecodable_bytes_are_an_error_and_not_a_crash(content):
    found = _decoded(content)
    assert not isinstance(found, UpstreamRecord)
    assert found.reason
    assert len(found.reason) <= 200


@pytest.mark.parametrize('key', ['', 'i 1', 'i\r\nX: y', '\ufffd', 'i' * 256])
def test_a_key_that_is_unsafe_in_a_header_is_an_error(key):
    # The key is sent in a header of each request. A line break in it would
    # inject another header, and other characters cannot be sent in a header.
    assert _decoded(ENTRY, key).field == 'key'
    dropped = decode_upstream(KeyedRecord(key, 7, None))
    assert dropped == UpstreamRecord(key, 7, None)


@BOUNDED
@given(
    st.binary(min_size=1)
    | plain_json().map(lambda each: json.dumps(each).encode())
)
def test_any_content_is_an_upstream_or_an_error(content):
    found = _decoded(content)
    assert isinstance(found, BadFormat)
    assert found.reason


@BOUNDED
@given(near_misses(ENTRY))
def test_an_entry_that_is_nearly_good_is_an_error(fields):
    found = _decoded(fields)
    assert not isinstance(found, UpstreamRecord)
    assert found.field.partition('.')[0].partition('[')[0] in ENTRY
