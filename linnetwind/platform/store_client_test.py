"""Tests of the store's client against a stand-in of the store."""

from datetime import timedelta

import pytest

from linnetwind.address import Address
from linnetwind.platform.formats import decode_upstream
from linnetwind.platform.store_client import StoreClient
from linnetwind.record_store import (
    KeyedRecord,
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


def test_the_newest_records_come_in_pages(store, client):
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


def test_deleted_records_are_said_to_be_deleted(store, client):
    store.put('keyed.op', 'config', {'version': 1})
    store.forget('keyed.op')
    assert client.read(Topic.CONFIGURATION, 0, NO_WAIT) == Trimmed()


@pytest.mark.parametrize('outage', ['busy', 'cut', 'silent'])
def test_an_outage_is_an_answer_and_ends(store, client, outage):
    # The store refuses, resets or stays silent. The caller of the client
    # gets a typed answer within a second, and the next call after the outage
    # works on a new connection.
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
def test_a_record_in_another_format_is_an_error_not_a_crash(content):
    decoded = decode_upstream(KeyedRecord('i', 4, content))
    if content:
        assert decoded.problem
    else:
        assert decoded.upstream is None
