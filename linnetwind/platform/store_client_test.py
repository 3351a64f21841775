"""Tests of the store's client against a stand-in of the store."""

import struct
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.address import Address
from linnetwind.bad_format import BadFormat
from linnetwind.platform.store_client import StoreClient
from linnetwind.platform.store_format import decode_page, decode_records
from linnetwind.platform.upstream_format import decode_upstream
from linnetwind.record_store import (
    KeyedRecord,
    Position,
    Records,
    StoreUnavailable,
    Topic,
    Trimmed,
)
from standins.platform_store import PlatformStore

NO_WAIT = timedelta()


@pytest.fixture(name='store')
def _store():
    store = PlatformStore()
    yield store
    store.close()


@pytest.fixture(name='client')
def _client(store):
    return StoreClient(Address('127.0.0.1', store.port))


def test_the_newest_records_are_read_in_pages(store, client):
    for number in range(12):
        store.put('keyed.servers', f'i-{number:02}', {'n': number})
    store.put('keyed.servers', 'i-03', None)
    found = client.newest(Topic.UPSTREAMS)
    assert found.end == 13
    assert len(found.records) == 11
    assert found.records[0] == KeyedRecord('i-00', 0, b'{"n": 0}')


def test_records_are_read_from_an_offset(store, client):
    store.put('keyed.op', 'config', {'version': 1})
    store.put('keyed.op', 'config', None)
    found = client.read(Topic.CONFIGURATION, 0, NO_WAIT)
    assert found == Records(
        (
            KeyedRecord('config', 0, b'{"version": 1}'),
            KeyedRecord('config', 1, None),
        ),
        2,
    )
    assert client.read(Topic.CONFIGURATION, 2, NO_WAIT) == Records((), 2)


def test_reading_a_deleted_offset_returns_trimmed(store, client):
    store.put('keyed.op', 'config', {'version': 1})
    store.forget('keyed.op')
    assert client.read(Topic.CONFIGURATION, 0, NO_WAIT) == Trimmed()


@pytest.mark.parametrize('outage', ['busy', 'cut', 'silent'])
def test_an_outage_is_reported_and_the_client_recovers(store, client, outage):
    # The store rejects calls, resets connections or sends nothing. The client
    # returns an error within a second, and the next call after the outage
    # succeeds on a new connection.
    store.put('keyed.op', 'config', {'version': 1})
    assert isinstance(client.newest(Topic.CONFIGURATION), Records)
    store.outage = outage
    found = client.read(Topic.CONFIGURATION, 0, NO_WAIT)
    assert isinstance(found, StoreUnavailable)
    store.outage = None
    assert isinstance(client.newest(Topic.CONFIGURATION), Records)


@pytest.mark.parametrize(
    'content', [b'', b'{}', b'[]', b'no json', b'{"service": 1}', b'\xff\xfe']
)
def test_a_malformed_record_is_an_error_and_not_a_crash(content):
    decoded = decode_upstream(KeyedRecord('i', 4, content))
    if content:
        assert decoded.reason
    else:
        assert decoded.upstream is None


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{}',
        b'\xff',
        b'[' * 100_000,
        b'{"elements":[],"hasMore":false}',
        b'{"elements":[],"hasMore":false,"endOffset":"3"}',
        b'{"elements":{},"hasMore":false,"endOffset":3}',
        b'{"elements":[{"key":"a"}],"hasMore":false,"endOffset":3}',
        b'{"elements":[{"key":1,"offset":0}],"hasMore":false,"endOffset":3}',
        b'{"elements":[{"key":"a","offset":-1}],"hasMore":false,"endOffset":3}',
        b'{"elements":[{"key":"a","offset":0,"value":"?"}],"hasMore":false,'
        b'"endOffset":3}',
    ],
)
def test_a_malformed_page_means_that_the_store_is_unavailable(
    store, client, body, monkeypatch
):
    monkeypatch.setattr(store, '_newest', lambda _query: body)
    found = client.newest(Topic.UPSTREAMS)
    assert isinstance(found, StoreUnavailable)
    assert found.problem


def test_reading_stops_if_pages_repeat(store, client, monkeypatch):
    page = (
        b'{"elements":[{"key":"a","offset":0,"value":"e30="}],'
        b'"hasMore":true,"endOffset":3}'
    )
    monkeypatch.setattr(store, '_newest', lambda _query: page)
    assert isinstance(client.newest(Topic.UPSTREAMS), StoreUnavailable)


def test_records_appended_while_pages_are_read_are_read_later(
    store, client, monkeypatch
):
    # The pages are not a consistent snapshot. A key of the first page gets a
    # newer record while the second page is read. The reader must continue from
    # the first page's end offset, or it never sees that record.
    for number in range(7):
        store.put('keyed.servers', f'i-{number}', {'n': number})
    newest = store._newest

    def append_after_page(query):
        page = newest(query)
        store.put('keyed.servers', 'i-0', {'n': 'newer'})
        return page

    monkeypatch.setattr(store, '_newest', append_after_page)
    found = client.newest(Topic.UPSTREAMS)
    later = client.read(Topic.UPSTREAMS, found.end, NO_WAIT)
    assert KeyedRecord('i-0', 7, b'{"n": "newer"}') in later.records


