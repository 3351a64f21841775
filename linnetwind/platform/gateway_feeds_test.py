"""Tests of following topics to which other writers append bad records.

A bad entry must not hide the good entries before or after it. Reading the
newest records and reading record by record must lead to the same upstreams.
"""

import json
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import ManualClock
from linnetwind.gateway_events import BadRecord, ConfigurationApplied
from linnetwind.gateway_feeds import FeedPorts, GatewayFeeds
from linnetwind.gateway_state import GatewayState
from linnetwind.platform.table_format import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_table,
)
from linnetwind.platform.upstream_format import decode_upstream
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
    Trimmed,
)
from standins.bad_messages import near_misses
from standins.gateway_fixtures import make_peer
from standins.gateway_harness import ListLog
from standins.platform_cluster import configuration

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
KEYS = ('a', 'b', 'c')
GOOD = st.just('good')
DROP = st.just(None)
BAD = st.binary(min_size=1, max_size=20) | near_misses(ENTRY).map(
    lambda fields: json.dumps(fields).encode()
)


class _Store:
    """A store in which the first `seen` records of each topic are visible."""

    def __init__(self, upstreams=(), tables=()):
        self._records = {
            Topic.UPSTREAMS: _records(upstreams),
            Topic.CONFIGURATION: _records(
                (CONFIGURATION_KEY, json.dumps(each).encode())
                for each in tables
            ),
        }
        self.seen = {topic: len(each) for topic, each in self._records.items()}
        self.trimmed = False
        self.is_down = False

    def newest(self, topic):
        if self.is_down:
            return StoreUnavailable('down')
        newest = {each.key: each for each in self._visible_records(topic)}
        kept = (each for each in newest.values() if each.content is not None)
        return Records(tuple(kept), self.seen[topic])

    def read(self, topic, start, wait):
        if self.is_down:
            return StoreUnavailable('down')
        if self.trimmed:
            self.trimmed = False
            return Trimmed()
        return Records(
            tuple(self._visible_records(topic)[start:]), self.seen[topic]
        )

    def _visible_records(self, topic):
        return self._records[topic][: self.seen[topic]]


class _Peers:
    """Peers that have read the given store; no peer if it is None."""

    def __init__(self, peer_store):
        self._peer_store = peer_store

    def newest(self, topic):
        if self._peer_store is None:
            return StoreUnavailable('nobody')
        return self._peer_store.newest(topic)


class _Rounds:
    """Collects the functions that the daemon's threads would repeat."""

    def __init__(self):
        self.work = {}

    def repeat_forever(self, work, name):
        self.work[name] = work


class _Reader:
    """The feeds of a daemon, run one round at a time."""

    def __init__(self, store, peer_store=None):
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
        self.log = ListLog()
        self.state = GatewayState(clock, Address('127.0.0.1', 1), terms)
        ports = FeedPorts(
            lambda: store,
            CONFIGURATION_KEY,
            decode_table,
            decode_upstream,
            EVACUATION_PREFIX,
            'z',
        )
        self._feeds = GatewayFeeds(
            ports, self.state, _Peers(peer_store), clock, self.log
        )
        self.rounds = _Rounds()
        self._feeds.start(self.rounds)

    def read(self, topic=Topic.UPSTREAMS):
        self.rounds.work[f'store-{topic.value}']()

    def usable(self, service='plain'):
        found = self.state.upstreams.usable(service, timedelta())
        return sorted(each.instance for each in found)


def _make_peer_state(version, counter):
    """Return the state of a peer that has a version of the configuration."""
    return make_peer('b', config_version=version, counter=counter)


def test_a_peer_provides_the_configuration_if_the_store_hangs():
    # The connection to the store hangs without a reset. A peer advertises that
    # it has the next configuration. If this daemon did not fetch it, callers
    # with new keys would be refused until the connection times out.
    tables = [configuration(each, 'plain') for each in (1, 2)]
    store = _Store(tables=tables)
    store.seen[Topic.CONFIGURATION] = 1
    reader = _Reader(store, _Store(tables=tables))
    reader.read(Topic.CONFIGURATION)
    catch_up = reader.rounds.work['configuration-behind']
    catch_up()
    assert reader.state.table.version == 1
    for counter in (1, 2):
        reader.state.merge_advertised(_make_peer_state(2, counter))
        catch_up()
    assert reader.state.table.version == 2
    # The same version, read from the store later, is not applied again.
    store.seen[Topic.CONFIGURATION] = 2
    reader.read(Topic.CONFIGURATION)
    applied = [
        each
        for each in reader.log.events
        if isinstance(each, ConfigurationApplied)
    ]
    assert [each.source for each in applied] == ['store', 'peer']


def _entry(key, **changes):
    port = 8000 + KEYS.index(key)
    return {**ENTRY, 'address': f'10.1.2.3:{port}', **changes}


def _records(writes):
    return [
        KeyedRecord(
            key,
            offset,
            json.dumps(_entry(key)).encode() if content == 'good' else content,
        )
        for offset, (key, content) in enumerate(writes)
    ]


