"""Arguments and options that several ``ctl`` commands take."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from jujubewharf.configuration import resources

Kind = Annotated[resources.Kind, typer.Argument(help="Kind of the resource.")]
Name = Annotated[str, typer.Argument(help="Name of the resource.")]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON in place of tables.")
]
Force = Annotated[
    bool,
    typer.Option("--force", help="Go on though a pool in use loses its last."),
]
OperationId = Annotated[
    str,
    typer.Option(
        help="Name of the operation; sent again under the same name, it"
        " takes effect once."
    ),
]
Generation = Annotated[
    int | None,
    typer.Option(
        min=1, help="Generation that must be in force; without it, the one now."
    ),
]
Service = Annotated[
    str, typer.Option(help="Only what belongs to this service.")
]
File = Annotated[
    pathlib.Path,
    typer.Option("--file", "-f", help="Configuration file; - reads the input."),
]
Prune = Annotated[
    bool,
    typer.Option("--prune", help="Delete what the file does not list."),
]
