"""The ``settings`` and ``explain`` commands."""

from __future__ import annotations

import json
import pathlib

import pytest
from typer import testing

from jujubewharf.commands import main

GOOD = {
    "instance": "e1",
    "region": "norte",
    "domain": "norte-a",
    "platform": {
        "log_url": "http://127.0.0.1:7001",
        "live_list_url": "http://127.0.0.1:7002",
        "weight_store_url": "http://127.0.0.1:7003",
    },
}
BAD = {
    "instance": "",
    "region": "norte",
    "zone": "norte-a",
    "platform": {
        "log_url": "http://log.example:7001",
        "live_list_url": "127.0.0.1:7002",
        "weight_store_url": "http://[::1]:7003",
    },
    "callers": {"host": "localhost", "port": 70_000},
    "peers": {"tls_key_file": "key.pem"},
    "telemetry": {"log_level": "loud"},
    "drain_ms": 0,
}
BAD_PATHS = [
    "instance: ",
    "domain: ",
    "zone: ",
    "platform.log_url: ",
    "platform.live_list_url: ",
    "callers.host: ",
    "callers.port: ",
    "peers: ",
    "telemetry.log_level: ",
    "drain_ms: ",
]


def _run(tmp_path: pathlib.Path, text: str, *command: str):
    path = tmp_path / "settings.json"
    path.write_text(text)
    arguments = [*command, str(path)]
    return testing.CliRunner().invoke(main.app, arguments)


@pytest.mark.parametrize(
    "command", [("settings", "check"), ("entry", "--settings")]
)
def test_every_error_is_named_with_its_path(tmp_path, command):
    outcome = _run(tmp_path, json.dumps(BAD), *command)
    assert outcome.exit_code == 2
    lines = outcome.stderr.splitlines()
    for path in BAD_PATHS:
        assert any(line.startswith(path) for line in lines), path
    assert len(lines) == len(BAD_PATHS)


def test_a_valid_file_passes(tmp_path):
    outcome = _run(tmp_path, json.dumps(GOOD), "settings", "check")
    assert outcome.exit_code == 0


@pytest.mark.parametrize("text", ["{", "[]", "", '{"instance": "a"'])
def test_a_malformed_settings_file_is_refused(tmp_path, text):
    outcome = _run(tmp_path, text, "settings", "check")
    assert outcome.exit_code == 2
    assert outcome.stderr.strip()


def test_a_missing_file_is_refused(tmp_path):
    path = str(tmp_path / "none.json")
    outcome = testing.CliRunner().invoke(main.app, ["settings", "check", path])
    assert outcome.exit_code == 2
    assert path in outcome.stderr


def test_the_schema_covers_valid_settings():
    outcome = testing.CliRunner().invoke(main.app, ["settings", "schema"])
    schema = json.loads(outcome.stdout)
    assert schema["additionalProperties"] is False
    assert set(GOOD) <= set(schema["properties"])


def test_settings_of_a_forwarding_instance(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text('{"instance": ""}')
    outcome = testing.CliRunner().invoke(
        main.app, ["settings", "check", "--forwarding", str(path)]
    )
    assert outcome.exit_code == 2
    assert "stop_within_s" in outcome.stderr


def test_explain_reports_a_missing_request(tmp_path):
    path = tmp_path / "one.log"
    path.write_text("no line\n")
    outcome = testing.CliRunner().invoke(main.app, ["explain", "r1", str(path)])
    assert outcome.exit_code == 1
    assert "no line of request r1" in outcome.stdout
