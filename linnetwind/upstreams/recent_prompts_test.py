"""Tests of the latest requests that are kept of each service."""

from datetime import timedelta

from linnetwind.prompt_parts import PromptPart
from linnetwind.upstreams.recent_prompts import RecentPrompts

SECOND = timedelta(seconds=1)


def _parts(*names):
    return frozenset(PromptPart(name) for name in names)


def test_the_history_of_parts_is_that_of_their_service():
    recent = RecentPrompts()
    recent.record_arrival('a', _parts('first'))
    recent.record_arrival('b', _parts('other'))
    recent.record_arrival('a', _parts('first', 'second'))
    recent.record_answer('a', SECOND)
    arrived, answered_at = recent.history_for(_parts('second'))
    assert arrived == (_parts('first'), _parts('first', 'second'))
    assert answered_at == (SECOND,)
    assert recent.history_for(_parts('unknown')) == ((), ())


def test_long_prompts_do_not_make_the_history_grow():
    # Guards against callers that fill the memory of a daemon.
    recent = RecentPrompts()
    for number in range(100):
        names = [f'{number}-{part}' for part in range(1_000)]
        recent.record_arrival('a', _parts('common', *names))
    for _request in range(1_000):
        recent.record_arrival('b', _parts('short'))
    long_prompts, _answers = recent.history_for(_parts('common'))
    assert sum(map(len, long_prompts)) <= 16_384
    assert len(recent.history_for(_parts('short'))[0]) == 256
