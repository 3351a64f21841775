"""Tests of packing counts and maps into bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetwind.rank_packing import (
    UnpackError,
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
def test_unpacked_counts_equal_the_packed_ones(counts):
    size = len(counts)
    lanes = unpack_lanes(pack_lanes(join_counts(counts), size), size)
    assert split_counts(lanes, size) == counts


_COUNTS = st.tuples(*[st.integers(0, 2**24)] * 5)


@given(st.lists(_COUNTS, min_size=1, max_size=200))
def test_lanes_add_up_as_counts_do(rows):
    total = sum(map(join_counts, rows))
    assert split_counts(total, 5) == tuple(map(sum, zip(*rows, strict=True)))


@given(st.data(), st.integers(1, 4), st.integers(1, 5))
def test_an_unpacked_map_equals_the_packed_one(data, layers, ranks):
    maps = tuple(
        tuple(data.draw(_EXPERTS) for _rank in range(ranks))
        for _layer in range(layers)
    )
    assert unpack_maps(pack_maps(maps)) == maps


@given(st.binary(max_size=60))
def test_invalid_bytes_raise_not_packed(content):
    with pytest.raises(UnpackError):
        unpack_maps(content)


def test_counts_of_another_size_raise_not_packed():
    packed = pack_lanes(join_counts((1, 2)), 2)
    for content, size in (
        (packed[:-1], 2),
        (packed, 3),
        (packed, 1),
        (b'x', 2),
    ):
        with pytest.raises(UnpackError):
            unpack_lanes(content, size)


_SMALL = st.tuples(*[st.integers(0, 3)] * 4)


@given(_SMALL, _SMALL)
def test_lanes_may_be_subtracted_only_if_none_decreased(before, after):
    # A rank has restarted, and only a smaller count shows it. Subtracting a
    # larger count from it would borrow from the next lane, and an expert would
    # seem to have been chosen about 2**32 times.
    is_allowed = may_subtract(join_counts(after), join_counts(before), 4)
    assert is_allowed == all(
        new >= old for new, old in zip(after, before, strict=True)
    )
    if is_allowed:
        difference = join_counts(after) - join_counts(before)
        assert split_counts(difference, 4) == tuple(
            new - old for new, old in zip(after, before, strict=True)
        )
