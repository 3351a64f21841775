"""Tests of the configuration fold: conflicts, snapshots, retention."""

from dataclasses import replace

import pytest

from linnetwind.config import Base, Deployment, Overlay, Service, Site, Upstream
from linnetwind.config_fold import (
    CONFIG_CODEC,
    Accepted,
    ConfigState,
    Conflict,
    Expired,
    Invalid,
    PartUpdate,
    Publish,
    decode_state,
    encode_state,
    fold,
    make_snapshot,
    newer,
    rebuild,
    split_deployment,
)
from linnetwind.log_port import Entry, Page

SITE = Site('north', 'land')
UPSTREAM = Upstream('codes-01', 'h1', 'north')
SERVICE = Service('codes', 'plain', (UPSTREAM,))
BASE = Base('demo', (SITE,), (SERVICE,), ())


def documents(base=BASE, overlays=()):
    return split_deployment(Deployment(base, overlays))


def publish(name, based_on, document, publish_id='p'):
    update = PartUpdate(name, based_on, document)
    return CONFIG_CODEC.encode(Publish(publish_id, 'operator', (update,)))


def base_with_concurrency(number):
    """Return a base whose only upstream has this concurrency."""
    upstream = replace(UPSTREAM, concurrency=number)
    return replace(BASE, services=(replace(SERVICE, upstreams=(upstream,)),))


def fold_all(records, state=None):
    state = state or ConfigState()
    verdicts = []
    for offset, record in enumerate(records, state.next_offset):
        state, verdict = fold(state, Entry(offset, record))
        verdicts.append(verdict)
    return state, verdicts


def history(count):
    """Return publishes that are each based on the previous one."""
    return [
        publish(
            'base',
            number,
            documents(base_with_concurrency(number + 1))['base'],
            f'p{number}',
        )
        for number in range(count)
    ]


def in_force(state):
    return state.deployment.base.services[0].upstreams[0].concurrency


def page(records, first):
    """Return the log after all records below `first` have expired."""
    entries = [
        Entry(offset, record)
        for offset, record in enumerate(records)
        if offset >= first
    ]
    return Page(first, len(records), tuple(entries))


def test_second_of_two_conflicting_publishes_is_rejected():
    # Two operators publish changes based on revision 1, and both reach the
    # log. Offset order alone decides, so every process rejects the same one.
    records = [
        publish('base', 0, documents()['base'], 'start'),
        publish('base', 1, documents(base_with_concurrency(2))['base'], 'ann'),
        publish('base', 1, documents(base_with_concurrency(3))['base'], 'ben'),
    ]
    state, verdicts = fold_all(records)
    assert verdicts[1] == Accepted('ann', 2)
    assert verdicts[2] == Conflict('ben', 'base', 1, 2)
    assert in_force(state) == 2


def test_publish_that_was_stored_twice_takes_effect_once():
    # The reply to the first append was lost and the publisher retried it, with
    # another operator's change in between.
    first = publish(
        'base', 1, documents(base_with_concurrency(2))['base'], 'ann'
    )
    records = [
        publish('base', 0, documents()['base'], 'start'),
        first,
        publish('base', 2, documents(base_with_concurrency(3))['base'], 'ben'),
        first,
    ]
    state, verdicts = fold_all(records)
    assert verdicts[3] == Conflict('ann', 'base', 1, 3)
    assert in_force(state) == 3


def test_base_that_makes_an_overlay_invalid_is_rejected():
    overlay = Overlay('north', drained=('codes-01',))
    both = documents(overlays=(overlay,))
    renamed = replace(UPSTREAM, name='codes-02')
    other = replace(BASE, services=(replace(SERVICE, upstreams=(renamed,)),))
    records = [
        publish('base', 0, both['base']),
        publish('overlay/north', 0, both['overlay/north']),
        publish('base', 1, documents(other)['base'], 'breaks'),
    ]
    state, verdicts = fold_all(records)
    assert isinstance(verdicts[2], Invalid)
    assert "'codes-01' names no upstream" in verdicts[2].describe()
    assert state.revision == 2


def test_overlays_of_different_sites_do_not_conflict():
    base = replace(BASE, sites=(SITE, Site('south', 'land')))
    overlays = (Overlay('north'), Overlay('south'))
    both = documents(base, overlays)
    records = [
        publish('base', 0, both['base']),
        publish('overlay/north', 0, both['overlay/north']),
        publish('overlay/south', 0, both['overlay/south']),
    ]
    _state, verdicts = fold_all(records)
    assert all(isinstance(verdict, Accepted) for verdict in verdicts)


@pytest.mark.parametrize('first', range(1, 7))
def test_rebuild_agrees_with_a_reader_of_all_records(first):
    # Records 0 to first-1 have expired. A snapshot at offset 4 covers records
    # 0 to 3; two more publishes follow it.
    records = history(4)
    state, _verdicts = fold_all(records)
    records.append(CONFIG_CODEC.encode(make_snapshot(state)))
    records += [
        publish(
            'base', 4, documents(base_with_concurrency(50))['base'], 'later'
        ),
        publish(
            'base', 5, documents(base_with_concurrency(60))['base'], 'latest'
        ),
    ]
    continuous, _verdicts = fold_all(records)
    rebuilt = rebuild(page(records, first))
    if first <= 4:
        assert rebuilt.unwrap() == continuous
    else:
        assert rebuilt.unwrap_err() == Expired(first)


def test_late_snapshot_of_a_paused_writer_never_restores_an_old_state():
    # A writer makes a snapshot after two publishes and is paused. Two more
    # publishes are accepted; then the writer resumes and appends its outdated
    # snapshot. All publishes expire, so a new host sees only that snapshot.
    records = history(2)
    old, _verdicts = fold_all(records)
    records = history(4)
    records.append(CONFIG_CODEC.encode(make_snapshot(old)))
    continuous, _verdicts = fold_all(records)
    assert in_force(continuous) == 4
    assert rebuild(page(records, 4)).unwrap_err() == Expired(4)
    # The snapshot is usable as long as the log keeps the publishes after it.
    assert rebuild(page(records, 2)).unwrap() == continuous


def test_older_copy_of_a_peer_is_ignored():
    old, _verdicts = fold_all(history(2))
    new, _verdicts = fold_all(history(3))
    copy = decode_state(encode_state(old)).unwrap()
    assert newer(new, copy) is new
    assert newer(copy, new) is new


def test_fold_continues_from_a_peers_copy():
    # A host starts during a log outage, adopts a peer's copy, and continues
    # with the log when it is available again.
    old, _verdicts = fold_all(history(2))
    copy = decode_state(encode_state(old)).unwrap()
    later, _verdicts = fold_all(history(4)[2:], copy)
    assert later == fold_all(history(4))[0]


def test_undecodable_records_are_ignored():
    records = [*history(1), b'\xff\x00', b'']
    state, verdicts = fold_all(records)
    assert verdicts[1:] == [None, None]
    assert (state.revision, state.next_offset) == (1, 3)


def test_publish_with_an_invalid_document_is_rejected():
    records = [publish('base', 0, b'no zlib')]
    state, verdicts = fold_all(records)
    assert isinstance(verdicts[0], Invalid)
    assert state.revision == 0
