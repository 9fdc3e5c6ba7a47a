"""What the command shows of a settings file, and its errors."""

from __future__ import annotations

import json

import pytest
from typer import testing

from jujubewharf.commands import main
from jujubewharf.forwarding import settings as all_settings
from tests.forwarding import test_settings

_OVERLOAD = {
    "admission": {
        "account_weights": {f"a{n}": n + 1 for n in range(12)},
        "starving_share": 0.25,
    }
}


def _check(tmp_path, changes):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(test_settings.GOOD | changes))
    arguments = ["settings", "check", "--forwarding", str(path)]
    return testing.CliRunner().invoke(main.app, arguments)


def test_check_shows_what_is_set(tmp_path):
    """An operator must see weights and parts before they are in force."""
    outcome = _check(tmp_path, _OVERLOAD)
    assert outcome.exit_code == 0
    lines = outcome.stdout.splitlines()
    assert "admission.starving_share: 0.25" in lines
    (weights,) = (x for x in lines if x.startswith("admission.account_weights"))
    assert "a11=12, a10=11" in weights
    assert weights.endswith("a2=3 and 2 more; others 1")
    assert "plain_calls.queue: true" in lines
    assert all("part" not in x or ": active for" in x for x in lines)
    assert lines[-1] == "ok"


def test_check_names_what_switches_a_part_off(tmp_path):
    """A part that is switched off must not be shown as active."""
    off = {"admission": {"is_enabled": False}, "plain_calls": {"queue": False}}
    lines = _check(tmp_path, off).stdout.splitlines()
    assert (
        "part classes: inactive, admission.is_enabled is false" in lines
        and "part accounts: inactive, admission.is_enabled is false" in lines
        and "part plain_queue: inactive, plain_calls.queue is false" in lines
    )


@pytest.mark.parametrize(
    ("changes", "field", "accepted"),
    [
        (
            {"admission": {"account_weights": {"a": -1}}},
            "admission.account_weights.a",
            "a number, above 0, at most 1000",
        ),
        (
            {"admission": {"account_weights": {"a": 0}}},
            "admission.account_weights.a",
            "a number, above 0, at most 1000",
        ),
        (
            {"admission": {"account_weights": {"a": 1e300}}},
            "admission.account_weights.a",
            "a number, above 0, at most 1000",
        ),
        (
            {"admission": {"account_weights": {"a": float("inf")}}},
            "admission.account_weights.a",
            "a number, above 0, at most 1000",
        ),
        (
            {"admission": {"account_weights": {"a": None}}},
            "admission.account_weights.a",
            "a number, above 0, at most 1000",
        ),
        (
            {
                "admission": {
                    "account_weights": {f"a{n}": 1 for n in range(10_001)}
                }
            },
            "admission.account_weights",
            "an object, at most 10000 fields",
        ),
        (
            {"admission": {"starving_share": 0}},
            "admission.starving_share",
            "a number, above 0, at most 1",
        ),
        (
            {"admission": {"starving_share": 1.01}},
            "admission.starving_share",
            "a number, above 0, at most 1",
        ),
        (
            {"admission": {"starving_share": float("nan")}},
            "admission.starving_share",
            "a number, above 0, at most 1",
        ),
        (
            {"admission": {"weights": {}}},
            "admission.weights",
            "account_weights, is_enabled, starving_share",
        ),
        (
            {"plain_calls": {"queue": "sometimes"}},
            "plain_calls.queue",
            "true or false",
        ),
        ({"plain_calls": {"que": True}}, "plain_calls.que", "queue"),
        (
            {"retries": {"ratio": -0.1, "slack": 1, "window_s": 1}},
            "retries.ratio",
            "a number, at least 0",
        ),
        ({"peers": 7}, "peers", "a string"),
        ({"log_level": "loud"}, "log_level", "debug or info or warning"),
    ],
)
def test_error_names_field_and_accepted_values(
    tmp_path, changes, field, accepted
):
    """An error without the accepted range leaves the operator guessing."""
    outcome = _check(tmp_path, changes)
    assert outcome.exit_code == 2
    assert not outcome.stdout
    (line,) = outcome.stderr.splitlines()
    assert line.startswith(f"{field}: ")
    assert f"accepted: {accepted}" in line


def test_all_errors_are_named(tmp_path):
    """Errors must not have to be found one after the other."""
    changes = {"admission": {"starving_share": 2, "account_weights": {"a": 0}}}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(test_settings.GOOD | changes | {"zone": 1}))
    with pytest.raises(ValueError) as raised:
        all_settings.read(path)
    fields = [line.partition(":")[0] for line in str(raised.value).splitlines()]
    assert sorted(fields) == [
        "admission.account_weights.a",
        "admission.starving_share",
        "zone",
    ]
