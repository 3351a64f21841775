"""The commands that check and publish a configuration."""

import getpass
import time
import uuid
from collections.abc import Sequence
from datetime import timedelta
from itertools import repeat
from math import ceil
from pathlib import Path
from typing import Annotated

import typer

from linnetwind.address import Address
from linnetwind.config_fold import Accepted, Conflict, Invalid
from linnetwind.config_loader import load_deployment
from linnetwind.errors import Described
from linnetwind.log_http import make_log
from linnetwind.publisher import (
    Unresolved,
    prepare,
    publish_once,
    read_state,
)

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

_PAUSE_SECONDS = 0.2

Folder = Annotated[
    Path,
    typer.Argument(help='Holds base.yaml and overlays/SITE.yaml.'),
]
LogService = Annotated[
    str, typer.Option('--log', help='The log service, as IP:PORT.')
]
BasedOn = Annotated[
    int | None,
    typer.Option(
        help='The revision that your files were made from. If a part that '
        'you change has a later one, the publish is refused (exit 3). '
        'Left out: the revision in force right now.'
    ),
]
Wait = Annotated[
    float,
    typer.Option(help='How long to try, in seconds, while the log is out.'),
]


def check(folder: Folder) -> None:
    """Check a base together with all its overlays.

    Exit codes: 0 it is valid, 2 it has errors (all are listed).
    """
    deployment, errors = load_deployment(folder)
    _exit_on(errors)
    if deployment is not None:
        count = len(deployment.overlays)
        typer.echo(f'{folder}: valid, {count} overlays')


def publish(
    folder: Folder,
    log_service: LogService,
    based_on: BasedOn = None,
    wait: Wait = 30,
) -> None:
    """Publish the parts of a configuration that differ from those in force.

    Either all changed parts take effect or none. Exit codes: 0 accepted or
    nothing to change, 2 invalid, 3 another publish came first, 4 the log
    service is out and it is not known whether the publish is in it; running
    the same command again is safe.
    """
    deployment, errors = load_deployment(folder)
    _exit_on(errors)
    log = make_log(parse_address(log_service), timedelta(seconds=2))
    state = read_state(log)
    if state.is_err() or deployment is None:
        typer.echo(state.unwrap_err().describe(), err=True)
        raise typer.Exit(EXIT_UNAVAILABLE)
    change = prepare(
        deployment,
        state.unwrap(),
        based_on,
        uuid.uuid4().hex,
        getpass.getuser(),
    )
    if not change.updates:
        revision = state.unwrap().revision
        typer.echo(f'revision {revision}: nothing to change')
        return
    pauses = repeat(_PAUSE_SECONDS, ceil(wait / _PAUSE_SECONDS))
    _tell(publish_once(log, state.unwrap(), change, pauses, time.sleep))


def parse_address(text: str) -> Address:
    """Read an address from the command line.

    Args:
      text: IP:PORT.

    Returns:
      The address.

    Raises:
      BadParameter: If it is not one.
    """
    ip, _separator, port = text.rpartition(':')
    if not ip or not port.isdecimal():
        raise typer.BadParameter(f'{text!r} is not IP:PORT')
    return Address(ip, int(port))


def _tell(verdict: Accepted | Conflict | Invalid | Unresolved) -> None:
    match verdict:
        case Accepted(revision=revision):
            typer.echo(f'accepted as revision {revision}')
        case Conflict():
            typer.echo(f'refused: {verdict.describe()}', err=True)
            raise typer.Exit(EXIT_CONFLICT)
        case Invalid():
            typer.echo(f'refused: {verdict.describe()}', err=True)
            raise typer.Exit(EXIT_INVALID)
        case Unresolved():
            typer.echo(verdict.describe(), err=True)
            raise typer.Exit(EXIT_UNAVAILABLE)


def _exit_on(errors: Sequence[Described]) -> None:
    for error in errors:
        typer.echo(error.describe(), err=True)
    if errors:
        raise typer.Exit(EXIT_INVALID)
