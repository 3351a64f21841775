"""Tests of counts and maps as bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetwind.rank_packing import (
    NotPacked,
    pack_counts,
    pack_maps,
    unpack_counts,
    unpack_maps,
)

_EXPERTS = st.lists(st.integers(0, 65_535), max_size=6).map(tuple)


@given(st.lists(st.integers(0, 2**32 - 1)).map(tuple))
def test_counts_come_back_as_they_were(counts):
    assert unpack_counts(pack_counts(counts)) == counts


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
    with pytest.raises(NotPacked):
        unpack_counts(pack_counts((1, 2))[:-1])
