"""Tests of reading an engine's load and events from the stand-in engine."""

import json

import pytest

from linnetwind.address import Address
from linnetwind.engine_feed import EngineFeed, EngineUpdates
from linnetwind.http_request import prompt_blocks
from standins.cluster import IP, ask
from standins.engine import Engine

MESSAGES = [{'role': 'user', 'content': 'a' * 600}]


@pytest.fixture
def engine():
    running = Engine().start()
    yield running
    running.stop()


def complete(engine):
    body = {'messages': MESSAGES, 'max_tokens': 1}
    path = '/v1/chat/completions'
    ask(engine.port, 'POST', path, json.dumps(body).encode())


def test_updates_hold_the_blocks_that_the_engine_stored(engine):
    feed = EngineFeed(Address(IP, engine.port))
    complete(engine)
    blocks = prompt_blocks(json.dumps(MESSAGES, sort_keys=True))
    assert set(feed.updates().cached) == set(blocks)
    assert feed.updates().cached == ()


def test_late_events_are_returned_by_a_later_read(engine):
    # The engine publishes its cache events with a delay.
    feed = EngineFeed(Address(IP, engine.port))
    engine.faults['event_delay'] = 60
    complete(engine)
    assert feed.updates().cached == ()
    engine.faults['event_delay'] = 0
    assert feed.updates().cached


def test_lost_events_do_not_stop_the_feed(engine):
    feed = EngineFeed(Address(IP, engine.port))
    engine.faults['event_gap'] = 2
    complete(engine)
    assert len(feed.updates().cached) == 1


def test_engine_that_does_not_respond_gives_empty_updates(engine):
    feed = EngineFeed(Address(IP, engine.port))
    engine.faults['down'] = True
    assert feed.updates() == EngineUpdates()
