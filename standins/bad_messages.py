"""Messages of other writers: arbitrary ones, and near misses of good ones."""

import json

from hypothesis import strategies as st

# Stands for a field that is left out.
MISSING = object()
# What the start of a life cannot be.
BORN = (-1, 1.0, 1.5, True, '5', [], 10**40)


def bad_entries(good):
    """Return entries of other writers for the address of a good entry."""
    wrong = [
        *({**good, 'state': bad} for bad in ('gone', None, 3)),
        *({**good, 'service': bad} for bad in (5, ['plain'], 'unknown')),
        *({**good, 'slots': bad} for bad in (0, -1, True, '6', 10**30)),
        *({**good, 'coldRemainingMs': bad} for bad in (10**30, '0')),
        *({**good, 'address': bad} for bad in ('x:1', '127.0.0.1:70000', 7)),
        *({**good, 'born': bad} for bad in BORN),
        *(
            {name: good[name] for name in good if name != left_out}
            for left_out in good
        ),
        [],
        None,
    ]
    return [
        *(json.dumps(each).encode() for each in wrong),
        b'\xff\xfe\x00',
        b'{"service":',
        b'{"a":' * 20_000,
        b'[' * 200_000,
    ]


def plain_json():
    """Return any JSON content."""
    return st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats(allow_nan=False, allow_infinity=False)
        | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=8,
    )


def near_misses(good):
    """Return copies of a message in each of which one field is wrong.

    Args:
      good: The message; all of its fields must be needed.
    """
    return st.sampled_from(sorted(good)).flatmap(
        lambda field: _wrong(good[field]).map(
            lambda bad: _changed(good, field, bad)
        )
    )


def _changed(good, field, bad):
    changed = {**good, field: bad}
    if bad is MISSING:
        changed.pop(field)
    return changed


def _wrong(content):
    usual = st.just(MISSING) | st.none() | st.booleans()
    match content:
        case str():
            return usual | st.integers() | st.lists(st.text())
        case int():
            return usual | st.text() | st.integers(max_value=-1)
        case list():
            return usual | st.integers() | st.text()
    return usual | st.integers() | st.text() | st.lists(st.integers())
