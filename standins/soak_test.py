"""A short soak with fixed seeds; by hand: `make soak SEED=7 SECONDS=60`."""

from http.client import HTTPConnection, IncompleteRead
from types import SimpleNamespace

import pytest

from standins.soak import soak
from standins.soak_book import Book, Call, Extras
from standins.soak_callers import expected_events
from standins.soak_checks import check_retries
from standins.soak_upstreams import Arrival, SoakUpstream

_SHORT_S = 12
# Each seed failed once within so many seconds; the cause stands beside it.
_FAILED_WITHIN_S = 30
FAILED_SEEDS = (
    # SIGTERM right after a freeze was not heard by the main thread.
    2,
    4,
    # A stream was resumed at an upstream that answered 500, whose head was
    # then written in the middle of the body.
    203,
    213,
)


@pytest.mark.parametrize(
    ('seed', 'seconds'),
    [(1, _SHORT_S), *((seed, _FAILED_WITHIN_S) for seed in FAILED_SEEDS)],
)
def test_promises_hold_while_faults_overlap(seed, seconds, tmp_path):
    # Callers keep their connections while processes stop, die and freeze,
    # links misbehave, the store goes away and upstreams talk nonsense.
    broken, picture = soak(seed, seconds, tmp_path)
    assert broken == [], picture


def test_promises_hold_while_upstreams_start_again(tmp_path):
    # Upstreams crash and start again at once under their names, elsewhere,
    # while everything else goes wrong as well.
    broken, picture = soak(5, _SHORT_S, tmp_path, Extras(restarts=True))
    assert ' starts again' in picture
    assert broken == [], picture


def test_promises_hold_while_others_write_among_the_entries(tmp_path):
    # Other writers put bad entries beside those of the upstreams and in their
    # place, while everything else goes wrong as well.
    broken, picture = soak(6, _SHORT_S, tmp_path, Extras(strangers=True))
    assert ' is spoilt' in picture
    assert broken == [], picture


def test_promises_hold_while_the_store_comes_back_older(tmp_path):
    # The store loses its last seconds again and again, a request crashes
    # upstreams, and everything else goes wrong as well.
    extras = Extras(returns=True, crashers=True)
    broken, picture = soak(7, _SHORT_S, tmp_path, extras)
    assert ' comes back older' in picture
    assert broken == [], picture


def test_promises_hold_while_a_prompt_part_crashes_upstreams(tmp_path):
    # Requests, no two alike, share a part that crashes upstreams, while
    # everything else goes wrong as well.
    broken, picture = soak(10, _SHORT_S, tmp_path, Extras(prompts=True))
    assert 'a request crashes an upstream' in picture
    assert broken == [], picture


def test_promises_hold_while_hosts_stop_in_series(tmp_path):
    # Hosts stop again and again, one while the other, and some streams are
    # much longer than all before: one that comes late would be cut.
    broken, picture = soak(2002, _SHORT_S, tmp_path, Extras(rolls=True))
    assert ' stop ' in picture
    assert broken == [], picture


def test_promises_hold_while_upstreams_back_off_and_leave(tmp_path):
    # Upstreams refuse calls and ask to back off, or say that they leave, while
    # everything else goes wrong as well.
    extras = Extras(backpressure=True)
    broken, picture = soak(8, _SHORT_S, tmp_path, extras)
    assert ' asks to back off' in picture
    assert ' leaves' in picture
    assert broken == [], picture


def test_promises_hold_while_data_centres_are_evacuated(tmp_path):
    # An operator evacuates one of two data centres and cancels that, while
    # everything else goes wrong as well.
    broken, picture = soak(9, _SHORT_S, tmp_path, Extras(evacuations=True))
    assert ' is evacuated' in picture
    assert broken == [], picture


@pytest.mark.parametrize('mood', ['sound', 'failing', 'full'])
def test_an_upstream_of_the_soak_says_in_all_answers_that_it_leaves(mood):
    """Guards against calls held against gateways that were told nothing."""
    store = SimpleNamespace(put=lambda *_entry: None)
    upstream = SoakUpstream('i-1', 'plain', Book(), store)
    upstream.leaving = True
    upstream.mood = mood
    connection = HTTPConnection('127.0.0.1', upstream.proxy.port, timeout=10)
    try:
        connection.request('GET', '/x/')
        said = connection.getresponse().getheader('Server-Leaving')
    finally:
        connection.close()
        upstream.close()
    assert said == '1'
    assert [each.leaving for each in upstream.arrivals] == [True]


def test_an_upstream_of_the_soak_that_breaks_sends_no_empty_event():
    """Guards against a stream held wrong for what no upstream would send."""
    store = SimpleNamespace(put=lambda *_entry: None)
    upstream = SoakUpstream('i-1', 'plain', Book(), store)
    upstream.mood = 'breaking'
    connection = HTTPConnection('127.0.0.1', upstream.proxy.port, timeout=10)
    received = b''
    last = str(len(expected_events('call')))
    try:
        connection.request('POST', '/s/', headers={'Last-Event-Id': last})
        received = connection.getresponse().read()
    except IncompleteRead as error:
        received = error.partial
    except OSError:
        pass
    finally:
        connection.close()
        upstream.close()
    assert received == b''


def _call(**changes):
    fields = {'name': 'a', 'kind': 'once', 'path': '/o/', 'gateway': 'g'}
    return Call(**{**fields, 'sent': 1, 'whole': True, **changes})


@pytest.mark.parametrize(
    ('call', 'runs', 'broken'),
    [
        (_call(status=200), 1, ''),
        (_call(status=200), 2, 'ran 2 times'),
        (_call(status=503), 0, ''),
        (_call(status=503), 1, 'refused, but ran'),
        (_call(status=429), 1, 'refused, but ran'),
        (_call(status=502), 1, ''),
        (_call(status=200), 0, 'answered, but never ran'),
        (_call(status=200, right=False), 1, 'a wrong answer'),
        (_call(status=200, kind='plain'), 2, ''),
    ],
)
def test_the_book_finds_broken_promises(call, runs, broken):
    book = Book()
    book.take(call)
    for _run in range(runs):
        book.run(call.name)
    assert [each.partition(':')[0] for each in book.broken()] == (
        [broken] if broken else []
    )


@pytest.mark.parametrize(('retries', 'broken'), [(88, False), (90, True)])
def test_retries_beyond_the_shared_budget_are_found(retries, broken):
    """Guards against a check that no number of retries can fail."""
    book = Book()
    book.take(_call())
    first, *others = [Arrival(1, 'a', 0) for _retry in range(retries + 1)]
    upstreams = [
        SimpleNamespace(arrivals=[first]),
        SimpleNamespace(arrivals=others),
    ]
    assert bool(list(check_retries(book, upstreams))) == broken


def test_a_run_that_nobody_asked_for_is_found():
    book = Book()
    book.run('smuggled')
    assert book.broken() == ['ran without a caller: smuggled']
