"""The ``jujubewharf`` command."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
from typing import Annotated

import typer

from jujubewharf import clock as clocks
from jujubewharf import entry as entries
from jujubewharf.commands import lazy
from jujubewharf.forwarding import settings as forwarding_settings
from jujubewharf.leaving import process
from jujubewharf.overload import settings_view
from jujubewharf.settings import models
from jujubewharf.settings import reader
from jujubewharf.telemetry import error_page as error_pages
from jujubewharf.telemetry import explanation
from jujubewharf.telemetry import logs
from jujubewharf.telemetry import metrics

_EXIT_BAD_SETTINGS = 2

app = typer.Typer(cls=lazy.LazyCommands, no_args_is_help=True, help=__doc__)
settings_app = typer.Typer(no_args_is_help=True, help="Check settings files.")
app.add_typer(settings_app, name="settings")

SettingsPath = Annotated[pathlib.Path, typer.Option("--settings")]


def _read_or_exit(path: pathlib.Path) -> models.EntrySettings:
    read = reader.read(path)
    if read.is_err():
        for line in read.unwrap_err():
            print(line, file=sys.stderr)
        raise typer.Exit(_EXIT_BAD_SETTINGS)
    return read.unwrap()


@app.command()
def entry(settings: SettingsPath) -> None:
    """Run one entry instance until SIGTERM, then drain it.

    Exit codes: 0 drained, 1 crashed, 2 invalid settings, 3 requests aborted.
    """
    checked = _read_or_exit(settings)
    logs.configure(checked.telemetry.log_level, instance=checked.instance)
    raise typer.Exit(asyncio.run(_run(checked)))


async def _run(settings: models.EntrySettings) -> int:
    daemon = entries.Entry(settings, clocks.Clock())
    identity = metrics.Identity(
        settings.instance, settings.region, settings.domain
    )
    return await process.run_daemon(
        daemon, settings.telemetry, identity, daemon.connections
    )


@app.command("errors")
def error_page() -> None:
    """Print the table of all errors in the format of docs/ERRORS.md."""
    print(error_pages.render(), end="")


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="ID sent by the caller.")],
    files: Annotated[list[pathlib.Path], typer.Argument(help="Log files.")],
) -> None:
    """Print the events of one request from the logs of several instances.

    Exit codes: 0 found, 1 no log line of the request in any file.
    """
    story = explanation.read(request_id, files)
    print(explanation.render(story), end="")
    raise typer.Exit(0 if story.lines else 1)


@settings_app.command("check")
def settings_check(
    path: pathlib.Path,
    forwarding: Annotated[
        bool, typer.Option(help="Settings file of a forwarding instance.")
    ] = False,
) -> None:
    """Check a settings file; prints every error with its path.

    Of a forwarding instance's file it prints what is set for overload.
    """
    if forwarding:
        _check_forwarding_or_exit(path)
    else:
        _read_or_exit(path)
    print("ok")


def _check_forwarding_or_exit(path: pathlib.Path) -> None:
    try:
        settings = forwarding_settings.read(path)
    except (ValueError, OSError) as error:
        print(error, file=sys.stderr)
        raise typer.Exit(_EXIT_BAD_SETTINGS) from None
    for line in settings_view.describe(settings):
        print(line)


@settings_app.command("schema")
def settings_schema() -> None:
    """Print the JSON Schema of the settings file."""
    schema = models.EntrySettings.model_json_schema()
    print(json.dumps(schema, indent=2))


def main() -> None:
    """Runs the command line."""
    app()