def _framed(*records):
    return bytes(16) + b''.join(
        struct.pack('>I', len(each)) + each for each in records
    )


GOOD = b'\x01a{}'


@pytest.mark.parametrize(
    ('unreadable', 'key'),
    [(b'', ''), (b'\x09a', ''), (b'\x01\xff{}', '\ufffd'), (b'\x00{}', '')],
)
def test_a_record_with_an_unreadable_key_hides_no_other(
    store, client, unreadable, key, monkeypatch
):
    body = _framed(GOOD, unreadable, GOOD)
    monkeypatch.setattr(store, '_read', lambda _query: (200, body))
    found = client.read(Topic.UPSTREAMS, 5, NO_WAIT)
    assert found.end == 8
    first, bad, last = found.records
    assert (first, last) == tuple(
        KeyedRecord('a', offset, b'{}') for offset in (5, 7)
    )
    assert (bad.key, bad.offset) == (key, 6)
    decoded = decode_upstream(bad)
    assert isinstance(decoded, BadFormat) or decoded.upstream is None


def test_a_truncated_record_is_read_again(store, client, monkeypatch):
    # If half of an entry were decoded, it would count as a bad entry, and its
    # upstream would get no requests until the entry changed again.
    body = _framed(GOOD, GOOD)[:-1]
    monkeypatch.setattr(store, '_read', lambda _query: (200, body))
    found = client.read(Topic.UPSTREAMS, 5, NO_WAIT)
    assert found == Records((KeyedRecord('a', 5, b'{}'),), 6)
    for length in (0, 7, 18, 22):
        truncated = _framed(GOOD)[:length]
        monkeypatch.setattr(
            store,
            '_read',
            lambda _query: (200, truncated),  # noqa: B023
        )
        found = client.read(Topic.UPSTREAMS, 5, NO_WAIT)
        assert isinstance(found, StoreUnavailable)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.binary(max_size=80),
    st.lists(st.binary(min_size=3, max_size=20), max_size=4),
)
def test_any_bytes_of_the_store_are_records_or_an_error(rest, records):
    body = _framed(*records) + rest
    for content in (body, rest):
        found = decode_records(content, 5)
        if not isinstance(found, BadFormat):
            assert [each.offset for each in found] == list(
                range(5, 5 + len(found))
            )
    if not rest:
        assert len(decode_records(body, 5)) == len(records)
    assert isinstance(decode_page(rest), BadFormat)


def test_an_appended_record_is_the_newest_of_its_key(client):
    assert client.append(Topic.QUARANTINE, 'a', b'first') is None
    assert client.append(Topic.QUARANTINE, 'b', b'other') is None
    assert client.append(Topic.QUARANTINE, 'a', b'second') is None
    assert client.append(Topic.QUARANTINE, 'b', None) is None
    found = client.newest(Topic.QUARANTINE)
    assert found == Records((KeyedRecord('a', 2, b'second'),), 4)


@pytest.mark.parametrize('outage', ['busy', 'cut', 'silent'])
def test_an_append_without_a_response_is_an_error(store, client, outage):
    store.outage = outage
    found = client.append(Topic.QUARANTINE, 'a', b'x')
    assert isinstance(found, StoreUnavailable)
    store.outage = None
    assert client.append(Topic.QUARANTINE, 'a', b'x') is None


def test_records_are_returned_with_the_store_era(store, client):
    store.put('keyed.op', 'config', {'version': 1})
    copy = store.copy()
    store.put('keyed.op', 'config', {'version': 2})
    assert client.newest(Topic.CONFIGURATION).position == Position(0, 2)
    store.come_back_from(copy)
    # The restored store has no such offset and reports it as deleted.
    assert client.read(Topic.CONFIGURATION, 2, NO_WAIT) == Trimmed()
    assert client.newest(Topic.CONFIGURATION).position == Position(1, 1)
    store.put('keyed.op', 'config', {'version': 2})
    found = client.read(Topic.CONFIGURATION, 2, NO_WAIT)
    assert found.position == Position(1, 2)


def test_a_response_without_a_valid_era_keeps_the_last_era(store, client):
    store.era = 3
    store.put('keyed.op', 'config', {'version': 1})
    client.newest(Topic.CONFIGURATION)
    for era in ('', 'x', '-1', None):
        store.era = era
        assert client.newest(Topic.CONFIGURATION).era == 3


def test_pages_of_two_eras_are_an_error(store, client):
    # The store is restored between two pages. Together, the pages mix entries
    # of both eras and lack some of them.
    for number in range(12):
        store.put('keyed.servers', f'i-{number:02}', {'n': number})
    client.newest(Topic.UPSTREAMS)
    store.era_after = (len(store.calls) + 2, 1)
    assert isinstance(client.newest(Topic.UPSTREAMS), StoreUnavailable)
    assert client.newest(Topic.UPSTREAMS).era == 1
