"""Tests that the deployment files are consistent with the project."""

from __future__ import annotations

import json
import pathlib
import re
import tomllib

import pytest

from jujubewharf.forwarding import settings

ROOT = pathlib.Path(__file__).parents[2]
DEPLOY = ROOT / "deploy"
FIELDS = {
    "node": "front-a-1",
    "zone": "a",
    "ip": "10.0.0.1",
    "portRange": [7000, 7015],
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "limits": {"cpuShare": 0.537, "cores": 2},
    "platform": {"address": "10.0.0.9:1", "parts": 24},
    "bounds": {
        "leaseMs": 3000,
        "drainMs": 2000,
        "configApplyMs": 2000,
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 52,
        "budgetWindowS": 10,
        "graceS": 8,
    },
}


QUOTAS = {"quotaWindowS": 8, "quotaOver": 0.1, "quotaSlack": 120_000}
SECTION = re.compile(
    r"\{\{#(?P<path>[\w.]+)\}\}(?P<inside>.*?)\{\{/(?P=path)\}\}", re.DOTALL
)
VALUE = re.compile(r"\{\{(?P<path>[\w.]+)(?P<json>\|json)?\}\}")


def _found(fields: object, path: str) -> object:
    value = fields
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)]
            continue
        assert isinstance(value, dict)
        value = value[name]
    return value


def _read(tmp_path, fields) -> settings.ForwardingSettings:
    """Fills in the settings template like the platform and reads it."""

    def section(match: re.Match[str]) -> str:
        try:
            found = _found(fields, match["path"])
        except KeyError:
            return ""
        return "" if found is False else match["inside"]

    def value(match: re.Match[str]) -> str:
        found = _found(fields, match["path"])
        return json.dumps(found) if match["json"] else str(found)

    template = (DEPLOY / "settings.json.template").read_text()
    path = tmp_path / "settings.json"
    path.write_text(VALUE.sub(value, SECTION.sub(section, template)))
    return settings.read(path)


def test_template_passes_optional_quota_slack(tmp_path):
    assert _read(tmp_path, FIELDS).quotas.slack == 0.0
    bounds = FIELDS["bounds"] | QUOTAS
    read = _read(tmp_path, FIELDS | {"bounds": bounds})
    assert read.quotas.slack == 120_000.0
    assert read.stop_within_s == 8.0


def test_template_passes_the_memory_of_the_process(tmp_path):
    assert _read(tmp_path, FIELDS).memory_mb is None
    limits = FIELDS["limits"] | {"memoryMb": 150}
    assert _read(tmp_path, FIELDS | {"limits": limits}).memory_mb == 150.0


def test_template_yields_valid_settings(tmp_path):
    read = _read(tmp_path, FIELDS)
    assert read.callers == "10.0.0.1:80"
    assert read.processor.cores == pytest.approx(1.074)
    assert read.peers == "10.0.0.1:7000"
    assert read.store.group_ttl_ms == 3_000.0
    assert read.retries.slack == 52.0
    assert read.stop_within_s == 8.0


def test_template_tells_the_first_start_of_a_deployment(tmp_path):
    assert not _read(tmp_path, FIELDS).is_first_start
    assert not _read(tmp_path, FIELDS | {"bootstrap": False}).is_first_start
    assert _read(tmp_path, FIELDS | {"bootstrap": True}).is_first_start


def test_metrics_port_matches_scrape_target():
    deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
    port, _, path = deploy["roles"]["entry"]["metrics"].partition("/")
    template = (DEPLOY / "settings.json.template").read_text()
    assert f'"{{{{ip}}}}:{port}"' in template
    assert path == "metrics"


def test_deployed_versions_are_tested_versions():
    """Guards against deploying library versions that tests never used."""
    tested = set((ROOT / "requirements.lock").read_text().split())
    deployed = set((DEPLOY / "requirements.lock").read_text().split())
    assert deployed - tested == set()
