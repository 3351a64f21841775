"""The commands that validate and publish a configuration."""

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
    prepare_publish,
    publish_once,
    read_state,
)

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

RETRY_SECONDS = 0.2

Folder = Annotated[
    Path,
    typer.Argument(help='The folder with base.yaml and overlays/SITE.yaml.'),
]
LogService = Annotated[
    str, typer.Option('--log', help='The log service, as IP:PORT.')
]
BasedOn = Annotated[
    int | None,
    typer.Option(
        help='The revision that your files are based on. If a part that you '
        'change has a later revision, the publish is refused (exit 3). '
        'Default: the revision currently in force.'
    ),
]
Wait = Annotated[
    float,
    typer.Option(
        help='How many seconds to retry while the log is unavailable.'
    ),
]


def check(folder: Folder) -> None:
    """Validate a base together with all its overlays.

    Exit codes: 0 valid, 2 errors, which are all listed.
    """
    deployment, errors = load_deployment(folder)
    _exit_if_any(errors)
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
    nothing to change, 2 invalid, 3 conflict with an earlier publish, 4 the log
    service is unavailable and the publish may or may not be stored; running
    the same command again is safe.
    """
    deployment, errors = load_deployment(folder)
    _exit_if_any(errors)
    log = make_log(parse_address(log_service), timedelta(seconds=2))
    state = read_state(log)
    if state.is_err() or deployment is None:
        typer.echo(state.unwrap_err().describe(), err=True)
        raise typer.Exit(EXIT_UNAVAILABLE)
    change = prepare_publish(
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
    delays = repeat(RETRY_SECONDS, ceil(wait / RETRY_SECONDS))
    report_verdict(
        publish_once(log, state.unwrap(), change, delays, time.sleep)
    )


def parse_address(text: str) -> Address:
    """Parse an address given on the command line.

    Args:
      text: The address as IP:PORT.

    Returns:
      The address.

    Raises:
      BadParameter: The text is not of this form.
    """
    ip, _separator, port = text.rpartition(':')
    if not ip or not port.isdecimal():
        raise typer.BadParameter(f'{text!r} is not IP:PORT')
    return Address(ip, int(port))


def report_verdict(
    verdict: Accepted | Conflict | Invalid | Unresolved,
) -> None:
    """Show the verdict on a publish, and exit unless it was accepted.

    Args:
      verdict: The verdict.

    Raises:
      Exit: The publish was refused, or its verdict is not known.
    """
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


def _exit_if_any(errors: Sequence[Described]) -> None:
    for error in errors:
        typer.echo(error.describe(), err=True)
    if errors:
        raise typer.Exit(EXIT_INVALID)
