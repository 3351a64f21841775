"""Tests that the platform's names stay in this folder and files stay small."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent

# Headers, fields and paths that only the platform's protocol uses.
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


def test_no_module_outside_this_folder_uses_wire_names():
    violations = [
        f'{path.name}: {name}'
        for path in sorted(PACKAGE.glob('*.py'))
        for name in WIRE_NAMES.findall(path.read_text())
    ]
    assert violations == []


def test_files_stay_small():
    # A larger file has more than one responsibility and is hard to follow.
    large_files = [
        path.name
        for path in [*PACKAGE.glob('*.py'), *PACKAGE.glob('platform/*.py')]
        if len(path.read_text().splitlines()) > 400
        and not path.name.endswith('_test.py')
    ]
    assert large_files == []
