"""Tests of the experiment runner: determinism and reported counts."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys

import pytest

from jujubewharf.experiments import load
from jujubewharf.experiments import models
from jujubewharf.experiments import reader
from jujubewharf.experiments import report
from jujubewharf.experiments import runner

_EXAMPLES = pathlib.Path("examples/experiments")
_SMALL = {
    "extends": str(_EXAMPLES.resolve() / "brandvold-base.json"),
    "name": "small",
    "duration_s": 8,
    "warmup_s": 0,
    "settle_s": 20,
    "load_factor": 0.5,
}


def _small(tmp_path: pathlib.Path, **extra: object) -> models.Experiment:
    return reader.read(_small_file(tmp_path, **extra)).unwrap()


def _small_file(tmp_path: pathlib.Path, **extra: object) -> pathlib.Path:
    path = tmp_path / "small.json"
    path.write_text(json.dumps(_SMALL | extra))
    return path


def test_same_seed_gives_same_output_in_any_process(tmp_path):
    """Guards against results that depend on the string hash seed."""
    path = _small_file(
        tmp_path,
        duration_s=5,
        settle_s=5,
        faults=[
            {"kind": "engine_dies", "at_s": 3, "engine": "writer-1", "for_s": 2}
        ],
    )
    command = "from jujubewharf.commands import main; main.main()"
    arguments = ["experiment", "run", str(path), "--json"]
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", command, *arguments],
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            stdout=subprocess.PIPE,
        )
        for hash_seed in ("1", "2")
    ]
    outputs = [run.communicate()[0] for run in runs]
    assert json.loads(outputs[0])["services"]["model-pool"]["offered"] > 10
    assert outputs[0] == outputs[1]


def test_load_depends_on_seed(tmp_path):
    experiment = _small(tmp_path)
    plans = [load.plan(experiment, runner.load_rng(seed)) for seed in (1, 1, 2)]
    assert plans[0] == plans[1]
    assert plans[0] != plans[2]


def test_run_without_faults_answers_all_calls(tmp_path):
    result = runner.run(_small(tmp_path, load_factor=0.3), policy="least_load")
    assert result.violations == {}
    assert result.goodput_ratio > 0.95
    service = result.services["model-pool"]
    assert service.finished + service.cancelled == service.offered
    assert result.services["listing-app"].goodput_ratio == 1.0


def test_wasted_prefill_is_counted_by_cause(tmp_path):
    """Prefill results lost with their engine count as wasted."""
    result = runner.run(
        _small(
            tmp_path,
            duration_s=6,
            faults=[
                {"kind": "engine_dies", "at_s": 2, "engine": name, "for_s": 3}
                for name in ("reader-1", "reader-2")
            ],
        ),
        policy="least_load",
    )
    assert sum(result.wasted_prefill_tokens.values()) > 0
    assert result.wasted_prefill_ratio > 0


def test_violations_are_reported_by_name():
    service = report.ServiceReport(1, 0, 0, 0.0, 0, {}, {}, 1, 0, 0, 0, {}, {})
    broken = report.Report(
        "e", "p", 1, 0.0, 0.0, {"s": service}, 0, {}, 2, 3, 0, {}
    )
    assert broken.violations == {
        "leaked_slots": 2,
        "lost": 1,
        "dispatched_twice": 2,
    }


@pytest.mark.parametrize("path", sorted(_EXAMPLES.glob("*.json")), ids=str)
def test_all_examples_are_valid(path):
    assert reader.read(path).is_ok()


def test_unknown_field_is_reported_with_its_path(tmp_path):
    read = reader.read(_small_file(tmp_path, deployment={"near_sm": 1}))
    assert read.unwrap_err()[0].startswith("deployment.near_sm: ")
