"""Tests of following lists into which others write as well.

A bad entry must not hide the good ones, neither those beside it nor those
after it, and both ways to read a list must lead to the same upstreams.
"""

import json
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.gateway_events import BadRecord, ConfigurationApplied
from linnetwind.gateway_feeds import FeedPorts, GatewayFeeds
from linnetwind.gateway_state import GatewayState
from linnetwind.platform.table_format import CONFIGURATION_KEY, decode_table
from linnetwind.platform.upstream_format import decode_upstream
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
    Trimmed,
)
from linnetwind.repeat_budget import BudgetTerms
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
    """A store; `seen` says how many records of each topic are there yet."""

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
        newest = {each.key: each for each in self._there(topic)}
        kept = (each for each in newest.values() if each.content is not None)
        return Records(tuple(kept), self.seen[topic])

    def read(self, topic, start, wait):
        if self.is_down:
            return StoreUnavailable('down')
        if self.trimmed:
            self.trimmed = False
            return Trimmed()
        return Records(tuple(self._there(topic)[start:]), self.seen[topic])

    def _there(self, topic):
        return self._records[topic][: self.seen[topic]]


class _Peers:
    """Neighbours, who have read the same store; none if it is None."""

    def __init__(self, read):
        self._read = read

    def newest(self, topic):
        if self._read is None:
            return StoreUnavailable('nobody')
        return self._read.newest(topic)


class _Rounds:
    """Takes the place of the daemon's threads."""

    def __init__(self):
        self.work = {}

    def for_ever(self, work, name):
        self.work[name] = work


class _Reader:
    """A daemon's feeds, one round at a time."""

    def __init__(self, store, read_by_peers=None):
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        terms = BudgetTerms(timedelta(seconds=10), 0.2, 88)
        self.log = ListLog()
        self.state = GatewayState(clock, Address('127.0.0.1', 1), terms)
        ports = FeedPorts(
            lambda: store, CONFIGURATION_KEY, decode_table, decode_upstream
        )
        self._feeds = GatewayFeeds(
            ports, self.state, _Peers(read_by_peers), clock, self.log
        )
        self.rounds = _Rounds()
        self._feeds.start(self.rounds)

    def read(self, topic=Topic.UPSTREAMS):
        self.rounds.work[f'store-{topic.value}']()

    def usable(self, service='plain'):
        found = self.state.upstreams.usable(service, timedelta())
        return sorted(each.instance for each in found)


def _told(version, counter):
    """Return the state of a peer with a version of the configuration."""
    return make_peer('b', config_version=version, counter=counter)


def test_a_configuration_comes_from_peers_while_the_store_is_silent():
    # The connection to the store has gone silent, without a reset. A peer
    # has the next configuration and says so; callers with new keys would be
    # refused until the silence shows.
    tables = [configuration(each, 'plain') for each in (1, 2)]
    store = _Store(tables=tables)
    store.seen[Topic.CONFIGURATION] = 1
    reader = _Reader(store, _Store(tables=tables))
    reader.read(Topic.CONFIGURATION)
    behind = reader.rounds.work['configuration-behind']
    behind()
    assert reader.state.table.version == 1
    for counter in (1, 2):
        reader.state.hear(_told(2, counter))
        behind()
    assert reader.state.table.version == 2
    # Read from the store later, it changes nothing any more.
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
def test_a_bad_entry_hides_no_good_one_beside_or_after_it(content):
    # Somebody else writes an entry between those of two upstreams. A daemon
    # that fails at it reads the same place again and again: no upstream is
    # used any more, and callers are refused while all upstreams are free.
    store = _Store([('a', 'good'), ('x', content), ('b', 'good')])
    whole = _Reader(store)
    whole.read()
    assert whole.usable() == ['a', 'b']
    store.seen[Topic.UPSTREAMS] = 1
    by_parts = _Reader(store)
    by_parts.read()
    store.seen[Topic.UPSTREAMS] = 3
    by_parts.read()
    assert by_parts.usable() == ['a', 'b']


def test_a_bad_entry_in_place_of_a_good_one_names_no_upstream():
    # Whoever reads the whole list sees the bad entry alone; whoever has read
    # the good one before must come to the same list. Both use the upstream
    # again as soon as a good entry follows.
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


def test_a_copy_of_a_neighbour_is_read_in_the_same_way():
    # The store turns this daemon away, and a neighbour hands on what it has
    # read, as it was written.
    read = _Store([('a', 'good'), ('b', 'good'), ('a', b'{}'), ('c', b'[')])
    store = _Store()
    store.is_down = True
    reader = _Reader(store, read)
    reader.read()
    assert reader.usable() == ['b']
    assert [each.key for each in reader.log.of(BadRecord)] == ['a', 'c']


def test_a_bad_entry_is_logged_once_a_change():
    # Whole lists are read again after each outage of the store; a line for
    # each reading would bury the others.
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


def test_a_bad_entry_that_an_outage_brings_is_no_lapsed_one():
    # The entry of an upstream is missing after an outage: it may come back.
    # An entry that is there and bad names no upstream, with or without one.
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
    # Another writer names the address of an upstream, and a service that no
    # configuration names. The newest entry of an address counts alone; were
    # this one counted, the upstream would get no requests any more. A later
    # configuration may name the service: the entry then counts.
    other = json.dumps(_entry('a', service='other')).encode()
    store = _Store(
        [('a', 'good'), ('b', other)],
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


def test_a_bad_configuration_leaves_the_one_before_in_force():
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
