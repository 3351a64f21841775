"""The command that takes a data centre out of service."""

import getpass
import time
import uuid
from datetime import UTC, datetime, timedelta
from itertools import repeat
from math import ceil
from typing import Annotated

import typer

from linnetwind.cmd_config import (
    EXIT_INVALID,
    EXIT_UNAVAILABLE,
    RETRY_SECONDS,
    LogService,
    Wait,
    parse_address,
    report_verdict,
)
from linnetwind.config_evacuation import (
    EvacuationChange,
    UnknownSite,
    prepare_evacuation,
)
from linnetwind.log_http import make_log
from linnetwind.publisher import publish_once, read_state

_LOG_TIMEOUT = timedelta(seconds=2)

SiteArgument = Annotated[
    str, typer.Argument(help='The name of the data centre.')
]
Cancel = Annotated[
    bool, typer.Option('--cancel', help='Bring it back into service.')
]


def evacuate(
    site: SiteArgument,
    log_service: LogService,
    cancel: Cancel = False,
    wait: Wait = 30,
) -> None:
    """Send no more requests to the upstreams of a data centre.

    Requests that run there end there. Exit codes: 0 accepted or nothing to
    change, 2 no such data centre, 3 conflict with an earlier publish, 4 the log
    service is unavailable and the change may or may not be stored; running the
    same command again is safe.
    """
    log = make_log(parse_address(log_service), _LOG_TIMEOUT)
    read = read_state(log)
    if read.is_err():
        typer.echo(read.unwrap_err().describe(), err=True)
        raise typer.Exit(EXIT_UNAVAILABLE)
    state = read.unwrap()
    change = EvacuationChange(
        site, cancel, getpass.getuser(), datetime.now(UTC)
    )
    publish = prepare_evacuation(state, change, uuid.uuid4().hex)
    if isinstance(publish, UnknownSite):
        typer.echo(f'refused: {publish.describe()}', err=True)
        raise typer.Exit(EXIT_INVALID)
    if not publish.updates:
        typer.echo(f'revision {state.revision}: nothing to change')
        return
    delays = repeat(RETRY_SECONDS, ceil(wait / RETRY_SECONDS))
    report_verdict(publish_once(log, state, publish, delays, time.sleep))
