"""The platform's names stay in this folder."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent

# Headers, fields and paths that have no meaning of their own in our code.
WIRE_NAMES = re.compile(
    '|'.join(
        (
            'attempt-id',
            'response-seal',
            'prompt-prefix',
            'not-executed',
            'expect-instance',
            'server-load',
            'pathPrefix',
            'targetLatencyMs',
            'streamResume',
            'coldRemainingMs',
            'endOffset',
            'preloaded',
            'log-newest',
            'log-read',
            '/-/order',
            '/-/picked',
            '/-/report',
            'keyed[.](op|servers|status)',
        )
    ),
    re.IGNORECASE,
)


def test_no_other_module_knows_a_name_of_the_wire():
    found = [
        f'{path.name}: {name}'
        for path in sorted(PACKAGE.glob('*.py'))
        for name in WIRE_NAMES.findall(path.read_text())
    ]
    assert found == []


def test_files_stay_small():
    # Larger files hold more than one job, and a newcomer loses the thread.
    large = [
        path.name
        for path in [*PACKAGE.glob('*.py'), *PACKAGE.glob('platform/*.py')]
        if len(path.read_text().splitlines()) > 400
        and not path.name.endswith('_test.py')
    ]
    assert large == []
