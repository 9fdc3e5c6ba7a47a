"""Tests that the example deployments are valid."""

from __future__ import annotations

import collections
import pathlib

import pytest
from typer import testing

from jujubewharf.commands import main
from jujubewharf.configuration import resources
from jujubewharf.operators import documents

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
POOLS = {
    "brandvold": ("great-lakes", 4, {"model-pool": 6, "listing-app": 4}),
    "renacer": ("norte", 3, {"verdict-llm": 5, "shop-api": 3}),
}


@pytest.mark.parametrize("name", sorted(POOLS))
def test_settings_are_valid(name):
    region, domain_count, _ = POOLS[name]
    files = sorted((EXAMPLES / name).glob("entry-*.json"))
    assert 6 <= len(files) <= 9
    domains = set()
    for path in files:
        run = testing.CliRunner().invoke(
            main.app, ["settings", "check", str(path)]
        )
        assert run.exit_code == 0, run.output
        settings = main.reader.read(path).unwrap()
        assert settings.region == region
        domains.add(settings.domain)
    assert len(domains) == domain_count


@pytest.mark.parametrize("name", sorted(POOLS))
def test_configuration_is_valid(name):
    text = (EXAMPLES / name / "configuration.json").read_text()
    declared = documents.parse(text).unwrap()
    endpoints = [e for e in declared if isinstance(e, resources.Endpoint)]
    services = {s.name for s in declared if isinstance(s, resources.Service)}
    counts = collections.Counter(e.service for e in endpoints)
    assert counts == POOLS[name][2]
    assert set(counts) == services
    assert len({e.domain for e in endpoints}) == POOLS[name][1]
