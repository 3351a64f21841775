"""Tests of decoding arbitrary content on threads with small stacks."""

import threading

import pytest

from linnetwind.bad_format import BadFormat
from linnetwind.platform.rank_format import decode_report
from linnetwind.platform.store_format import decode_page
from linnetwind.platform.table_format import decode_table
from linnetwind.platform.upstream_format import decode_upstream
from linnetwind.record_store import KeyedRecord

# The stack size of a rank agent's threads.
RANK_AGENT_STACK_BYTES = 131_072


@pytest.fixture(name='run_on_small_stack')
def _run_on_small_stack():
    previous = threading.stack_size(RANK_AGENT_STACK_BYTES)

    def run(work):
        found = []
        thread = threading.Thread(target=lambda: found.append(work()))
        thread.start()
        thread.join()
        return found[0]

    yield run
    threading.stack_size(previous)


@pytest.mark.parametrize('depth', [33, 900, 100_000])
@pytest.mark.parametrize('opening', ['[', '{"a":', '{"models":[{"a":'])
def test_deep_nesting_is_an_error_and_crashes_no_process(
    run_on_small_stack, depth, opening
):
    # A worker or another writer sends content that is nested hundreds of levels
    # deep. The parser recurses for each level and overflows the thread's stack:
    # a signal kills the daemon and nothing is logged. The daemon crashes again
    # after each restart while the content is in the store.
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


def test_brackets_in_strings_do_not_count_as_nesting():
    text = '"' + '[' * 100 + '\\"' + '{' * 100 + '"'
    found = decode_table(b'{"version":%s}' % text.encode())
    assert found.field == 'version'
