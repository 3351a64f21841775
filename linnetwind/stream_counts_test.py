"""Tests of the sums of requests, against adding up anew."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from linnetwind.stream_counts import StreamCounts

_LIVES = st.sampled_from(['a', 'b', 'c'])
_RUNNING = st.dictionaries(_LIVES, st.integers(1, 5))
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('begin'), _LIVES),
        st.tuples(st.just('end'), _LIVES),
        st.tuples(st.just('drop'), st.sampled_from(['p', 'q'])),
        st.tuples(st.just('hear'), st.sampled_from(['p', 'q']), _RUNNING),
    )
)


@given(_STEPS)
def test_the_sums_are_what_adding_up_gives(steps):
    counts = StreamCounts()
    own: Counter[str] = Counter()
    peers: dict[str, dict[str, int]] = {}
    for step in steps:
        match step:
            case 'begin', life:
                counts.begin(life)
                own[life] += 1
            case 'end', life:
                # Only what has begun ends.
                if own[life]:
                    counts.end(life)
                    own[life] -= 1
            case 'drop', peer:
                counts.drop(peer)
                peers.pop(peer, None)
            case 'hear', peer, running:
                counts.hear(peer, running)
                peers[peer] = running
        added_up = sum(map(Counter, peers.values()), Counter(own))
        assert dict(counts.totals) == {
            life: count for life, count in added_up.items() if count
        }
        assert dict(counts.own) == {
            life: count for life, count in own.items() if count
        }
        assert set(counts.peers) == set(peers)
