"""``ctl`` commands that change the configuration."""

from __future__ import annotations

from collections.abc import Sequence
import json
import pathlib
import sys
from typing import Annotated

import typer

from jujubewharf.commands import ctl_options as options
from jujubewharf.commands import ctl_session
from jujubewharf.commands import ctl_tables
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.operators import client as clients
from jujubewharf.operators import documents
from jujubewharf.operators import values

_Assignments = Annotated[
    list[str] | None,
    typer.Argument(help="FIELD=VALUE; VALUE is JSON or plain text."),
]


def add_to(app: typer.Typer) -> None:
    """Adds the commands to the application."""
    app.command("apply")(apply)
    app.command("export")(export)
    app.command("create")(create)
    app.command("change")(change)
    app.command("delete")(delete)
    app.command("rollback")(rollback)
    app.command("drain")(drain)
    app.command("undrain")(undrain)


def apply(
    context: typer.Context,
    file: options.File,
    yes: Annotated[
        bool, typer.Option("--yes", help="Apply without confirmation.")
    ] = False,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Only show the differences.")
    ] = False,
    prune: options.Prune = False,
    force: options.Force = False,
    operation_id: options.OperationId = "",
    as_json: options.AsJson = False,
) -> None:
    """Apply a configuration file after showing the differences."""
    session: ctl_session.Session = context.obj
    desired = _read_file(file)
    planned = session.run(
        lambda client: client.apply(desired, prune=prune, dry_run=True),
        as_json=as_json,
    )
    if dry_run or not planned.items:
        _show_plan(planned, as_json=as_json)
        return
    if not yes:
        _show_plan(planned, as_json=False)
        if not typer.confirm(f"Change {len(planned.items)} resources?"):
            raise typer.Exit(ctl_session.ExitCode.REFUSED)
    reply = session.run(
        lambda client: client.apply(
            desired,
            prune=prune,
            force=force,
            operation_id=operation_id,
            seen_offset=planned.applied_offset,
        ),
        as_json=as_json,
    )
    _show(reply, ctl_tables.applied_table(reply.items), as_json=as_json)
    _exit_if_failed(reply)


def export(
    context: typer.Context,
    output: Annotated[
        pathlib.Path | None,
        typer.Option("--output", "-o", help="File to write."),
    ] = None,
    service: options.Service = "",
) -> None:
    """Write the current configuration as a file for apply."""
    session: ctl_session.Session = context.obj
    text = documents.dump(
        session.run(lambda client: _all_resources(client, service))
    )
    if output is None:
        print(text, end="")
        return
    output.write_text(text, encoding="utf-8")


def create(
    context: typer.Context,
    kind: options.Kind,
    name: options.Name,
    fields: _Assignments = None,
    operation_id: options.OperationId = "",
    as_json: options.AsJson = False,
) -> None:
    """Create one resource: ctl create service shop-api kind=plain."""
    session: ctl_session.Session = context.obj
    resource = _build_resource(kind, {"name": name}, fields or [])
    done = session.run(
        lambda client: client.create(resource, operation_id=operation_id),
        as_json=as_json,
    )
    _show(done, ctl_tables.fields_table(done), as_json=as_json)


def change(
    context: typer.Context,
    kind: options.Kind,
    name: options.Name,
    fields: _Assignments = None,
    generation: options.Generation = None,
    force: options.Force = False,
    operation_id: options.OperationId = "",
    as_json: options.AsJson = False,
) -> None:
    """Change fields of one resource: ctl change endpoint d1 slots=24."""
    session: ctl_session.Session = context.obj
    stored = session.run(lambda client: client.get(kind, name), as_json=as_json)
    resource = _build_resource(
        kind, resource_codec.dump(stored.resource), fields or []
    )
    done = session.run(
        lambda client: client.change(
            resource,
            expected_generation=generation or stored.generation,
            force=force,
            operation_id=operation_id,
        ),
        as_json=as_json,
    )
    _show(done, ctl_tables.fields_table(done), as_json=as_json)


def delete(
    context: typer.Context,
    kind: options.Kind,
    name: options.Name,
    generation: options.Generation = None,
    force: options.Force = False,
    operation_id: options.OperationId = "",
    as_json: options.AsJson = False,
) -> None:
    """Delete one resource."""
    session: ctl_session.Session = context.obj

    async def call(client: clients.OperatorClient) -> values.ChangeDone:
        expected = generation or (await client.get(kind, name)).generation
        return await client.delete(
            kind,
            name,
            expected_generation=expected,
            force=force,
            operation_id=operation_id,
        )

    done = session.run(call, as_json=as_json)
    _show(done, ctl_tables.fields_table(done), as_json=as_json)


