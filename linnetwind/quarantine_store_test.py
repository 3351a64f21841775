"""Tests of quarantines that survive the end of all gateway processes."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.crash_history import FIRST_QUARANTINE
from linnetwind.crash_tracker import CrashTracker
from linnetwind.fingerprint import Fingerprint
from linnetwind.gateway_events import (
    BadRecord,
    DependencyLost,
    QuarantineRestored,
)
from linnetwind.prompt_events import PromptQuarantineRestored
from linnetwind.prompt_parts import PromptPart
from linnetwind.quarantine_store import Quarantines, QuarantineStore
from linnetwind.record_store import KeyedRecord, Records, StoreUnavailable
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
)
from linnetwind.upstreams.prompt_quarantines import PromptQuarantines
from standins.gateway_harness import ListLog

SECOND = timedelta(seconds=1)
BAD = Fingerprint('bad')


class _Store:
    """A store of one topic.

    The next `lost_replies` writes succeed, but their replies get lost.
    """

    def __init__(self):
        self.records = {}
        self.is_down = False
        self.lost_replies = 0
        self.era = 1
        self.appends = []

    def newest(self, topic):
        if self.is_down:
            return StoreUnavailable('down')
        live_records = [
            KeyedRecord(key, 0, content)
            for key, content in self.records.items()
            if content is not None
        ]
        return Records(tuple(live_records), 1, self.era)

    def append(self, topic, key, content):
        self.appends.append(key)
        if self.is_down:
            return StoreUnavailable('down')
        self.records[key] = content
        if self.lost_replies:
            self.lost_replies -= 1
            return StoreUnavailable('no answer')
        return None


class _Daemon:
    """A gateway process with its stored quarantines."""

    def __init__(self, store, leads=True, poll_seconds=0):
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.clock.advance(SECOND)
        self.crashes = CrashTracker(self.clock)
        self.prompts = PromptQuarantines(self.clock)
        self.log = ListLog()
        self.keeper = QuarantineStore(
            store,
            Quarantines(self.crashes, self.prompts),
            lambda: leads,
            lambda: store.era,
            self.clock,
            self.log,
            poll_seconds * SECOND,
        )

    def crash(self, life):
        began = self.clock.elapsed()
        self.clock.advance(SECOND / 100)
        self.crashes.record_crash(BAD, UpstreamIncarnation(life), began)
        self.keeper.persist(BAD)

    def rounds(self, count=3):
        for _round in range(count):
            self.keeper.run_round()


@pytest.fixture(name='store')
def _store():
    return _Store()


@pytest.fixture(name='held')
def _held(store):
    """Return a daemon that has stored a quarantine after two crashes."""
    daemon = _Daemon(store)
    daemon.crash('a')
    daemon.crash('b')
    daemon.rounds()
    return daemon


def test_restarted_gateways_restore_the_quarantine(held, store):
    # All gateways lose power. The restarted ones read the stored records.
    after = _Daemon(store)
    assert after.crashes.quarantine(BAD) is None
    after.rounds(1)
    assert after.crashes.quarantine(BAD) == FIRST_QUARANTINE
    assert after.log.of(QuarantineRestored) == [QuarantineRestored(BAD, 2)]


def test_a_crash_after_the_restart_lengthens_the_quarantine(held, store):
    after = _Daemon(store)
    after.rounds(1)
    after.clock.advance(FIRST_QUARANTINE)
    assert after.crashes.quarantine(BAD) is None
    after.crash('c')
    assert after.crashes.quarantine(BAD) == 2 * FIRST_QUARANTINE


@pytest.mark.parametrize('outage', ['down', 'no answer'])
def test_a_write_is_retried_until_the_store_confirms_it(store, outage):
    daemon = _Daemon(store)
    daemon.rounds(1)
    store.is_down = outage == 'down'
    store.lost_replies = 2 if outage == 'no answer' else 0
    daemon.crash('a')
    daemon.crash('b')
    daemon.rounds(2)
    store.is_down = False
    daemon.rounds(2)
    after = _Daemon(store)
    after.rounds(1)
    assert after.crashes.quarantine(BAD) is not None


def test_a_store_that_is_down_at_startup_is_read_when_it_recovers(held, store):
    store.is_down = True
    after = _Daemon(store)
    after.rounds()
    assert not after.keeper.has_restored
    assert len(after.log.of(DependencyLost)) == 1
    store.is_down = False
    after.rounds(1)
    assert after.keeper.has_restored
    assert after.crashes.quarantine(BAD) is not None


def test_an_undecodable_record_is_skipped_and_logged(store):
    store.records = {'x': b'\xff', 'y': b''}
    daemon = _Daemon(store)
    daemon.rounds(1)
    assert daemon.keeper.has_restored
    assert [each.key for each in daemon.log.of(BadRecord)] == ['x', 'y']


@pytest.mark.parametrize('leads', [True, False])
def test_only_the_leader_deletes_expired_records(held, store, leads):
    # Without this they would pile up in the store.
    daemon = _Daemon(store, leads)
    daemon.rounds(1)
    daemon.clock.advance(2 * FIRST_QUARANTINE + SECOND)
    daemon.rounds(1)
    assert (store.records[BAD] is None) == leads


def test_an_idle_daemon_writes_nothing(held, store):
    written = len(store.appends)
    held.rounds(10)
    assert len(store.appends) == written


@pytest.mark.parametrize('writer_is_alive', [True, False])
def test_a_record_that_the_store_lost_is_written_again(
    held, store, writer_is_alive
):
    # The store loses the record. If all gateways then lose power, the
    # restarted ones would not know of the quarantine.
    peer = _Daemon(store, leads=not writer_is_alive)
    peer.rounds(1)
    store.records = {}
    store.era += 1
    daemon = held if writer_is_alive else peer
    daemon.rounds()
    after = _Daemon(store)
    after.rounds(1)
    assert after.crashes.quarantine(BAD) is not None


def test_a_follower_does_not_rewrite_the_records_of_others(held, store):
    # Hundreds of daemons must not write at once.
    peer = _Daemon(store, leads=False)
    peer.rounds(1)
    written = len(store.appends)
    store.era += 1
    peer.rounds()
    assert len(store.appends) == written


def _crash_under_part(daemon):
    """Crash two upstreams under different requests with the part `bad`."""
    for number in range(2):
        began = daemon.clock.elapsed()
        daemon.clock.advance(SECOND)
        daemon.prompts.record_crash(
            Fingerprint(f'request-{number}'),
            (PromptPart('bad'),),
            IncarnationTag(number),
            began,
        )


def test_restarted_gateways_restore_the_quarantine_of_a_prompt_part(store):
    # Guards against a part that crashes upstreams again after a power loss.
    daemon = _Daemon(store)
    _crash_under_part(daemon)
    daemon.rounds()
    after = _Daemon(store)
    after.rounds(1)
    assert after.prompts.quarantine((PromptPart('bad'),))
    assert len(after.log.of(PromptQuarantineRestored)) == 1


def test_only_the_leader_writes_what_others_decide_as_well(store):
    # Guards against a write by each of hundreds of gateways.
    daemon = _Daemon(store, leads=False)
    _crash_under_part(daemon)
    daemon.rounds()
    assert not store.appends


def test_the_record_of_a_harmless_prompt_part_is_deleted(store):
    daemon = _Daemon(store)
    _crash_under_part(daemon)
    daemon.rounds()
    daemon.prompts.record_answer('s', (PromptPart('bad'),))
    daemon.rounds()
    assert not any(store.records.values())
