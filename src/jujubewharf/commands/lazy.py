"""Command groups that are loaded when they are asked for.

The daemon is one command of many. Loading the others with it (stand-ins,
experiments, demo, operator tables) cost each entry instance some megabytes of
the little that it may have.
"""

from __future__ import annotations

import importlib
from typing import Any

import typer
from typer import core
from typer import main as typer_main

# Each module has a ``typer.Typer`` named ``app``, or a function named as the
# command.
_MODULES = {
    "ctl": "jujubewharf.commands.ctl",
    "demo": "jujubewharf.commands.demo",
    "experiment": "jujubewharf.commands.experiment",
    "standin": "jujubewharf.commands.standin",
}


class LazyCommands(core.TyperGroup):
    """The group of all commands."""

    def list_commands(self, ctx: Any) -> list[str]:
        """Names of all commands, for the help text."""
        return sorted([*super().list_commands(ctx), *_MODULES])

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Loads a command."""
        if cmd_name not in _MODULES:
            return super().get_command(ctx, cmd_name)
        module = importlib.import_module(_MODULES[cmd_name])
        app = getattr(module, "app", None)
        if app is None:
            app = typer.Typer()
            app.command(cmd_name)(getattr(module, cmd_name))
        command = typer_main.get_command(app)
        command.name = cmd_name
        return command
