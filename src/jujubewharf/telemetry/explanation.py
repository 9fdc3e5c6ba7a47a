"""Reconstructs the history of a request from the logs of several instances."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import pathlib

from jujubewharf.telemetry import log_lines
from jujubewharf.telemetry import request_summary

# State changes are shown up to this long before and after the request. The
# state that a decision rests on was mostly learned within seconds.
_CONTEXT_S = 10.0
# Events of an instance's state rather than of a single request.
_STATE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "configuration_received",
        "configuration_sent",
        "endpoint_changed",
        "endpoint_gone_after_outage",
        "endpoint_held",
        "endpoint_said",
        "endpoints_in_reach",
        "endpoints_out_of_reach",
        "engine_speed_changed",
        "engine_vanished",
        "following_began",
        "following_ended",
        "instance_started",
        "instance_stopped",
        "leader_not_reached",
        "leading_began",
        "leading_ended",
        "log_lines_dropped",
        "part_became_active",
        "part_became_inactive",
        "role_ordered",
        "settings_in_force",
        "settings_rejected",
        "settings_reloaded",
        "share_changed",
        "shutdown_began",
        "store_history_lost",
        "store_lost",
        "store_regained",
        "store_restored",
    }
)
# Events that decide that a request isn't served, or not sent again.
_DECIDING_EVENTS = frozenset(
    {
        "answer_ended_early",
        "plain_call_rejected",
        "request_not_placed",
        "request_over_quota",
        "retry_denied",
    }
)
# Fields that are shown in columns of their own, or are the same in all lines.
_COLUMN_FIELDS = frozenset(
    {"event", "instance", "level", "request", "timestamp"}
)


@dataclasses.dataclass(slots=True)
class RequestHistory:
    """Log lines that concern one request.

    Attributes:
        request_id: Id of the request.
        lines: Lines of the request, oldest first.
        state_changes: State changes of its instances around that time.
        skipped: Number of lines that could not be parsed.
    """

    request_id: str
    lines: list[log_lines.Line]
    state_changes: list[log_lines.Line]
    skipped: int = 0


def read(request_id: str, files: Sequence[pathlib.Path]) -> RequestHistory:
    """Collects the lines of a request from log files.

    Each file is read line by line in two passes, so that large files are not
    held in memory.
    """
    history = RequestHistory(request_id, [], [])
    for line in _parse_files(files, history):
        if line.fields.get("request") == request_id:
            history.lines.append(line)
    history.lines.sort(key=lambda line: line.at_s)
    if not history.lines:
        return history
    engines = {
        str(line.fields.get(field, ""))
        for line in history.lines
        for field in ("engine", "endpoint")
    }
    instances = {line.instance for line in history.lines}
    first_s = history.lines[0].at_s - _CONTEXT_S
    last_s = history.lines[-1].at_s + _CONTEXT_S
    for line in _parse_files(files, None):
        is_near = first_s <= line.at_s <= last_s
        if (
            is_near
            and line.event in _STATE_EVENTS
            and line.instance in instances
        ):
            endpoint = line.fields.get("endpoint")
            if line.event == "engine_speed_changed":
                endpoint = line.fields.get("engine")
            if endpoint is None or endpoint in engines:
                history.state_changes.append(line)
    return history


def render(history: RequestHistory) -> str:
    """Renders the history as text, oldest line first."""
    if not history.lines:
        return (
            f"no line of request {history.request_id}; "
            f"{history.skipped} lines skipped\n"
        )
    start_s = history.lines[0].at_s
    request_line_ids = {id(line) for line in history.lines}
    rows = sorted(
        [*history.lines, *history.state_changes], key=lambda line: line.at_s
    )
    text = [f"request {history.request_id}"]
    for line in rows:
        mark = " " if id(line) in request_line_ids else "~"
        ms = (line.at_s - start_s) * 1_000.0
        rest = _format_fields(line)
        text.append(
            f"{mark} {ms:+9.0f} ms {line.instance:<24} {line.event:<24} {rest}"
        )
    text.append(f"decided by: {_deciding_line(history.lines)}")
    text += request_summary.summarize(history.lines)
    if history.skipped:
        text.append(f"{history.skipped} lines skipped")
    return "\n".join(text) + "\n"


def _deciding_line(lines: Sequence[log_lines.Line]) -> str:
    """Returns the log line that decided the outcome of the request."""
    for line in reversed(lines):
        if line.event in _DECIDING_EVENTS:
            return f"{line.event} {_format_fields(line)}"
    for line in reversed(lines):
        # The leader's own line says more, but its file may not be given.
        if line.event in ("engine_call_failed", "request_refused_by_leader"):
            return f"{line.event} {_format_fields(line)}"
    sent = [line for line in lines if line.event == "request_sent"]
    if sent and any(line.event == "request_failed" for line in lines):
        # The request failed before an engine responded.
        last = max(sent, key=_since_ms)
        return f"no answer to {last.event} {_format_fields(last)}"
    for line in reversed(lines):
        if line.event in ("request_refused", "request_failed"):
            return f"{line.event} {_format_fields(line)}"
    return f"{lines[-1].event} {_format_fields(lines[-1])}"


def _since_ms(line: log_lines.Line) -> float:
    since_ms = line.fields.get("since_ms", 0.0)
    return float(since_ms) if isinstance(since_ms, int | float) else 0.0


def _format_fields(line: log_lines.Line) -> str:
    shown = {n: v for n, v in line.fields.items() if n not in _COLUMN_FIELDS}
    return " ".join(f"{name}={value}" for name, value in shown.items())


def _parse_files(
    files: Sequence[pathlib.Path], history: RequestHistory | None
) -> Iterator[log_lines.Line]:
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as text:
            for raw in text:
                line = log_lines.parse(raw)
                if line is not None:
                    yield line
                elif history is not None and raw.strip():
                    history.skipped += 1
