"""Tests of counts and maps as bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetwind.rank_packing import (
    NotPacked,
    join_counts,
    may_subtract,
    pack_lanes,
    pack_maps,
    split_counts,
    unpack_lanes,
    unpack_maps,
)

_EXPERTS = st.lists(st.integers(0, 65_535), max_size=6).map(tuple)


@given(st.lists(st.integers(0, 2**32 - 1)).map(tuple))
def test_counts_come_back_as_they_were(counts):
    size = len(counts)
    lanes = unpack_lanes(pack_lanes(join_counts(counts), size), size)
    assert split_counts(lanes, size) == counts


_COUNTS = st.tuples(*[st.integers(0, 2**24)] * 5)


@given(st.lists(_COUNTS, min_size=1, max_size=200))
def test_lanes_add_up_as_counts_do(rows):
    added_up = sum(map(join_counts, rows))
    assert split_counts(added_up, 5) == tuple(map(sum, zip(*rows, strict=True)))


@given(st.data(), st.integers(1, 4), st.integers(1, 5))
def test_a_map_comes_back_as_it_was(data, layers, ranks):
    maps = tuple(
        tuple(data.draw(_EXPERTS) for _rank in range(ranks))
        for _layer in range(layers)
    )
    assert unpack_maps(pack_maps(maps)) == maps


@given(st.binary(max_size=60))
def test_other_bytes_are_refused_with_a_reason(content):
    with pytest.raises(NotPacked):
        unpack_maps(content)


def test_counts_that_were_cut_are_refused():
    whole = pack_lanes(join_counts((1, 2)), 2)
    for content, size in ((whole[:-1], 2), (whole, 3), (whole, 1), (b'x', 2)):
        with pytest.raises(NotPacked):
            unpack_lanes(content, size)


_SMALL = st.tuples(*[st.integers(0, 3)] * 4)


@given(_SMALL, _SMALL)
def test_lanes_are_subtracted_only_if_none_is_smaller(before, after):
    # A rank started again and nothing else shows it. One smaller count would
    # make that of the next expert wrong by four thousand millions.
    may = may_subtract(join_counts(after), join_counts(before), 4)
    assert may == all(
        new >= old for new, old in zip(after, before, strict=True)
    )
    if may:
        difference = join_counts(after) - join_counts(before)
        assert split_counts(difference, 4) == tuple(
            new - old for new, old in zip(after, before, strict=True)
        )
