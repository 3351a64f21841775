"""The `linnetwind` command and its subcommands."""

import typer

from linnetwind.cmd_config import check, publish
from linnetwind.cmd_daemons import entry, side
from linnetwind.cmd_evacuate import evacuate
from linnetwind.cmd_status import explain, status

app = typer.Typer(
    help='linnetwind: a load balancer for expert-parallel model groups.',
    no_args_is_help=True,
    add_completion=False,
)
app.command()(entry)
app.command()(side)
app.command()(check)
app.command()(publish)
app.command()(evacuate)
app.command()(status)
app.command()(explain)
