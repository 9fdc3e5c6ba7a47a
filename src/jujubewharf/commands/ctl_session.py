"""Connection settings, errors and exit codes of ``jujubewharf ctl``."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import json
import os
import pathlib
import sys
from typing import Any
from typing import NoReturn
from typing import TypeVar

import pydantic_core
import typer

from jujubewharf import errors
from jujubewharf.operators import call_errors
from jujubewharf.operators import client as clients
from jujubewharf.operators import values

TOKEN_VARIABLE = "JUJUBEWHARF_TOKEN"
TOKEN_FILE_VARIABLE = "JUJUBEWHARF_TOKEN_FILE"
SERVERS_VARIABLE = "JUJUBEWHARF_SERVERS"

_BAD_INPUT_KINDS = (
    errors.ErrorKind.BAD_REQUEST,
    errors.ErrorKind.CONFIG_INVALID,
)

_Answer = TypeVar("_Answer")


class ExitCode(enum.IntEnum):
    """Exit codes of ``ctl`` commands."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    OUTCOME_UNKNOWN = 3
    UNREACHABLE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Addresses and credentials of a ``ctl`` command.

    Attributes:
        servers: ``IP:PORT`` of instances, in order of preference.
        token_file: File that contains the token; ``None`` reads it from the
            environment.
        timeout_ms: Timeout of a call to one instance, in milliseconds.
    """

    servers: tuple[str, ...]
    token_file: pathlib.Path | None = None
    timeout_ms: float = clients.DEFAULT_TIMEOUT_MS

    def run(
        self,
        call: Callable[[clients.OperatorClient], Awaitable[_Answer]],
        *,
        as_json: bool = False,
    ) -> _Answer:
        """Runs a call and returns its result; exits the command on failure."""
        if not self.servers:
            fail(ExitCode.BAD_INPUT, f"pass --server or set {SERVERS_VARIABLE}")
        token = self._token()
        try:
            return asyncio.run(self._run_with_client(token, call))
        except call_errors.UnreachableError as error:
            fail(ExitCode.UNREACHABLE, str(error))
        except errors.WharfError as error:
            fail_with(call_errors.to_detail(error), as_json=as_json)

    async def _run_with_client(
        self,
        token: str,
        call: Callable[[clients.OperatorClient], Awaitable[_Answer]],
    ) -> _Answer:
        client = clients.OperatorClient(
            self.servers, token, timeout_ms=self.timeout_ms
        )
        async with client:
            return await call(client)

    def _token(self) -> str:
        if self.token_file is None:
            return os.environ.get(TOKEN_VARIABLE, "")
        try:
            return self.token_file.read_text(encoding="utf-8").strip()
        except OSError as error:
            fail(ExitCode.BAD_INPUT, f"{self.token_file}: {error.strerror}")


def exit_code_of(detail: values.ErrorDetail) -> ExitCode:
    """Returns the exit code for a failed call."""
    if detail.ran is not errors.Ran.NO:
        return ExitCode.OUTCOME_UNKNOWN
    if detail.kind in [kind.value for kind in _BAD_INPUT_KINDS]:
        return ExitCode.BAD_INPUT
    return ExitCode.REFUSED


def fail(code: ExitCode, message: str) -> NoReturn:
    """Prints an error message and exits the command."""
    print(message, file=sys.stderr)
    raise typer.Exit(code)


def fail_with(detail: values.ErrorDetail, *, as_json: bool) -> NoReturn:
    """Prints the error of a failed call and exits the command."""
    if as_json:
        print(to_json({"error": detail}), file=sys.stderr)
    else:
        for line in error_lines(detail):
            print(line, file=sys.stderr)
    raise typer.Exit(exit_code_of(detail))


def error_lines(detail: values.ErrorDetail) -> list[str]:
    """Formats an error for humans, with the operation ID for a later lookup."""
    lines = [f"{detail.kind}: {detail.message}"]
    if detail.violations:
        lines.extend(f"  {violation}" for violation in detail.violations)
    elif detail.detail:
        lines.append(f"  {detail.detail}")
    lines.append(f"  ran: {detail.ran.value}")
    if detail.operation_id:
        lines.append(f"  operation: {detail.operation_id}")
    return lines


def to_json(value: Any) -> str:
    """Formats data classes as indented JSON."""
    data = pydantic_core.to_jsonable_python(value)
    return json.dumps(data, indent=2, ensure_ascii=False)


def to_json_line(value: Any) -> str:
    """Formats a data class as one line of JSON."""
    data = pydantic_core.to_jsonable_python(value)
    return json.dumps(data, ensure_ascii=False)
