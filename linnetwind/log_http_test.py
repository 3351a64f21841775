"""Tests of the log client against a stand-in of the log service."""

from datetime import timedelta

import pytest

from linnetwind.address import Address
from linnetwind.log_http import make_log
from linnetwind.log_port import read_to_end
from standins import log_service
from standins.http_base import Reply
from standins.log_service import LogService


@pytest.fixture
def service():
    running = LogService().start()
    yield running
    running.stop()


@pytest.fixture
def log(service):
    address = Address('127.0.0.1', service.port)
    return make_log(address, timedelta(seconds=0.5))


def test_records_are_read_in_order_with_their_offsets(log):
    assert log.append('s', [b'a', b'b']).unwrap() == 0
    assert log.append('s', [b'c']).unwrap() == 2
    page = log.read('s', 1).unwrap()
    assert [(entry.offset, entry.record) for entry in page.entries] == [
        (1, b'b'),
        (2, b'c'),
    ]
    assert (page.first, page.end) == (0, 3)


def test_unknown_stream_is_empty(log):
    assert log.read('none', 0).unwrap().entries == ()


def test_long_stream_is_read_page_by_page(log, monkeypatch):
    monkeypatch.setattr(log_service, 'PAGE', 2)
    log.append('s', [bytes([number]) for number in range(5)])
    assert len(log.read('s', 0).unwrap().entries) == 2
    assert len(read_to_end(log, 's', 0).unwrap().entries) == 5


def test_offsets_continue_after_expired_records(service, log):
    log.append('s', [b'a', b'b'])
    service.faults['retention'] = 1e-9
    page = log.read('s', 0).unwrap()
    assert (page.first, page.end, page.entries) == (2, 2, ())
    service.faults['retention'] = None
    assert log.append('s', [b'c']).unwrap() == 2


def test_lost_reply_is_an_error_even_if_the_record_is_stored(service, log):
    service.faults['lose_append_replies'] = 1
    assert log.append('s', [b'a']).is_err()
    assert len(log.read('s', 0).unwrap().entries) == 1


FAULTS = [{'down': True}, {'slow': 2}, {'appends_per_second': 0.5}]


@pytest.mark.parametrize('faults', FAULTS)
def test_fault_is_a_typed_error(service, log, faults):
    log.append('s', [b'a'])
    service.faults.update(faults)
    assert log.append('s', [b'b']).is_err()


@pytest.mark.parametrize('body', [b'', b'\xff', b'\x01', b'\xa0', b'\xf6'])
def test_malformed_response_is_a_typed_error(service, log, body):
    # An exception would end the thread that follows the configuration.
    service.handle = lambda _request: Reply(200, body)
    assert log.append('s', [b'a']).is_err()
    assert log.read('s', 0).is_err()
