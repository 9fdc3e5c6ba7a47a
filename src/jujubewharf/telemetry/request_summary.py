"""Summary of a request's log lines: class, decisions, and its time."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from jujubewharf.telemetry import log_lines

_MS_PER_S = 1_000.0
# Shorter phases are left out.
_MIN_PHASE_MS = 0.5

_RULES = {
    "due": "no memory came free in time",
    "no_endpoint": "no endpoint accepts it",
    "no_time": "it can't be served before its deadline",
    "order": "the requests before it use all memory until it is due",
    "too_many": "too many calls wait",
    "unavailable": "no engine may be asked in time",
    "version": "no engine of the stream's software version is left",
}
_DECIDERS = {
    "alone": "this instance alone, without a leader",
    "following": "the leader",
    "leading": "this instance, which leads",
}
_WAITS = {
    "plain_call_granted": "waiting for a permit",
    "plain_call_rejected": "waiting for a permit",
    "request_not_placed": "waiting for memory",
    "request_placed": "waiting for memory",
    "request_refused_by_leader": "waiting for memory",
}
_OTHER = "other"


@dataclasses.dataclass(slots=True)
class _Phase:
    """A part of the request's time."""

    label: str
    took_ms: float


def summarize(lines: Sequence[log_lines.Line]) -> list[str]:
    """Returns the summary of a request, a statement a line.

    What the lines don't tell is left out.

    Args:
        lines: Lines of one request, oldest first.
    """
    summary = []
    of_request = _class(lines)
    if of_request:
        summary.append(f"class: {of_request}")
    summary += [f"decision: {text}" for text in _decisions(lines)]
    end = _end(lines)
    if end is None:
        return summary
    phases = _phases(lines, *end)
    if phases:
        shown = ", ".join(f"{p.label} {p.took_ms:.0f} ms" for p in phases)
        summary.append(f"time: {shown}")
    late = _lateness(lines, phases)
    if late:
        summary.append(late)
    return summary


def _class(lines: Sequence[log_lines.Line]) -> str:
    """Returns priority, account, route and target as far as they are known."""
    known: dict[str, object] = {}
    for line in lines:
        for name in ("priority", "account", "route", "target_ms"):
            value = line.fields.get(name)
            if value not in (None, ""):
                known.setdefault(name, value)
    if "priority" not in known:
        return ""
    parts = [f"priority {known['priority']}"]
    parts.append(f"account {known.get('account', 'none')}")
    if "route" in known:
        parts.append(f"route {known['route']}")
    if "target_ms" in known:
        parts.append(f"target {known['target_ms']} ms")
    return ", ".join(parts)


def _decisions(lines: Sequence[log_lines.Line]) -> Iterator[str]:
    for line in _in_order(lines):
        match line.event:
            case "plain_call_granted":
                what = f"granted {line.fields.get('endpoint')}"
            case "request_placed":
                what = f"placed on {line.fields.get('engine')}"
            case "plain_call_rejected":
                what = _rejection(line, "reason")
            case "request_not_placed":
                what = _rejection(line, "rejected_by")
            case "request_refused_by_leader":
                yield _leader_refusal(line, lines)
                continue
            case "request_placed_alone":
                yield (
                    f"{line.instance}: not placed by the leader "
                    f"{line.fields.get('leader')}"
                    f" ({line.fields.get('reason')}), so by itself"
                )
                continue
            case "stream_resumed":
                yield (
                    f"{line.instance}: stream resumed by its "
                    f"{line.fields.get('resumed_by')} at "
                    f"{line.fields.get('engine')}, version "
                    f"{line.fields.get('version')}, known by "
                    f"{line.fields.get('known_by')}"
                )
                continue
            case "stream_not_resumed":
                yield (
                    f"{line.instance}: stream not resumed "
                    f"({line.fields.get('reason')}), version "
                    f"{line.fields.get('version')}"
                )
                continue
            case "request_over_quota":
                yield (
                    f"{line.instance}: account {line.fields.get('account')} "
                    "is over its quota, counted by "
                    f"{_decider(line, 'counted_by')}"
                )
                continue
            case _:
                continue
        yield f"{line.instance}: {what}{_circumstances(line)}"


def _rejection(line: log_lines.Line, field: str) -> str:
    rule = line.fields.get(field)
    text = "rejected" if rule is None else f"rejected by rule {rule}"
    if str(rule) in _RULES:
        text += f" ({_RULES[str(rule)]})"
    retry_after_ms = line.number("retry_after_ms")
    if retry_after_ms is not None:
        text += f", retry after {retry_after_ms:.0f} ms"
    return text


