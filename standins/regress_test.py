"""Tests of comparing scores with the last record."""

import json

from typer.testing import CliRunner

from standins import regress


def _entry(path, ended, figure, *, gate=True, ok=True, cmd='score'):
    day = {'name': 'quiet', 'G': figure, 'gate': gate}
    entry = {
        'cmd': cmd,
        'site': 'here',
        'ok': ok,
        'at': ['', ended],
        'head': 'abcdef0123',
        'days': [day],
    }
    (path / f'{ended}.json').write_text(json.dumps(entry))


def test_only_finished_scores_of_the_deployment_count(tmp_path):
    _entry(tmp_path, '2', 0.5)
    _entry(tmp_path, '1', 0.4)
    _entry(tmp_path, '3', 0.9, ok=False)
    _entry(tmp_path, '4', 0.9, cmd='hunt')
    found = regress.read_records(tmp_path, 'here')
    assert [each.figures['quiet'] for each in found] == [0.4, 0.5]
    assert regress.read_records(tmp_path, 'elsewhere') == []


def test_each_day_stands_beside_its_last_record(tmp_path):
    _entry(tmp_path, '1', 0.4)
    _entry(tmp_path, '2', 0.5, gate=False)
    before, after = regress.read_records(tmp_path, 'here')
    lines = list(regress.compare(before, after))
    assert '0.500' in lines[0]
    assert '+0.100' in lines[0]
    assert 'broken' in lines[1]
    assert len(list(regress.compare(None, before))) == 1


def test_without_a_bench_it_says_so_and_ends_well():
    app = regress.typer.Typer()
    app.command()(regress.main)
    result = CliRunner().invoke(app, [])
    assert result.exit_code == 0
    assert 'skipped' in result.stdout
