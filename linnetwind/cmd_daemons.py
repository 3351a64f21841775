"""The commands that run a daemon until a signal stops it."""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Protocol

import typer

from linnetwind.decision_log import start_logging
from linnetwind.errors import Described
from linnetwind.settings import load_entry_settings, load_side_settings
from linnetwind.stop_signals import StopSignals, hold_signals

EXIT_BAD_SETTINGS = 2

SettingsFile = Annotated[
    Path, typer.Argument(help='The YAML file with the daemon settings.')
]
LogLevel = Annotated[str, typer.Option(help='The lowest level that is logged.')]


class _Daemon(Protocol):
    def start(self) -> None:
        """Start serving."""

    def shut_down(self) -> None:
        """Finish the requests in flight and stop."""


def entry(settings_file: SettingsFile, log_level: LogLevel = 'INFO') -> None:
    """Run an entry daemon, which accepts callers' requests and routes them.

    SIGTERM or SIGINT drains it: it reports that it is not ready, waits until
    the load balancer has removed it, finishes the requests in flight and exits
    with 0.
    """
    hold_signals()
    from linnetwind.entry_daemon import EntryDaemon

    settings, errors = load_entry_settings(settings_file)
    if settings is None:
        _exit_with(errors)
    else:
        start_logging(log_level)
        _run(EntryDaemon(settings))


def side(settings_file: SettingsFile, log_level: LogLevel = 'INFO') -> None:
    """Run a side daemon beside the upstreams of its host.

    SIGTERM or SIGINT drains it: it refuses new calls, finishes the calls in
    flight and exits with 0.
    """
    hold_signals()
    from linnetwind.side_daemon import SideDaemon

    settings, errors = load_side_settings(settings_file)
    if settings is None:
        _exit_with(errors)
    else:
        start_logging(log_level)
        _run(SideDaemon(settings))


def _run(daemon: _Daemon) -> None:
    signals = StopSignals()
    daemon.start()
    signals.wait(_ignore_reload)
    daemon.shut_down()


def _ignore_reload() -> None:
    """Ignore SIGHUP: the settings are read only once, at the start."""


def _exit_with(errors: Sequence[Described]) -> None:
    for error in errors:
        typer.echo(error.describe(), err=True)
    raise typer.Exit(EXIT_BAD_SETTINGS)
