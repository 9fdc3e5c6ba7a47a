"""``jujubewharf ctl`` against two instances on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import threading

import pytest
from structlog import testing as structlog_testing
from typer import testing

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.commands import ctl_session
from jujubewharf.commands import ctl_tables
from jujubewharf.commands import main
from jujubewharf.configuration import resources
from jujubewharf.operators import documents
from jujubewharf.operators import identities
from jujubewharf.operators import values
from tests.operators import deployments

_UNREACHABLE_ADDRESS = "127.0.0.1:9"
_EXIT = ctl_session.ExitCode

Ctl = Callable[..., testing.Result]


@pytest.fixture
def deployment() -> Iterator[deployments.Deployment]:
    """Runs two instances on an event loop in a separate thread."""
    started: list[deployments.Deployment] = []
    is_up, may_end = threading.Event(), threading.Event()

    async def serve() -> None:
        async with deployments.running("e1", "e2") as running:
            started.append(running)
            is_up.set()
            await asyncio.to_thread(may_end.wait)

    thread = threading.Thread(target=asyncio.run, args=(serve(),))
    thread.start()
    assert is_up.wait(30)
    # Keeps the servers' logs out of the output of the commands.
    with structlog_testing.capture_logs():
        yield started[0]
    may_end.set()
    thread.join()


@pytest.fixture
def ctl(deployment: deployments.Deployment) -> Ctl:
    """Runs a ctl command as the bootstrap admin."""

    def run(*words: str, **options) -> testing.Result:
        environment = {
            ctl_session.SERVERS_VARIABLE: ",".join(deployment.addresses),
            ctl_session.TOKEN_VARIABLE: deployments.BOOTSTRAP_TOKEN,
        }
        environment.update(options.pop("env", {}))
        return testing.CliRunner().invoke(
            main.app, ["ctl", *words], env=environment, **options
        )

    return run


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """Writes a configuration file with resources of several kinds."""
    path = tmp_path / "configuration.json"
    path.write_text(documents.dump(deployments.ALL), encoding="utf-8")
    return path


def test_apply_shows_what_differs_and_asks(
    ctl: Ctl, file: pathlib.Path, snapshot
):
    planned = ctl("apply", "-f", str(file), "--dry-run")
    assert planned.exit_code == _EXIT.OK
    assert planned.output == snapshot(name="plan")
    refused = ctl("apply", "-f", str(file), input="n\n")
    assert refused.exit_code == _EXIT.REFUSED
    assert "Change 6 resources?" in refused.output
    done = ctl("apply", "-f", str(file), "--yes")
    assert done.exit_code == _EXIT.OK
    assert done.output == snapshot(name="done")
    again = ctl("apply", "-f", str(file), "--yes")
    assert again.output == "Nothing differs.\n"


def test_tables_of_every_kind(ctl: Ctl, file: pathlib.Path, snapshot):
    ctl("apply", "-f", str(file), "--yes")
    team_member = deployments.operator(
        "mate", resources.OperatorRole.OPERATOR, ["shop-api"]
    )
    hash_ = f"token_sha256={team_member.token_sha256}"
    ctl("create", "operator", "mate", hash_, "role=operator")
    for kind in resources.Kind:
        listed = ctl("list", kind.value)
        assert listed.exit_code == _EXIT.OK
        assert listed.output == snapshot(name=f"list {kind.value}")
    shown = ctl("get", "endpoint", "decode-1")
    assert shown.output == snapshot(name="get endpoint")


def test_an_export_can_be_applied(
    ctl: Ctl, file: pathlib.Path, tmp_path: pathlib.Path
):
    ctl("apply", "-f", str(file), "--yes")
    exported = tmp_path / "exported.json"
    assert ctl("export", "-o", str(exported)).exit_code == _EXIT.OK
    assert exported.read_text() == file.read_text()
    assert ctl("export").output == file.read_text()
    again = ctl("apply", "-f", str(exported), "--prune", "--yes")
    assert again.output == "Nothing differs.\n"


def test_change_and_rollback_of_one_resource(ctl: Ctl, file: pathlib.Path):
    ctl("apply", "-f", str(file), "--yes")
    done = ctl("change", "endpoint", "decode-1", "slots=24", "--json")
    assert done.exit_code == _EXIT.OK
    changed = json.loads(done.output)["generation"]
    history = json.loads(
        ctl("history", "endpoint", "decode-1", "--json").output
    )
    newest, oldest = history["entries"]
    assert newest["resource"]["slots"] == 24
    assert newest["actor"] == identities.BOOTSTRAP_NAME
    back = ctl(
        "rollback",
        "endpoint",
        "decode-1",
        f"--to={oldest['generation']}",
        f"--generation={changed}",
    )
    assert back.exit_code == _EXIT.OK
    held = json.loads(ctl("get", "endpoint", "decode-1", "--json").output)
    assert held["resource"]["slots"] == 20
    assert ctl("drain", "decode-1", "--force").exit_code == _EXIT.OK
    held = json.loads(ctl("get", "endpoint", "decode-1", "--json").output)
    assert held["resource"]["drained"]
    assert ctl("undrain", "decode-1").exit_code == _EXIT.OK
    assert ctl("delete", "account", "shops").exit_code == _EXIT.OK
    assert json.loads(ctl("list", "account", "--json").output) == []


def test_an_operation_is_looked_up_by_its_id(ctl: Ctl):
    made = ctl("create", "service", "a", "kind=plain", "--operation-id=op-1")
    assert made.exit_code == _EXIT.OK
    found = ctl("operation", "op-1", "--json")
    assert json.loads(found.output)["state"] == "accepted"
    conflict = ctl(
        "create", "service", "a", "kind=plain", "--operation-id=op-2"
    )
    assert conflict.exit_code == _EXIT.REFUSED
    assert ctl("operation", "op-2").exit_code == _EXIT.REFUSED
    assert ctl("operation", "op-3").exit_code == _EXIT.OUTCOME_UNKNOWN


def test_watch_status_engines_and_whoami(
    ctl: Ctl, file: pathlib.Path, deployment: deployments.Deployment
):
    ctl("apply", "-f", str(file), "--yes")
    watched = ctl("watch", "--until-current").output.splitlines()
    events = [json.loads(line) for line in watched]
    assert len(events) == len(deployments.ALL) + 1
    assert events[-1]["is_snapshot_end"]
    statuses = json.loads(ctl("status", "--json").output)
    assert [one["instance"] for one in statuses.values()] == ["e1", "e2"]
    table = ctl("status", "--members")
    assert table.exit_code == _EXIT.OK
    half = ctl(
        "--server",
        deployment.address("e1"),
        "--server",
        _UNREACHABLE_ADDRESS,
        "status",
    )
    assert half.exit_code == _EXIT.UNREACHABLE
    assert "unreachable" in half.output
    accepted = ctl("accept-loss", deployment.address("e2"), "--yes", "--json")
    assert json.loads(accepted.output)["instance"] == "e2"
    engines = json.loads(ctl("engines", "--json").output)
    assert [one["name"] for one in engines] == ["decode-1"]
    assert "bootstrap" in ctl("whoami").output


def test_exit_codes_and_fail_over(
    ctl: Ctl, deployment: deployments.Deployment, tmp_path: pathlib.Path
):
    bad = tmp_path / "bad.json"
    bad.write_text('{"services": [{"name": "a"}], "shops": []}')
    refused = ctl("apply", "-f", str(bad))
    assert refused.exit_code == _EXIT.BAD_INPUT
    assert refused.stderr.splitlines() == [
        "services.0.kind: Field required",
        "shops: no such list; it may be"
        " models, services, endpoints, accounts, operators",
    ]
    assert ctl("apply", "-f", "none.json").exit_code == _EXIT.BAD_INPUT
    bad_field = ctl("create", "service", "a", "kind=other")
    assert bad_field.exit_code == _EXIT.BAD_INPUT
    assert ctl("get", "service", "none").exit_code == _EXIT.REFUSED
    stranger = {ctl_session.TOKEN_VARIABLE: "nobody"}
    unknown = ctl("list", "service", env=stranger)
    assert unknown.exit_code == _EXIT.REFUSED
    assert "unauthenticated" in unknown.stderr
    dead = ctl("--server", _UNREACHABLE_ADDRESS, "list", "service")
    assert dead.exit_code == _EXIT.UNREACHABLE
    passed = ctl(
        "--server",
        _UNREACHABLE_ADDRESS,
        "--server",
        deployment.address("e2"),
        "whoami",
    )
    assert passed.exit_code == _EXIT.OK
    assert ctl("list", "service", env={ctl_session.SERVERS_VARIABLE: ""})
    lost = values.ErrorDetail("operation_unknown", errors.Ran.UNKNOWN)
    assert ctl_session.exit_code_of(lost) == _EXIT.OUTCOME_UNKNOWN


def test_a_new_token_is_only_written_to_its_file(
    ctl: Ctl, tmp_path: pathlib.Path
):
    path = tmp_path / "token"
    made = ctl("token", "new", str(path))
    token = path.read_text().strip()
    assert made.output.strip() == bearer.token_digest(token)
    assert token not in made.output
    assert path.stat().st_mode & 0o777 == 0o600
    assert ctl("token", "hash", str(path)).output == made.output
    assert ctl("token", "new", str(path)).exit_code == _EXIT.BAD_INPUT
    create = ("create", "operator", "ana", "role=viewer")
    ctl(*create, f"token_sha256={made.output.strip()}")
    who = ctl("--token-file", str(path), "whoami", "--json")
    assert json.loads(who.output)["name"] == "ana"


def test_tables_of_what_changes_from_run_to_run(snapshot, capsys):
    status = values.InstanceStatus(
        "entry-a1",
        "norte",
        "norte-a",
        applied_offset=41,
        is_caught_up=True,
        log_silence_ms=900,
        requests_in_flight=7,
        refusals=(values.ReasonCount("queue_full", 3),),
        retries=(values.ReasonCount("lost", 1),),
    )
    silent = dataclasses.replace(status, log_silence_ms=61_000)
    statuses = [
        ("127.0.0.1:7100", status),
        ("127.0.0.1:7101", silent),
        ("127.0.0.1:7102", dataclasses.replace(status, is_frozen=True)),
        ("127.0.0.1:7103", dataclasses.replace(status, is_log_behind=True)),
        ("127.0.0.1:9", "unreachable"),
    ]
    ctl_tables.show(ctl_tables.statuses_table(statuses))
    members = [
        values.Member("entry-a1", "127.0.0.1:7200", "norte-a"),
        values.Member("entry-b1", "127.0.0.1:7201", "norte-b", True, True),
    ]
    ctl_tables.show(ctl_tables.members_table(members))
    engines = [
        values.EngineStatus(
            "decode-1",
            "verdict-llm",
            "norte-a",
            role="decode",
            model="judge",
            model_version="v2",
            takes_work=True,
            slots_total=20,
            slots_used=17,
            own_slots=4,
            report_age_ms=250.4,
        ),
        values.EngineStatus("d2", "verdict-llm", "norte-a", is_drained=True),
        values.EngineStatus("d3", "verdict-llm", "norte-a", is_suspect=True),
    ]
    ctl_tables.show(ctl_tables.engines_table(engines))
    accepted = values.HistoryEntry(
        "op-1",
        "ana",
        values.Effect.CREATE,
        values.OperationState.ACCEPTED,
        generation=3,
        wall_ms=1_700_000_000_000,
    )
    refused = values.HistoryEntry(
        "op-2",
        "ben [b]",
        values.Effect.CHANGE,
        values.OperationState.CONFLICT,
        generation=9,
        wall_ms=1_700_000_060_000,
        detail="generation is 4, not 3",
    )
    ctl_tables.show(ctl_tables.history_table([refused, accepted]))
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize(
    ("typed", "completed"),
    [("ctl acc", "accept-loss"), ("ctl get e", "endpoint")],
)
def test_the_shell_completes_commands_and_kinds(typed: str, completed: str):
    environment = {
        "_JUJUBEWHARF_COMPLETE": "complete_bash",
        "COMP_WORDS": f"jujubewharf {typed}",
        "COMP_CWORD": str(len(typed.split())),
    }
    result = testing.CliRunner().invoke(
        main.app, [], env=environment, prog_name="jujubewharf"
    )
    assert result.output.split() == [completed]