def _circumstances(line: log_lines.Line) -> str:
    """Returns who decided, after which wait, behind whom, on which figures."""
    text = ""
    if "decided_by" in line.fields:
        text += f"; by {_decider(line, 'decided_by')}"
    waited_ms = line.number("waited_ms")
    if waited_ms is not None:
        text += f"; waited {waited_ms:.0f} ms"
    ahead = _ahead(line)
    # Without a leader no plain call waits, so the number says nothing.
    is_queued = line.fields.get("decided_by") != "alone" or ahead != "none"
    if ahead and is_queued:
        text += f"; {ahead} before it"
    if "load_age_ms" in line.fields:
        age_ms = line.number("load_age_ms")
        text += "; load unknown"
        if age_ms is not None:
            text = text.removesuffix("unknown") + f"figures {age_ms:.0f} ms old"
    age_ms = line.number("registry_age_ms")
    if age_ms is not None:
        text += f"; list of engines {age_ms:.0f} ms old"
    return text


def _ahead(line: log_lines.Line) -> str:
    preceded_by = line.fields.get("preceded_by")
    if isinstance(preceded_by, dict):
        if not preceded_by:
            return "none"
        return ", ".join(
            f"{count} of priority {priority}"
            for priority, count in sorted(preceded_by.items())
        )
    ahead = line.number("ahead")
    return "" if ahead is None else f"{ahead:.0f}" if ahead else "none"


def _decider(line: log_lines.Line, field: str) -> str:
    role = str(line.fields.get(field))
    return _DECIDERS.get(role, role)


def _leader_refusal(
    line: log_lines.Line, lines: Sequence[log_lines.Line]
) -> str:
    text = f"{line.instance}: refused by the leader {line.fields.get('leader')}"
    waited_ms = line.number("waited_ms")
    if waited_ms is not None:
        text += f"; waited {waited_ms:.0f} ms"
    has_leader_line = any(
        other.event in ("request_not_placed", "request_over_quota")
        and other.instance != line.instance
        for other in lines
    )
    if not has_leader_line:
        text += "; the rule is in the leader's log"
    return text


def _in_order(lines: Sequence[log_lines.Line]) -> list[log_lines.Line]:
    """Returns the lines in the order in which things happened.

    Lines that were logged after the fact have the time since arrival.
    """
    end = _end(lines)
    if end is None:
        return list(lines)
    arrived_s, _, _ = end
    return sorted(lines, key=lambda line: _offset_ms(line, arrived_s))


def _end(lines: Sequence[log_lines.Line]) -> tuple[float, float, str] | None:
    """Returns when a request arrived, how long it took, and who had it."""
    for event, field in (
        ("request_ended", "took_ms"),
        ("request_failed", "took_ms"),
        ("request_refused", "held_ms"),
    ):
        for line in reversed(lines):
            took_ms = line.number(field)
            if line.event == event and took_ms is not None:
                arrived_s = line.at_s - took_ms / _MS_PER_S
                return arrived_s, took_ms, line.instance
    return None


def _offset_ms(line: log_lines.Line, arrived_s: float) -> float:
    since_ms = line.number("since_ms")
    if since_ms is not None:
        return since_ms
    return (line.at_s - arrived_s) * _MS_PER_S


def _phases(
    lines: Sequence[log_lines.Line],
    arrived_s: float,
    took_ms: float,
    instance: str,
) -> list[_Phase]:
    """Returns where the time went, in order; rounding errors are left out."""
    phases: list[_Phase] = []
    state, reached_ms = _OTHER, 0.0

    def add(label: str, until_ms: float) -> None:
        nonlocal reached_ms
        phase_ms = min(until_ms, took_ms) - reached_ms
        if phase_ms < _MIN_PHASE_MS:
            return
        reached_ms += phase_ms
        if phases and phases[-1].label == label:
            phases[-1].took_ms += phase_ms
        else:
            phases.append(_Phase(label, phase_ms))

    for line in _in_order(lines):
        if line.instance != instance:
            continue
        at_ms = _offset_ms(line, arrived_s)
        waited_ms = line.number("waited_ms")
        if line.event in _WAITS and waited_ms is not None:
            add(state, at_ms - waited_ms)
            add(_WAITS[line.event], at_ms)
        else:
            add(state, at_ms)
        state = _state_after(line, state)
    add(state, took_ms)
    return phases


def _state_after(line: log_lines.Line, state: str) -> str:
    match line.event:
        case "request_sent":
            stage, engine = line.fields.get("stage"), line.fields.get("engine")
            return f"{stage} at {engine}"
        case "answer_begun":
            return "passing the answer on"
        case "engine_call_failed" | "request_retried" | "stream_resumed":
            return _OTHER
        case event if event in _WAITS:
            return _OTHER
    return state


def _lateness(lines: Sequence[log_lines.Line], phases: Sequence[_Phase]) -> str:
    end = next((x for x in lines if x.fields.get("has_missed_target")), None)
    target_ms = None if end is None else end.number("target_ms")
    if end is None or target_ms is None:
        return ""
    text = f"late: took {end.number('took_ms'):.0f} ms"
    begun = next((x for x in lines if x.event == "answer_begun"), None)
    first_ms = None if begun is None else begun.number("took_ms")
    if first_ms is not None:
        text += f", {first_ms:.0f} ms until the answer began"
    text += f", target {target_ms:.0f} ms"
    if phases:
        longest = max(phases, key=lambda phase: phase.took_ms)
        text += f"; longest: {longest.label} {longest.took_ms:.0f} ms"
    return text
