"""``jujubewharf experiment``: measure policies under load and faults."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Annotated

from rich import console as consoles
from rich import progress as progresses
from rich import table as tables
import typer

from jujubewharf.configuration import resources
from jujubewharf.experiments import comparison
from jujubewharf.experiments import models
from jujubewharf.experiments import plot as plots
from jujubewharf.experiments import reader
from jujubewharf.experiments import report
from jujubewharf.experiments import runner
from jujubewharf.routing import catalog

_EXIT_BAD_FILE = 2
_EXIT_GUARANTEE_VIOLATED = 3

app = typer.Typer(no_args_is_help=True, help=__doc__)

File = Annotated[pathlib.Path, typer.Argument(help="Experiment file.")]


@app.command("run")
def run(
    file: File,
    policy: str = catalog.PRODUCT,
    seed: int = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Run an experiment once; exit code 3 if a guarantee was violated."""
    experiment = _read_or_exit(file)
    _check_policies([policy])
    runner.suppress_logs()
    with _progress() as bar:
        task = bar.add_task(experiment.name, total=1.0)
        result = runner.run(
            experiment,
            policy=policy,
            seed=seed,
            on_progress=lambda done: bar.update(task, completed=done),
        )
    if as_json:
        print(json.dumps(result.to_json(), indent=2))
    else:
        _print_report(result)
    if result.violations:
        raise typer.Exit(_EXIT_GUARANTEE_VIOLATED)


@app.command("compare")
def compare(
    file: File,
    policies: str = ",".join(catalog.NAMES),
    seeds: int = 3,
    plot: pathlib.Path | None = None,
    factors: str = "0.7,0.85,1.0,1.15,1.3",
    workers: int = comparison.MAX_WORKERS,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Compare policies over several seeds; ``--plot`` also varies the load."""
    experiment = _read_or_exit(file)
    names = policies.split(",")
    _check_policies(names)
    scales = [float(f) for f in factors.split(",")] if plot else [1.0]
    tasks = [
        comparison.Task(_scaled(experiment, scale), name, seed)
        for scale in scales
        for name in names
        for seed in range(1, seeds + 1)
    ]
    workers = max(1, min(workers, comparison.MAX_WORKERS))
    with _progress() as bar:
        task = bar.add_task(experiment.name, total=len(tasks))
        reports = comparison.run_all(
            tasks, workers=workers, on_done=lambda: bar.advance(task)
        )
    plain = _plain_services(experiment)
    rows_by_scale = {}
    reports_per_scale = len(names) * seeds
    for index, scale in enumerate(scales):
        scale_reports = reports[
            index * reports_per_scale : (index + 1) * reports_per_scale
        ]
        rows_by_scale[scale] = list(comparison.rows(scale_reports, plain))
    if as_json:
        print(json.dumps([one.to_json() for one in reports], indent=2))
    else:
        for scale, rows in rows_by_scale.items():
            _print_rows(f"{experiment.name}, load x{scale:g}", rows)
    if plot:
        plots.draw(rows_by_scale, plot, title=experiment.name)


@app.command("check")
def check(file: File) -> None:
    """Check an experiment file; prints every error with its path."""
    _read_or_exit(file)
    print("ok")


@app.command("schema")
def schema() -> None:
    """Print the JSON Schema of experiment files."""
    print(json.dumps(models.Experiment.model_json_schema(), indent=2))


def _read_or_exit(path: pathlib.Path) -> models.Experiment:
    read = reader.read(path)
    if read.is_err():
        for line in read.unwrap_err():
            print(line, file=sys.stderr)
        raise typer.Exit(_EXIT_BAD_FILE)
    return read.unwrap()


def _check_policies(names: list[str]) -> None:
    for name in names:
        if name not in catalog.NAMES:
            known = ", ".join(catalog.NAMES)
            print(
                f"unknown policy {name!r}; must be one of {known}",
                file=sys.stderr,
            )
            raise typer.Exit(_EXIT_BAD_FILE)


def _scaled(experiment: models.Experiment, scale: float) -> models.Experiment:
    factor = experiment.load_factor * scale
    return experiment.model_copy(update={"load_factor": factor})


def _plain_services(experiment: models.Experiment) -> list[str]:
    return [
        service.name
        for service in experiment.deployment.services
        if service.kind is resources.ServiceKind.PLAIN
    ]


def _progress() -> progresses.Progress:
    console = consoles.Console(stderr=True)
    return progresses.Progress(console=console, disable=not console.is_terminal)


def _print_report(result: report.Report) -> None:
    title = f"{result.experiment}, {result.policy}, seed {result.seed}"
    table = tables.Table(title=title)
    for heading in ("service", "offered", "goodput", "refused", "ttft p95"):
        table.add_column(heading)
    for name, service in result.services.items():
        table.add_row(
            name,
            str(service.offered),
            f"{service.goodput_ratio:.4f}",
            str(sum(service.refused.values())),
            f"{service.ttft_ms['p95']} ms",
        )
    console = consoles.Console()
    console.print(table)
    console.print(f"goodput {result.goodput_ratio:.4f}")
    console.print(f"wasted prefill {result.wasted_prefill_ratio:.4f}")
    console.print(f"broken promises {result.violations or 'none'}")


def _print_rows(title: str, rows: list[comparison.Row]) -> None:
    table = tables.Table(title=title)
    for heading in ("policy", "goodput", "wasted", "plain min", "broken"):
        table.add_column(heading)
    for row in rows:
        table.add_row(
            row.policy,
            str(row.goodput),
            str(row.waste),
            f"{row.plain_goodput:.4f}",
            str(row.broken or "none"),
        )
    consoles.Console().print(table)
