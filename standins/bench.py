"""Runs all benches and writes their tables to docs/MEASUREMENTS.md."""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from standins import bench_limits, bench_placement, bench_routing

SEED = 1
HEAD = """# Measurements

Written by `make bench`; the same seed gives the same figures. The traces
are made from the users' brief, the decisions are the ones that the daemons
run. Nothing here is a measurement of real engines or networks.
"""


def lines(name: str) -> list[str]:
    """Return one bench's report."""
    benches = {
        'placement': bench_placement,
        'routing': bench_routing,
        'limits': bench_limits,
    }
    return list(benches[name].tables(SEED))


def main() -> None:
    """Run the benches side by side."""
    with ProcessPoolExecutor(3) as pool:
        parts = list(pool.map(lines, ('placement', 'routing', 'limits')))
    text = HEAD + '\n' + '\n\n'.join('\n'.join(part) for part in parts) + '\n'
    print(text)
    if len(sys.argv) > 1:
        Path(sys.argv[1]).write_text(text, 'utf-8')


if __name__ == '__main__':
    main()
