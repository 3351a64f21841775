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


def drained(number):
    """A base that differs for each number."""
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
    """Publishes that each build on the one before."""
    return [
        publish(
            'base', number, documents(drained(number + 1))['base'], f'p{number}'
        )
        for number in range(count)
    ]


def in_force(state):
    return state.deployment.base.services[0].upstreams[0].concurrency


def page(records, first):
    """The log after everything below `first` has expired."""
    entries = [
        Entry(offset, record)
        for offset, record in enumerate(records)
        if offset >= first
    ]
    return Page(first, len(records), tuple(entries))


def test_first_of_two_operators_wins_and_the_other_is_told():
    # Two operators build on revision 1. Both appends reach the log; offset
    # order alone decides, so every process names the same loser.
    records = [
        publish('base', 0, documents()['base'], 'start'),
        publish('base', 1, documents(drained(2))['base'], 'ann'),
        publish('base', 1, documents(drained(3))['base'], 'ben'),
    ]
    state, verdicts = fold_all(records)
    assert verdicts[1] == Accepted('ann', 2)
    assert verdicts[2] == Conflict('ben', 'base', 1, 2)
    assert in_force(state) == 2


def test_publish_that_was_stored_twice_takes_effect_once():
    # The reply to the first append was lost and the publisher appended
    # again, with another operator's change in between.
    first = publish('base', 1, documents(drained(2))['base'], 'ann')
    records = [
        publish('base', 0, documents()['base'], 'start'),
        first,
        publish('base', 2, documents(drained(3))['base'], 'ben'),
        first,
    ]
    state, verdicts = fold_all(records)
    assert verdicts[3] == Conflict('ann', 'base', 1, 3)
    assert in_force(state) == 3


def test_base_that_breaks_an_overlay_is_refused_whole():
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
def test_rebuild_agrees_with_a_reader_that_saw_everything(first):
    # Records 0 to first-1 have expired. A snapshot at offset 4 covers 0-3;
    # two more publishes follow it.
    records = history(4)
    state, _verdicts = fold_all(records)
    records.append(CONFIG_CODEC.encode(make_snapshot(state)))
    records += [
        publish('base', 4, documents(drained(50))['base'], 'later'),
        publish('base', 5, documents(drained(60))['base'], 'latest'),
    ]
    continuous, _verdicts = fold_all(records)
    rebuilt = rebuild(page(records, first))
    if first <= 4:
        assert rebuilt.unwrap() == continuous
    else:
        assert rebuilt.unwrap_err() == Expired(first)


def test_snapshot_of_a_paused_writer_never_brings_an_old_state_back():
    # A writer takes a snapshot after two publishes and is paused. Two more
    # publishes are accepted; then it wakes and appends its old snapshot.
    # The log expires all publishes, so a new host sees only that snapshot.
    records = history(2)
    old, _verdicts = fold_all(records)
    records = history(4)
    records.append(CONFIG_CODEC.encode(make_snapshot(old)))
    continuous, _verdicts = fold_all(records)
    assert in_force(continuous) == 4
    assert rebuild(page(records, 4)).unwrap_err() == Expired(4)
    # While the publishes after it are still kept, it is good.
    assert rebuild(page(records, 2)).unwrap() == continuous


def test_older_copy_of_a_neighbour_is_passed_over():
    old, _verdicts = fold_all(history(2))
    new, _verdicts = fold_all(history(3))
    copy = decode_state(encode_state(old)).unwrap()
    assert newer(new, copy) is new
    assert newer(copy, new) is new


def test_neighbours_copy_goes_on_where_the_log_does():
    # A host starts during a log outage, takes a copy, and goes on reading
    # the log when it is back.
    old, _verdicts = fold_all(history(2))
    copy = decode_state(encode_state(old)).unwrap()
    later, _verdicts = fold_all(history(4)[2:], copy)
    assert later == fold_all(history(4))[0]


def test_garbage_in_the_stream_changes_nothing():
    records = [*history(1), b'\xff\x00', b'']
    state, verdicts = fold_all(records)
    assert verdicts[1:] == [None, None]
    assert (state.revision, state.next_offset) == (1, 3)


def test_broken_document_is_refused():
    records = [publish('base', 0, b'no zlib')]
    state, verdicts = fold_all(records)
    assert isinstance(verdicts[0], Invalid)
    assert state.revision == 0
