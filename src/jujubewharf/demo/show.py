"""Runs the demo and shows its progress on the terminal."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import statistics
import tempfile

import aiohttp
from rich import console as consoles
from rich import progress as progresses
from rich import table as tables

from jujubewharf.demo import checks
from jujubewharf.demo import deployment as deployments
from jujubewharf.demo import load
from jujubewharf.demo import processes
from jujubewharf.operators import call_errors
from jujubewharf.operators import client as operator_client

_TIME_LIMIT_S = 55.0


async def run(requests: int) -> list[str]:
    """Runs the demo.

    Args:
        requests: Number of requests to send.

    Returns:
        One line for each failure; empty on success.
    """
    console = consoles.Console()
    with tempfile.TemporaryDirectory(prefix="jujubewharf-demo-") as name:
        directory = pathlib.Path(name)
        try:
            async with asyncio.timeout(_TIME_LIMIT_S):
                failures = await _run(requests, directory, console)
        except (
            processes.StartError,
            aiohttp.ClientError,
            call_errors.OperatorError,
            call_errors.UnreachableError,
            TimeoutError,
        ) as error:
            failures = [f"{type(error).__name__}: {error}"]
            _print_logs(directory, console)
    for failure in failures:
        console.print(f"[red]{failure}", highlight=False)
    if not failures:
        console.print("[green]Every answer came once and whole.")
        console.print("[green]No engine holds memory.")
    return failures


async def _run(
    requests: int, directory: pathlib.Path, console: consoles.Console
) -> list[str]:
    async with (
        processes.Processes(directory) as running,
        aiohttp.ClientSession() as session,
    ):
        with console.status("Starting a deployment on loopback"):
            deployment = await deployments.start(running, directory)
            await deployments.publish_live_list(deployment, session)
            await deployments.wait_until_ready(deployment, session)
            await _apply(deployment)
            await deployments.wait_until_answering(deployment, session)
        console.print(_deployment_table(deployment))
        drained_entry = deployment.entries[-1]
        outcomes, replaced = await asyncio.gather(
            _load(requests, deployment, session, console),
            deployments.replace(running, deployment, drained_entry, session),
        )
        console.print(_outcome_table(outcomes))
        console.print(
            f"{drained_entry.instance} was drained under load in "
            f"{replaced.drained_s:.1f} s (exit code {replaced.exit_code}) and "
            "started anew.",
            highlight=False,
        )
        failures = [
            f"{o.kind.value}: {o.failure}" for o in outcomes if o.failure
        ]
        if replaced.exit_code != 0:
            failures.append(
                f"{drained_entry.instance}: exit code {replaced.exit_code}"
            )
        failures += await checks.find_execution_count_errors(
            outcomes, deployment, session
        )
        return failures + await checks.find_held_memory(deployment, session)


async def _apply(deployment: deployments.Deployment) -> None:
    """Applies the configuration over the operator RPC."""
    addresses = [entry.operators for entry in deployment.entries]
    async with operator_client.OperatorClient(
        addresses, deployment.operator_token
    ) as client:
        reply = await client.apply(deployment.declared_resources())
    if reply.failed:
        raise processes.StartError(
            f"configuration was rejected: {reply.failed}"
        )


async def _load(
    requests: int,
    deployment: deployments.Deployment,
    session: aiohttp.ClientSession,
    console: consoles.Console,
) -> list[load.Outcome]:
    bar = progresses.Progress(
        "{task.description}",
        progresses.BarColumn(),
        progresses.MofNCompleteColumn(),
        progresses.TimeElapsedColumn(),
        console=console,
    )
    with bar:
        task = bar.add_task("Requests", total=requests)
        generator = load.LoadGenerator(deployment.entries, session)
        return await generator.run(requests, lambda _: bar.advance(task))


def _deployment_table(deployment: deployments.Deployment) -> tables.Table:
    table = tables.Table(title="Deployment")
    for column in ("domain", "entry instances", "endpoints"):
        table.add_column(column)
    for domain in deployments.DOMAINS:
        entries = [
            f"{entry.instance}  http://{entry.callers}"
            for entry in deployment.entries
            if entry.domain == domain
        ]
        endpoints = [
            f"{endpoint.name}  {endpoint.role.value}"
            for endpoint in deployment.endpoints
            if endpoint.domain == domain
        ]
        table.add_row(domain, "\n".join(entries), "\n".join(endpoints))
    return table


def _outcome_table(outcomes: list[load.Outcome]) -> tables.Table:
    table = tables.Table(title="Requests")
    for column in ("kind", "sent", "once and whole", "p50 ms", "max ms"):
        table.add_column(column, justify="right")
    by_kind: dict[load.Kind, list[load.Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_kind[outcome.kind].append(outcome)
    for kind in load.Kind:
        kind_outcomes = by_kind[kind]
        if not kind_outcomes:
            continue
        durations = [outcome.duration_ms for outcome in kind_outcomes]
        whole = sum(1 for outcome in kind_outcomes if not outcome.failure)
        table.add_row(
            kind.value,
            str(len(kind_outcomes)),
            str(whole),
            f"{statistics.median(durations):.0f}",
            f"{max(durations):.0f}",
        )
    return table


def _print_logs(directory: pathlib.Path, console: consoles.Console) -> None:
    for path in sorted(directory.glob("*.log")):
        lines = path.read_text(encoding="utf-8").splitlines()[-5:]
        for line in lines:
            console.print(f"{path.stem}: {line}", markup=False)
