"""Command groups that are imported on first use.

Importing all commands (stand-ins, experiments, demo, operator tables) together
with the daemon would cost each entry instance some megabytes of memory.
"""

from __future__ import annotations

import importlib
from typing import Any

import typer
from typer import core
from typer import main as typer_main

# Each module has a ``typer.Typer`` named ``app`` or a function with the name of
# the command.
_MODULE_BY_COMMAND = {
    "ctl": "jujubewharf.commands.ctl",
    "demo": "jujubewharf.commands.demo",
    "experiment": "jujubewharf.commands.experiment",
    "standin": "jujubewharf.commands.standin",
}


class LazyCommands(core.TyperGroup):
    """Group of all commands, imported lazily."""

    def list_commands(self, ctx: Any) -> list[str]:
        """Returns the names of all commands, sorted."""
        return sorted([*super().list_commands(ctx), *_MODULE_BY_COMMAND])

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Imports and returns a command."""
        if cmd_name not in _MODULE_BY_COMMAND:
            return super().get_command(ctx, cmd_name)
        module = importlib.import_module(_MODULE_BY_COMMAND[cmd_name])
        app = getattr(module, "app", None)
        if app is None:
            app = typer.Typer()
            app.command(cmd_name)(getattr(module, cmd_name))
        command = typer_main.get_command(app)
        command.name = cmd_name
        return command
