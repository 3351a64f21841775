"""Tests that the incremental counts equal a recount."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from linnetwind.request_counts import RequestCounts

_INCARNATIONS = st.sampled_from(['a', 'b', 'c'])
_RUNNING = st.dictionaries(_INCARNATIONS, st.integers(1, 5))
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('begin'), _INCARNATIONS),
        st.tuples(st.just('end'), _INCARNATIONS),
        st.tuples(st.just('drop'), st.sampled_from(['p', 'q'])),
        st.tuples(st.just('hear'), st.sampled_from(['p', 'q']), _RUNNING),
    )
)


@given(_STEPS)
def test_incremental_counts_equal_a_recount(steps):
    counts = RequestCounts()
    own: Counter[str] = Counter()
    peers: dict[str, dict[str, int]] = {}
    for step in steps:
        match step:
            case 'begin', life:
                counts.begin(life)
                own[life] += 1
            case 'end', life:
                # Only a request that has started can end.
                if own[life]:
                    counts.end(life)
                    own[life] -= 1
            case 'drop', peer:
                counts.drop_peer(peer)
                peers.pop(peer, None)
            case 'hear', peer, running:
                counts.merge_advertised(peer, running)
                peers[peer] = running
        recounted = sum(map(Counter, peers.values()), Counter(own))
        assert dict(counts.totals) == {
            life: count for life, count in recounted.items() if count
        }
        assert dict(counts.own) == {
            life: count for life, count in own.items() if count
        }
        assert set(counts.peers) == set(peers)
