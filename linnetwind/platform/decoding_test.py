"""Tests of decoding any content in threads with small stacks."""

import threading

import pytest

from linnetwind.bad_format import BadFormat
from linnetwind.platform.rank_format import decode_report
from linnetwind.platform.store_format import decode_page
from linnetwind.platform.table_format import decode_table
from linnetwind.platform.upstream_format import decode_upstream
from linnetwind.record_store import KeyedRecord

# That of a rank agent's threads.
SMALL_STACK = 131_072


@pytest.fixture(name='run_on_small_stack')
def _run_on_small_stack():
    before = threading.stack_size(SMALL_STACK)

    def run(work):
        found = []
        thread = threading.Thread(target=lambda: found.append(work()))
        thread.start()
        thread.join()
        return found[0]

    yield run
    threading.stack_size(before)


@pytest.mark.parametrize('depth', [33, 900, 100_000])
@pytest.mark.parametrize('opening', ['[', '{"a":', '{"models":[{"a":'])
def test_deep_nesting_is_an_error_and_ends_no_process(
    run_on_small_stack, depth, opening
):
    # A worker or another writer sends content that nests some hundred levels
    # deep. The parser calls itself for each level and overflows the thread's
    # stack: the daemon ends by a signal, without a line in its log, and again
    # whenever it is started, as long as the content is there.
    for content in (
        (opening * depth).encode(),
        b'{"models":[{"a":%s1' % (opening * depth).encode(),
    ):
        for decode in (
            decode_report,
            decode_page,
            decode_table,
            lambda each: decode_upstream(KeyedRecord('i', 1, each)),
        ):
            found = run_on_small_stack(lambda: decode(content))  # noqa: B023
            assert found == BadFormat('', 'is nested more than 32 deep')


def test_brackets_within_text_nest_nothing():
    text = '"' + '[' * 100 + '\\"' + '{' * 100 + '"'
    found = decode_table(b'{"version":%s}' % text.encode())
    assert found.field == 'version'
