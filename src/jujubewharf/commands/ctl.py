"""``jujubewharf ctl``: create, change and inspect what the fleet runs.

Exit codes: 0 success; 1 refused; 2 invalid input; 3 outcome unknown, check
later with ``ctl operation ID``; 4 no instance reachable.
"""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from jujubewharf.commands import ctl_changes
from jujubewharf.commands import ctl_queries
from jujubewharf.commands import ctl_session
from jujubewharf.commands import ctl_tokens
from jujubewharf.operators import client as clients

app = typer.Typer(no_args_is_help=True, help=__doc__)
ctl_changes.add_to(app)
ctl_queries.add_to(app)
app.add_typer(ctl_tokens.app, name="token")


@app.callback()
def ctl(
    context: typer.Context,
    server: Annotated[
        list[str] | None,
        typer.Option(
            help="IP:PORT of an instance; repeat the option for failover."
            f" Default: {ctl_session.SERVERS_VARIABLE}, separated by commas."
        ),
    ] = None,
    servers_listed: Annotated[
        str,
        typer.Option(envvar=ctl_session.SERVERS_VARIABLE, hidden=True),
    ] = "",
    token_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            envvar=ctl_session.TOKEN_FILE_VARIABLE,
            help="File that contains the token. Default: the value of"
            f" {ctl_session.TOKEN_VARIABLE}.",
        ),
    ] = None,
    timeout_ms: Annotated[
        float, typer.Option(min=1, help="Timeout of a call to one instance.")
    ] = clients.DEFAULT_TIMEOUT_MS,
) -> None:
    """Create, change and inspect what the fleet runs."""
    listed = [one.strip() for one in servers_listed.split(",") if one.strip()]
    context.obj = ctl_session.Session(
        tuple(server or listed), token_file, timeout_ms
    )
