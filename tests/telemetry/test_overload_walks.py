"""Explanations of requests to overloaded services, from recorded logs."""

from __future__ import annotations

import itertools
import json
import pathlib

import pytest

from jujubewharf.telemetry import explanation
from tests.forwarding import deployments
from tests.telemetry import overload_walks

WALKS = overload_walks.WALKS
PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
# Logs of which docs/OPERATIONS.md shows the explanation.
_DOCUMENTED = {
    "overload-plain-rejected",
    "overload-plain-late",
    "overload-patient-refused",
}
_EXAMPLES = overload_walks.PLAIN_EXAMPLES + overload_walks.MODEL_EXAMPLES


def _request_of(name: str) -> str:
    """Returns the request that a recorded log is about."""
    lines = (WALKS / f"{name}.log").read_text().splitlines()
    requests = {json.loads(line).get("request") for line in lines} - {None}
    (request,) = requests
    return request


def _explained(request: str, *files: pathlib.Path) -> str:
    return explanation.render(explanation.read(request, files))


@pytest.mark.parametrize("name", [example.name for example in _EXAMPLES])
def test_recorded_request_is_explained(name, snapshot):
    """Guards that each part of the explanation stays in the output."""
    assert _explained(_request_of(name), WALKS / f"{name}.log") == snapshot


def _summary(text: str) -> dict[str, str]:
    """Returns the statements after the lines, by what they are about."""
    _, _, end = text.partition("decided by: ")
    statements = [line.partition(": ") for line in end.splitlines()[1:]]
    return {about: said for about, _, said in statements}


@pytest.fixture(scope="module")
def recorders():
    """Lines that the present code writes in both scenarios."""
    return {
        scenario: deployments.run(scenario())
        for scenario in (
            overload_walks.plain_burst,
            overload_walks.model_burst,
        )
    }


@pytest.mark.parametrize("example", _EXAMPLES, ids=lambda e: e.name)
def test_lines_written_today_are_explained(example, recorders, tmp_path):
    """Guards against a log line that loses a field that ``explain`` needs."""
    is_plain = example in overload_walks.PLAIN_EXAMPLES
    recorder = recorders[
        overload_walks.plain_burst if is_plain else overload_walks.model_burst
    ]
    found = example.find(recorder)
    assert found
    file = tmp_path / "all.log"
    file.write_text("\n".join(recorder.lines))
    for request in found[:: max(1, len(found) // 5)]:
        summary = _summary(_explained(request, file))
        assert "priority" in summary["class"]
        assert "account a" in summary["class"]
        assert "; by " in summary["decision"] or "leader" in summary["decision"]
        if is_plain:
            assert "load figures" in summary["decision"]
        if "late" in example.name or "alone" in example.name:
            assert summary["late"]
            assert summary["time"]


def test_refusal_without_the_leaders_file(tmp_path):
    """The follower's file alone must point to the leader's log."""
    name = "overload-patient-refused"
    request = _request_of(name)
    lines = (WALKS / f"{name}.log").read_text().splitlines()
    own = [line for line in lines if json.loads(line)["instance"] != "e0"]
    file = tmp_path / "own.log"
    file.write_text("\n".join(own))
    text = _explained(request, file)
    assert "decided by: request_refused_by_leader" in text
    assert "the rule is in the leader's log" in text


def test_times_add_up_to_the_whole(recorders, tmp_path):
    """No part of a late call's time may be missing or counted twice."""
    recorder = recorders[overload_walks.plain_burst]
    late = recorder.ids_with("request_ended", has_missed_target=True)
    assert late
    file = tmp_path / "all.log"
    for request in late[:10]:
        file.write_text("\n".join(recorder.of_requests(request)))
        summary = _summary(_explained(request, file))
        words = summary["time"].replace(",", "").split()
        parts = [
            int(number)
            for number, unit in itertools.pairwise(words)
            if unit == "ms"
        ]
        took_ms = int(summary["late"].split()[1])
        # Each part is rounded.
        assert abs(sum(parts) - took_ms) <= len(parts)


@pytest.mark.parametrize("name", sorted(_DOCUMENTED))
def test_documented_explanations_are_real(name):
    """The pages must show what the command prints for real lines."""
    request = _request_of(name)
    page = PAGE.read_text()
    assert f"explain {request}" in page
    text = _explained(request, WALKS / f"{name}.log")
    for about, said in _summary(text).items():
        assert f"{about}: {said}" in " ".join(page.split())
