"""Arguments and options shared by several ``ctl`` commands."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from jujubewharf.configuration import resources

Kind = Annotated[resources.Kind, typer.Argument(help="Kind of the resource.")]
Name = Annotated[str, typer.Argument(help="Name of the resource.")]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of tables.")
]
Force = Annotated[
    bool,
    typer.Option("--force", help="Allow a change that empties a pool in use."),
]
OperationId = Annotated[
    str,
    typer.Option(
        help="ID of the operation; calls with the same ID take effect"
        " only once."
    ),
]
Generation = Annotated[
    int | None,
    typer.Option(
        min=1, help="Generation that must be current. Default: the current one."
    ),
]
Service = Annotated[str, typer.Option(help="Only resources of this service.")]
File = Annotated[
    pathlib.Path,
    typer.Option(
        "--file", "-f", help="Configuration file; - for standard input."
    ),
]
Prune = Annotated[
    bool,
    typer.Option("--prune", help="Delete resources that are not in the file."),
]
