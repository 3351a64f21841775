"""Tests of the parts of prompts that requests may share."""

import pytest

from linnetwind.prompt_parts import shareable_parts


@pytest.mark.parametrize(
    ('prompt', 'shareable'),
    [
        (('',), ()),
        (('own',), ()),
        (('first', 'other', 'own'), ('first', 'other')),
        (('first', 'first', 'own'), ('first',)),
        (('', 'first', 'own'), ('first',)),
        (('x' * 65, 'first', 'own'), ('first',)),
        (tuple(f'part-{number}' for number in range(4_000)), 1_024),
    ],
)
def test_the_last_part_and_unbounded_ones_are_left_out(prompt, shareable):
    found = shareable_parts(prompt)
    if isinstance(shareable, int):
        assert len(found) == shareable
    else:
        assert found == shareable