@pytest.mark.parametrize('content', [b'\xff', b'{"a":' * 5000, b'{}'])
def test_a_bad_entry_does_not_hide_the_good_entries_around_it(content):
    # Another writer appends an entry between those of two upstreams. A daemon
    # that fails to decode it would read the same offset again and again. It
    # would use no upstream and refuse callers while all upstreams are idle.
    store = _Store([('a', 'good'), ('x', content), ('b', 'good')])
    at_once = _Reader(store)
    at_once.read()
    assert at_once.usable() == ['a', 'b']
    store.seen[Topic.UPSTREAMS] = 1
    in_steps = _Reader(store)
    in_steps.read()
    store.seen[Topic.UPSTREAMS] = 3
    in_steps.read()
    assert in_steps.usable() == ['a', 'b']


def test_a_bad_entry_removes_the_upstream_of_its_key():
    # A daemon that reads the newest records sees only the bad entry. A daemon
    # that read the good entry before must end with the same upstreams. Both use
    # the upstream again as soon as a good entry follows.
    store = _Store([('a', 'good'), ('a', b'{}'), ('a', 'good')])
    store.seen[Topic.UPSTREAMS] = 1
    reader = _Reader(store)
    reader.read()
    assert reader.usable() == ['a']
    store.seen[Topic.UPSTREAMS] = 2
    reader.read()
    newcomer = _Reader(store)
    newcomer.read()
    assert reader.usable() == newcomer.usable() == []
    store.seen[Topic.UPSTREAMS] = 3
    reader.read()
    assert reader.usable() == ['a']


def test_the_copy_of_a_peer_is_decoded_like_the_store():
    # The store rejects this daemon's calls, and a peer passes on the records
    # that it has read, unchanged.
    read = _Store([('a', 'good'), ('b', 'good'), ('a', b'{}'), ('c', b'[')])
    store = _Store()
    store.is_down = True
    reader = _Reader(store, read)
    reader.read()
    assert reader.usable() == ['b']
    assert [each.key for each in reader.log.of(BadRecord)] == ['a', 'c']


def test_a_bad_entry_is_logged_once_per_change():
    # The newest records are read again after each outage of the store. One line
    # for each reading would flood the log.
    store = _Store([('a', b'{}'), ('b', 'good'), ('a', b'{}')])
    store.seen[Topic.UPSTREAMS] = 1
    reader = _Reader(store)
    for _round in range(3):
        reader.read()
        store.trimmed = True
        reader.read()
    store.seen[Topic.UPSTREAMS] = 3
    reader.read()
    assert reader.log.of(BadRecord) == [
        BadRecord('upstreams', 'a', offset, 'service', 'is missing')
        for offset in (0, 2)
    ]


def test_a_bad_entry_after_an_outage_removes_the_upstream():
    # An upstream whose entry is missing after an outage stays in use for a
    # while, since the entry may return. A bad entry removes its upstream at
    # once, with or without an outage.
    store = _Store([('a', 'good'), ('a', b'{}')])
    store.seen[Topic.UPSTREAMS] = 1
    reader = _Reader(store)
    reader.read()
    store.is_down = True
    reader.read()
    store.is_down = False
    store.seen[Topic.UPSTREAMS] = 2
    reader.read()
    assert reader.usable() == []


def test_an_entry_of_an_unknown_service_hides_no_upstream_at_its_address():
    # Another writer appends an entry with the address of an upstream and a
    # service that the configuration lacks. Only the newest entry of an address
    # counts. If this entry counted, the upstream would get no more requests. It
    # counts once a later configuration contains its service.
    other_entry = json.dumps(_entry('a', service='other')).encode()
    store = _Store(
        [('a', 'good'), ('b', other_entry)],
        [configuration(1, 'plain'), configuration(2, 'plain', 'other')],
    )
    store.seen[Topic.CONFIGURATION] = 1
    reader = _Reader(store)
    reader.read()
    reader.read(Topic.CONFIGURATION)
    assert reader.usable() == ['a']
    store.seen[Topic.CONFIGURATION] = 2
    reader.read(Topic.CONFIGURATION)
    assert (reader.usable(), reader.usable('other')) == ([], ['b'])


def test_a_bad_configuration_leaves_the_previous_one_in_force():
    store = _Store(
        tables=[
            configuration(1, 'plain'),
            {'version': 2},
            configuration(3, 'plain'),
        ]
    )
    store.seen[Topic.CONFIGURATION] = 1
    reader = _Reader(store)
    reader.read(Topic.CONFIGURATION)
    store.seen[Topic.CONFIGURATION] = 2
    reader.read(Topic.CONFIGURATION)
    assert reader.state.table.version == 1
    assert reader.log.of(BadRecord)[0].field == 'routes'
    store.seen[Topic.CONFIGURATION] = 3
    reader.read(Topic.CONFIGURATION)
    assert reader.state.table.version == 3
    assert len(reader.log.of(ConfigurationApplied)) == 2


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(KEYS), GOOD | DROP | BAD), max_size=12),
    st.lists(st.integers(0, 12), max_size=4),
    st.lists(st.booleans(), min_size=5, max_size=5),
)
def test_all_readers_use_the_good_entries_and_no_others(writes, stops, trims):
    store = _Store(writes)
    newest = dict(writes)
    expected = sorted(key for key in newest if newest[key] == 'good')
    reader = _Reader(store)
    ends = sorted(min(each, len(writes)) for each in stops)
    for end, trim in zip([*ends, len(writes)], trims, strict=False):
        store.seen[Topic.UPSTREAMS] = end
        store.trimmed = trim
        # A reader that finds its place deleted reads the whole list next.
        reader.read()
        reader.read()
    newcomer = _Reader(store)
    newcomer.read()
    assert reader.usable() == newcomer.usable() == expected
