"""Scores deployments and prints each beside its last record.

`make regress BENCH=PROGRAM SITES="FILE..."`; without a bench it says so and
ends well, since only the users have it. The records are the bench's own, in
`journal/`.
"""

import json
import subprocess
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

_JOURNAL = Path('journal')
_WHY = 'regression run'


@dataclass(frozen=True, slots=True)
class Record:
    """One score: when it ended, of which commit, and the figure of each day."""

    ended: str
    head: str
    figures: dict[str, float]
    broken: tuple[str, ...]


def read_records(journal: Path, site: str) -> list[Record]:
    """Return the scores of a deployment, the oldest first.

    Args:
      journal: The folder of the bench's entries.
      site: The deployment's name.

    Returns:
      Its finished scores.
    """
    return sorted(_scores(journal, site), key=lambda record: record.ended)


def compare(before: Record | None, after: Record) -> Iterator[str]:
    """Yield a line for each day.

    Args:
      before: The last record, None if there is none.
      after: The new one.

    Yields:
      The day, its figure before and after, and the difference.
    """
    known = before.figures if before else {}
    for day, figure in after.figures.items():
        if day in known:
            change = f'{known[day]:7.3f} {figure - known[day]:+7.3f}'
        else:
            change = f'{"-":>7} {"-":>7}'
        yield f'  {day:12} {figure:7.3f} {change}'
    for day in after.broken:
        yield f'  {day}: a rule was broken, or the day is below its floor'


def main(
    bench: Annotated[str, typer.Argument()] = '',
    sites: Annotated[list[Path] | None, typer.Argument()] = None,
) -> None:
    """Score each site file, one after the other."""
    if not bench or not Path(bench).exists():
        print('regress: skipped, no bench is given (BENCH=PROGRAM)')
        return
    failed = False
    for site in sites or []:
        before = read_records(_JOURNAL, site.stem)
        subprocess.run([bench, 'score', str(site), '--why', _WHY], check=False)
        after = read_records(_JOURNAL, site.stem)
        if len(after) == len(before):
            print(f'{site.stem}: the score did not finish')
            failed = True
            continue
        newest = after[-1]
        failed = failed or bool(newest.broken)
        print(f'{site.stem} at {newest.head[:8]}: now, last record, change')
        print('\n'.join(compare(before[-1] if before else None, newest)))
    raise typer.Exit(int(failed))


def _scores(journal: Path, site: str) -> Iterator[Record]:
    for path in journal.glob('*.json'):
        entry = json.loads(path.read_text('utf-8'))
        wanted = entry.get('cmd') == 'score' and entry.get('site') == site
        if wanted and entry.get('ok') and entry.get('days'):
            yield _record(entry)


def _record(entry: dict) -> Record:
    days = entry['days']
    return Record(
        ended=entry['at'][1],
        head=entry['head'],
        figures={day['name']: day['G'] for day in days},
        broken=tuple(day['name'] for day in days if not day['gate']),
    )


if __name__ == '__main__':
    typer.run(main)