def rollback(
    context: typer.Context,
    kind: options.Kind,
    name: options.Name,
    to: Annotated[int, typer.Option(min=1, help="Generation to restore.")],
    generation: Annotated[
        int, typer.Option(min=0, help="Current generation; 0 if deleted.")
    ],
    force: options.Force = False,
    operation_id: options.OperationId = "",
    as_json: options.AsJson = False,
) -> None:
    """Restore an earlier generation of a resource as a new change."""
    session: ctl_session.Session = context.obj
    done = session.run(
        lambda client: client.rollback(
            kind,
            name,
            to_generation=to,
            expected_generation=generation,
            force=force,
            operation_id=operation_id,
        ),
        as_json=as_json,
    )
    _show(done, ctl_tables.fields_table(done), as_json=as_json)


def drain(
    context: typer.Context,
    endpoint: options.Name,
    force: options.Force = False,
    operation_id: options.OperationId = "",
    as_json: options.AsJson = False,
) -> None:
    """Drain an endpoint: stop sending it new requests."""
    _set_drained(context.obj, endpoint, True, force, operation_id, as_json)


def undrain(
    context: typer.Context,
    endpoint: options.Name,
    operation_id: options.OperationId = "",
    as_json: options.AsJson = False,
) -> None:
    """End the drain of an endpoint."""
    _set_drained(context.obj, endpoint, False, False, operation_id, as_json)


def _set_drained(
    session: ctl_session.Session,
    endpoint: str,
    drained: bool,
    force: bool,
    operation_id: str,
    as_json: bool,
) -> None:
    done = session.run(
        lambda client: client.set_drained(
            endpoint, drained=drained, force=force, operation_id=operation_id
        ),
        as_json=as_json,
    )
    _show(done, ctl_tables.fields_table(done), as_json=as_json)


async def _all_resources(
    client: clients.OperatorClient, service: str
) -> list[resources.Resource]:
    found: list[resources.Resource] = []
    for kind in resources.Kind:
        held = await client.list_all(kind, service=service)
        found.extend(stored.resource for stored in held)
    return found


def _read_file(file: pathlib.Path) -> list[resources.Resource]:
    try:
        if str(file) == "-":
            text = sys.stdin.read()
        else:
            text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        ctl_session.fail(ctl_session.ExitCode.BAD_INPUT, f"{file}: {error}")
    parsed = documents.parse(text)
    if parsed.is_err():
        lines = "\n".join(parsed.unwrap_err())
        ctl_session.fail(ctl_session.ExitCode.BAD_INPUT, lines)
    return parsed.unwrap()


def _build_resource(
    kind: resources.Kind, data: dict[str, object], assignments: Sequence[str]
) -> resources.Resource:
    for assignment in assignments:
        path, is_given, text = assignment.partition("=")
        if not is_given:
            message = f"{assignment}: must be FIELD=VALUE"
            ctl_session.fail(ctl_session.ExitCode.BAD_INPUT, message)
        _assign(data, path.split("."), _parse_value(text))
    parsed = resource_codec.parse(kind, data)
    if parsed.is_err():
        lines = "\n".join(parsed.unwrap_err())
        ctl_session.fail(ctl_session.ExitCode.BAD_INPUT, lines)
    return parsed.unwrap()


def _assign(
    data: dict[str, object], path: Sequence[str], value: object
) -> None:
    for name in path[:-1]:
        inner = data.setdefault(name, {})
        if not isinstance(inner, dict):
            message = f"{'.'.join(path)}: {name} has no fields"
            ctl_session.fail(ctl_session.ExitCode.BAD_INPUT, message)
        data = inner
    data[path[-1]] = value


def _parse_value(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _show_plan(planned: values.ApplyReply, *, as_json: bool) -> None:
    if as_json or planned.items:
        table = ctl_tables.differences_table(planned.items)
        _show(planned, table, as_json=as_json)
    else:
        print("Nothing differs.")


def _show(value: object, table: object, *, as_json: bool) -> None:
    if as_json:
        print(ctl_session.to_json(value))
    else:
        ctl_tables.show(table)


def _exit_if_failed(reply: values.ApplyReply) -> None:
    codes = [
        ctl_session.exit_code_of(item.error)
        for item in reply.failed
        if item.error is not None
    ]
    if codes:
        raise typer.Exit(max(codes))
