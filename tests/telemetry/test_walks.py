"""The three examples in docs/OPERATIONS.md, from their recorded logs."""

from __future__ import annotations

import pathlib

import pytest

from jujubewharf.telemetry import explanation

WALKS = pathlib.Path(__file__).parent / "walks"
PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


@pytest.mark.parametrize(
    ("name", "request_id", "decided"),
    [
        ("broken-stream", "b3099e280dc7a2a5", "retry_denied budget_left=0.2"),
        (
            "refused-while-full",
            "4981bc87e9b5ccc5",
            "request_not_placed engines={'asked': ['i-b64cecfbc4']",
        ),
        (
            "behind-a-cut",
            "6b70320cb3f990a3",
            "no answer to request_sent engine=i-363bc1c35e",
        ),
    ],
)
def test_the_id_leads_to_the_cause(name, request_id, decided, snapshot):
    history = explanation.read(request_id, [WALKS / f"{name}.log"])
    page = explanation.render(history)
    assert f"decided by: {decided}" in page
    assert f"explain {request_id}" in PAGE.read_text()
    assert page == snapshot
