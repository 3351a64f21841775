"""The demo's session against its golden file, for both examples.

To renew a golden file after a wanted change, run this module as a script:
`python -m standins.session_test`, and read the difference before taking it.
"""

import tempfile
from pathlib import Path

import pytest

from standins.cluster import reduced, running_cluster
from standins.session import Session, transcript

ROOT = Path(__file__).parent
NAMES = ('queretaro', 'qurum')


def golden(name):
    return ROOT / 'testdata' / f'session-{name}.txt'


def play(name, folder):
    deployment = reduced(ROOT.parent / 'examples' / name, 2, 2)
    with running_cluster(folder, deployment, 2) as cluster:
        session = Session(cluster)
        session.run()
        return '\n'.join(transcript(session)) + '\n'


@pytest.mark.parametrize('name', NAMES)
def test_whole_session_is_as_in_the_golden_file(name, tmp_path):
    assert play(name, tmp_path) == golden(name).read_text('utf-8')


if __name__ == '__main__':
    for each in NAMES:
        with tempfile.TemporaryDirectory() as scratch:
            golden(each).write_text(play(each, Path(scratch)), 'utf-8')
