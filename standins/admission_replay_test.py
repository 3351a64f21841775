"""Tests of admission by replaying two overlapping bursts of two classes."""

from standins.admission_replay import Replay
from standins.admission_scene import TWO_BURSTS

# A customer that asks for nine times as much as the other.
CUSTOMERS = ('c0', 'c9')


def test_urgent_streams_are_served_first_in_two_bursts():
    # Without priorities urgent streams, whose targets are shorter, lose most.
    # At the peak the streams that ask are 1.5 times what the group can run.
    before = Replay(TWO_BURSTS, 1, equal=True).run()
    after = Replay(TWO_BURSTS, 1, equal=False).run()
    print(before.outcomes.table('one priority', CUSTOMERS))
    print(after.outcomes.table('three priorities', CUSTOMERS))
    served = after.outcomes
    urgent, middle, batch = [served.worth(each) for each in range(3)]
    assert urgent >= middle >= batch
    assert urgent > 0.95
    assert min(urgent, middle, batch) >= served.worth(None) / 4
    for priority in range(3):
        for customer in range(24):
            worth = served.worth(priority, f'c{customer}')
            assert worth >= served.worth(None) / 4
    assert max(after.running) <= TWO_BURSTS.limit * 1.1
