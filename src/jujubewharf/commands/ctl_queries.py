"""``ctl`` commands that inspect the fleet."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Annotated

import typer

from jujubewharf import errors
from jujubewharf.commands import ctl_options as options
from jujubewharf.commands import ctl_session
from jujubewharf.commands import ctl_tables
from jujubewharf.operators import call_errors
from jujubewharf.operators import client as clients
from jujubewharf.operators import values


def add_to(app: typer.Typer) -> None:
    """Adds the commands to the application."""
    app.command("get")(get)
    app.command("list")(list_resources)
    app.command("watch")(watch)
    app.command("history")(history)
    app.command("operation")(operation)
    app.command("status")(status)
    app.command("accept-loss")(accept_loss)
    app.command("engines")(engines)
    app.command("whoami")(whoami)


def get(
    context: typer.Context,
    kind: options.Kind,
    name: options.Name,
    as_json: options.AsJson = False,
) -> None:
    """Show one resource."""
    session: ctl_session.Session = context.obj
    stored = session.run(lambda client: client.get(kind, name), as_json=as_json)
    _show(stored, ctl_tables.resource_table(stored), as_json=as_json)


def list_resources(
    context: typer.Context,
    kind: options.Kind,
    service: options.Service = "",
    as_json: options.AsJson = False,
) -> None:
    """List the resources of a kind."""
    session: ctl_session.Session = context.obj
    held = session.run(
        lambda client: client.list_all(kind, service=service),
        as_json=as_json,
    )
    _show(held, ctl_tables.resources_table(kind, held), as_json=as_json)


def watch(
    context: typer.Context,
    service: options.Service = "",
    until_current: Annotated[
        bool,
        typer.Option("--until-current", help="Exit after the current state."),
    ] = False,
) -> None:
    """Print the current state and every change, one JSON line each."""
    session: ctl_session.Session = context.obj

    async def follow(client: clients.OperatorClient) -> None:
        events = client.watch(service=service)
        async with contextlib.aclosing(events):
            async for event in events:
                print(ctl_session.to_json_line(event), flush=True)
                if event.is_snapshot_end and until_current:
                    return

    session.run(follow, as_json=True)


def history(
    context: typer.Context,
    kind: options.Kind,
    name: options.Name,
    limit: Annotated[
        int, typer.Option(min=1, help="Maximum number of changes.")
    ] = 20,
    as_json: options.AsJson = False,
) -> None:
    """Show the changes of a resource, newest first."""
    session: ctl_session.Session = context.obj
    reply = session.run(
        lambda client: client.history(kind, name, page_size=limit),
        as_json=as_json,
    )
    _show(reply, ctl_tables.history_table(reply.entries), as_json=as_json)


def operation(
    context: typer.Context,
    operation_id: str,
    as_json: options.AsJson = False,
) -> None:
    """Show the outcome of an operation."""
    session: ctl_session.Session = context.obj
    found = session.run(
        lambda client: client.operation(operation_id), as_json=as_json
    )
    _show(found, ctl_tables.fields_table(found), as_json=as_json)
    if found.state is values.OperationState.NOT_SEEN:
        raise typer.Exit(ctl_session.ExitCode.OUTCOME_UNKNOWN)
    if found.state is not values.OperationState.ACCEPTED:
        raise typer.Exit(ctl_session.ExitCode.REFUSED)


def status(
    context: typer.Context,
    members: Annotated[
        bool, typer.Option("--members", help="Show the fleet members as well.")
    ] = False,
    as_json: options.AsJson = False,
) -> None:
    """Show the status of every server of the list."""
    session: ctl_session.Session = context.obj
    statuses = session.run(
        lambda client: _statuses(client, session.servers), as_json=as_json
    )
    if as_json:
        print(ctl_session.to_json(dict(statuses)))
    else:
        ctl_tables.show(ctl_tables.statuses_table(statuses))
    answered = [
        one for _, one in statuses if isinstance(one, values.InstanceStatus)
    ]
    if members and answered and not as_json:
        ctl_tables.show(ctl_tables.members_table(answered[0].members))
    if len(answered) < len(statuses):
        raise typer.Exit(ctl_session.ExitCode.UNREACHABLE)


def accept_loss(
    context: typer.Context,
    server: Annotated[str, typer.Argument(help="IP:PORT of the instance.")],
    yes: Annotated[
        bool, typer.Option("--yes", help="Continue without confirmation.")
    ] = False,
    as_json: options.AsJson = False,
) -> None:
    """Let an instance continue without records that the log has lost."""
    session: ctl_session.Session = context.obj
    question = f"Continue at {server} without records that the log has lost?"
    if not yes and not typer.confirm(question):
        raise typer.Exit(ctl_session.ExitCode.REFUSED)
    at_server = dataclasses.replace(session, servers=(server,))
    status = at_server.run(lambda client: client.accept_loss(), as_json=as_json)
    table = ctl_tables.statuses_table([(server, status)])
    _show(status, table, as_json=as_json)


def engines(
    context: typer.Context,
    service: options.Service = "",
    as_json: options.AsJson = False,
) -> None:
    """Show the engines as seen by one instance."""
    session: ctl_session.Session = context.obj
    found = session.run(
        lambda client: client.engines(service=service), as_json=as_json
    )
    _show(found, ctl_tables.engines_table(found), as_json=as_json)


def whoami(context: typer.Context, as_json: options.AsJson = False) -> None:
    """Show the identity that the token belongs to."""
    session: ctl_session.Session = context.obj
    identity = session.run(lambda client: client.identity(), as_json=as_json)
    _show(identity, ctl_tables.fields_table(identity), as_json=as_json)


async def _statuses(
    client: clients.OperatorClient, servers: tuple[str, ...]
) -> list[tuple[str, values.InstanceStatus | str]]:
    found: list[tuple[str, values.InstanceStatus | str]] = []
    for server in servers:
        try:
            async with client.for_address(server) as one:
                found.append((server, await one.status()))
        except call_errors.UnreachableError:
            found.append((server, "unreachable"))
        except errors.WharfError as error:
            if error.kind is errors.ErrorKind.UNAUTHENTICATED:
                raise
            found.append((server, str(error)))
    return found


def _show(value: object, table: object, *, as_json: bool) -> None:
    if as_json:
        print(ctl_session.to_json(value))
    else:
        ctl_tables.show(table)
