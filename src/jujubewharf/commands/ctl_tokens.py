"""``jujubewharf ctl token``: creates and hashes tokens.

Tokens are never printed. A new token is written to a file that only its owner
can read; the output is the SHA-256 that resources contain.
"""

from __future__ import annotations

import os
import pathlib
import secrets

import typer

from jujubewharf import bearer
from jujubewharf.commands import ctl_session

_TOKEN_BYTES = 32
_OWNER_ONLY = 0o600

app = typer.Typer(no_args_is_help=True, help="Create and hash tokens.")


@app.command("new")
def new(file: pathlib.Path) -> None:
    """Write a new token to a new file and print its SHA-256."""
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(file, flags, _OWNER_ONLY), "w") as opened:
            opened.write(token + "\n")
    except OSError as error:
        message = f"{file}: {error.strerror}"
        ctl_session.fail(ctl_session.ExitCode.BAD_INPUT, message)
    print(bearer.token_digest(token))


@app.command("hash")
def hash_token(file: pathlib.Path) -> None:
    """Print the SHA-256 of the token in a file."""
    try:
        token = file.read_text(encoding="utf-8").strip()
    except OSError as error:
        message = f"{file}: {error.strerror}"
        ctl_session.fail(ctl_session.ExitCode.BAD_INPUT, message)
    print(bearer.token_digest(token))
