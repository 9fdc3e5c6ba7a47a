"""One request's life, put together from the log files of many instances."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime
import json
import pathlib

# Changes of belief this long before and after the request's own lines are
# shown: what an instance believed was mostly learned within seconds.
_AROUND_S = 10.0
# Events that tell of a change of belief, not of a request.
_BELIEFS = frozenset(
    {
        "configuration_in_force",
        "endpoint_changed",
        "endpoint_gone_after_outage",
        "engine_vanished",
        "following_began",
        "following_ended",
        "instance_started",
        "instance_stopped",
        "leading_began",
        "leading_ended",
        "log_lines_dropped",
        "role_ordered",
        "share_changed",
        "shutdown_began",
        "store_history_lost",
        "store_lost",
        "store_regained",
    }
)
# Said by the line's own columns.
_IN_COLUMNS = frozenset({"event", "instance", "level", "request", "timestamp"})


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
        at_s: Wall-clock seconds at which it was written.
        instance: Who wrote it.
        event: What happened.
        fields: Everything else.
    """

    at_s: float
    instance: str
    event: str
    fields: dict[str, object]


@dataclasses.dataclass(slots=True)
class Story:
    """What the files say of one request.

    Attributes:
        request_id: The request.
        lines: Its own lines, oldest first.
        beliefs: Changes of belief around them at its instances.
        skipped: Lines that are no log lines, or are cut off.
    """

    request_id: str
    lines: list[Line]
    beliefs: list[Line]
    skipped: int = 0


def read(request_id: str, files: Sequence[pathlib.Path]) -> Story:
    """Reads files line by line, twice, so that their size doesn't matter."""
    story = Story(request_id, [], [])
    for line in _lines(files, story):
        if line.fields.get("request") == request_id:
            story.lines.append(line)
    story.lines.sort(key=lambda line: line.at_s)
    if not story.lines:
        return story
    engines = {str(line.fields.get("engine", "")) for line in story.lines}
    instances = {line.instance for line in story.lines}
    first_s = story.lines[0].at_s - _AROUND_S
    last_s = story.lines[-1].at_s + _AROUND_S
    for line in _lines(files, None):
        is_near = first_s <= line.at_s <= last_s
        if is_near and line.event in _BELIEFS and line.instance in instances:
            about = line.fields.get("endpoint")
            if about is None or about in engines:
                story.beliefs.append(line)
    return story


def page(story: Story) -> str:
    """The story as text, oldest line first."""
    if not story.lines:
        return (
            f"no line of request {story.request_id}; "
            f"{story.skipped} lines skipped\n"
        )
    began_s = story.lines[0].at_s
    own = {id(line) for line in story.lines}
    rows = sorted([*story.lines, *story.beliefs], key=lambda line: line.at_s)
    text = [f"request {story.request_id}"]
    for line in rows:
        mark = " " if id(line) in own else "~"
        ms = (line.at_s - began_s) * 1_000.0
        said = _said(line)
        text.append(
            f"{mark} {ms:+9.0f} ms {line.instance:<24} {line.event:<24} {said}"
        )
    text.append(f"decided by: {_deciding(story.lines)}")
    if story.skipped:
        text.append(f"{story.skipped} lines skipped")
    return "\n".join(text) + "\n"


def _deciding(lines: Sequence[Line]) -> str:
    """The last line that says why it ended as it did."""
    for line in reversed(lines):
        if line.event in ("request_not_placed", "retry_denied"):
            return f"{line.event} {_said(line)}"
    for line in reversed(lines):
        if line.event == "engine_call_failed":
            return f"{line.event} {_said(line)}"
    sent = [line for line in lines if line.event == "request_sent"]
    if sent and any(line.event == "request_failed" for line in lines):
        # It ended while an engine that was sent to gave no answer.
        last = max(sent, key=_since_ms)
        return f"no answer to {last.event} {_said(last)}"
    for line in reversed(lines):
        if line.event in ("request_refused", "request_failed"):
            return f"{line.event} {_said(line)}"
    return f"{lines[-1].event} {_said(lines[-1])}"


def _since_ms(line: Line) -> float:
    since_ms = line.fields.get("since_ms", 0.0)
    return float(since_ms) if isinstance(since_ms, int | float) else 0.0


def _said(line: Line) -> str:
    shown = {n: v for n, v in line.fields.items() if n not in _IN_COLUMNS}
    return " ".join(f"{name}={value}" for name, value in shown.items())


def _lines(
    files: Sequence[pathlib.Path], story: Story | None
) -> Iterator[Line]:
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as text:
            for raw in text:
                line = _line(raw)
                if line is not None:
                    yield line
                elif story is not None and raw.strip():
                    story.skipped += 1


def _line(raw: str) -> Line | None:
    """A line of JSON, also where a collector has put its own words before."""
    _, brace, rest = raw.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.fromisoformat(fields["timestamp"])
        event = str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    return Line(at.timestamp(), str(fields.get("instance", "")), event, fields)
