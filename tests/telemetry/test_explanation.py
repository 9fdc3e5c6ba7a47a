"""Reconstruction of a request's history from log files."""

from __future__ import annotations

import json

from jujubewharf.telemetry import explanation


def _line(second: float, event: str, instance: str = "e1", **fields) -> str:
    at = f"2026-12-02T10:00:{second:06.3f}Z"
    given = {"timestamp": at, "event": event, "instance": instance} | fields
    return json.dumps(given)


def _files(tmp_path, *texts: str):
    files = []
    for number, text in enumerate(texts):
        file = tmp_path / f"{number}.log"
        file.write_text(text)
        files.append(file)
    return files


def test_history_from_several_files(tmp_path):
    files = _files(
        tmp_path,
        "\n".join(
            [
                _line(20.0, "engine_call_failed", request="r1", engine="d1"),
                _line(20.1, "retry_denied", request="r1", reason="lost"),
                _line(20.2, "request_refused", request="r2"),
                _line(18.0, "endpoint_changed", endpoint="d1", state="gone"),
                _line(18.0, "endpoint_changed", endpoint="d9", state="gone"),
                _line(1.0, "endpoint_changed", endpoint="d1", state="ready"),
            ]
        ),
        _line(19.0, "store_lost", instance="e2"),
    )
    history = explanation.read("r1", files)
    assert [line.event for line in history.lines] == [
        "engine_call_failed",
        "retry_denied",
    ]
    assert [line.event for line in history.state_changes] == [
        "endpoint_changed"
    ]
    text = explanation.render(history)
    assert "decided by: retry_denied reason=lost" in text
    assert "-2000 ms" in text


def test_unparsable_lines_are_skipped_and_counted(tmp_path):
    files = _files(
        tmp_path,
        "Traceback\n"
        + _line(2.0, "request_refused", request="r1")[:-4]
        + "\n"
        + "12.3 front-1 "
        + _line(3.0, "request_refused", request="r1")
        + "\n[1, 2]\n\n",
    )
    history = explanation.read("r1", files)
    assert len(history.lines) == 1
    assert history.skipped == 3
    assert "3 lines skipped" in explanation.render(history)


def test_unknown_request_id(tmp_path):
    history = explanation.read("r9", _files(tmp_path, _line(1.0, "x")))
    assert not history.lines
    assert explanation.render(history).startswith("no line of request r9")


def test_engine_without_response_is_named(tmp_path):
    files = _files(
        tmp_path,
        "\n".join(
            [
                _line(2.0, "request_refused", request="r1"),
                _line(2.0, "request_sent", request="r1", engine="s1"),
                _line(2.0, "request_failed", request="r1", outcome="late"),
            ]
        ),
    )
    text = explanation.render(explanation.read("r1", files))
    assert "decided by: no answer to request_sent engine=s1" in text
