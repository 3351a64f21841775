"""Starts an example at reduced size, serves one session, stops everything."""

import argparse
import signal
import sys
import tempfile
from pathlib import Path

from standins.cluster import reduced, running_cluster, wait_until
from standins.session import Session, transcript

EXAMPLES = Path(__file__).parent.parent / 'examples'


def main() -> int:
    """Run the demo; the exit code is 0 if nothing was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('example', nargs='?', default='queretaro')
    example = EXAMPLES / parser.parse_args().example
    # A demo that is told to stop must stop what it has started.
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(1))
    with tempfile.TemporaryDirectory() as folder:
        deployment = reduced(example, 3, 2, groups=True)
        with running_cluster(Path(folder), deployment, 2) as cluster:
            session = Session(cluster)
            session.run()
            print('\n'.join(transcript(session)))
            daemons = [
                node for node in cluster.nodes.values() if node.is_daemon
            ]
            for node in daemons:
                node.signal(signal.SIGTERM)
            wait_until(
                lambda: all(node.process.poll() is not None for node in daemons)
            )
            graceful = all(node.process.returncode == 0 for node in daemons)
    print(f'all {len(daemons)} daemons ended in order: {graceful}')
    print(
        f'demo: {session.answered} answered, {session.refused} refused, '
        f'{session.lost} lost'
    )
    return 0 if graceful and session.lost == 0 else 1


if __name__ == '__main__':
    sys.exit(main())
