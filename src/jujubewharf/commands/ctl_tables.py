"""Tables printed by ``jujubewharf ctl``."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import sys
from typing import Any

from rich import console as consoles
from rich import markup
from rich import table as tables

from jujubewharf import clock as clocks
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.operators import values

_NON_TERMINAL_WIDTH = 160
# Must exceed the long-poll wait of log reads, which is some seconds.
_LOG_SILENCE_LIMIT_MS = 10_000.0

_EFFECT_STYLES = {
    values.Effect.CREATE: "green",
    values.Effect.CHANGE: "yellow",
    values.Effect.DELETE: "red",
}

_COLUMNS = {
    resources.Kind.SERVICE: (
        "name",
        "kind",
        "model",
        "model_version",
        "repeatable",
        "first_answer_target_ms",
        "completion_target_ms",
        "deadline_ms",
        "waste_weight",
    ),
    resources.Kind.ENDPOINT: (
        "name",
        "service",
        "address",
        "domain",
        "role",
        "model",
        "model_version",
        "slots",
        "drained",
    ),
    resources.Kind.MODEL: (
        "name",
        "versions",
        "kv_bytes_per_token",
        "weight_bytes",
    ),
    resources.Kind.ACCOUNT: (
        "name",
        "services",
        "rate_per_s",
        "max_in_flight",
        "priority",
    ),
    resources.Kind.OPERATOR: ("name", "role", "services"),
}


def show(*renderables: Any) -> None:
    """Prints to standard output, with a fixed width if it is no terminal."""
    width = None if sys.stdout.isatty() else _NON_TERMINAL_WIDTH
    console = consoles.Console(width=width, highlight=False)
    console.print(*renderables)


def resources_table(
    kind: resources.Kind, held: Iterable[values.StoredResource]
) -> tables.Table:
    """Returns a table of resources of one kind, one per row."""
    columns = _COLUMNS[kind]
    table = _table(*columns, "generation")
    for stored in held:
        data = resource_codec.dump(stored.resource)
        cells = [_format_cell(data[column]) for column in columns]
        table.add_row(*cells, str(stored.generation))
    return table


def resource_table(stored: values.StoredResource) -> tables.Table:
    """Returns a table of one resource, one field per row."""
    table = _table("field", "value")
    for path, value in _flatten(resource_codec.dump(stored.resource)):
        table.add_row(path, _format_cell(value))
    table.add_row("generation", str(stored.generation))
    return table


def differences_table(
    items: Sequence[values.AppliedDifference],
) -> tables.Table:
    """Returns a table of the differences of an apply, one field per row."""
    table = _table("effect", "kind", "name", "field", "before", "after")
    for item in items:
        _add_difference(table, item.difference)
    return table


def applied_table(items: Sequence[values.AppliedDifference]) -> tables.Table:
    """Returns a table of the outcomes of an apply, one resource per row."""
    table = _table("kind", "name", "effect", "generation", "outcome")
    for item in items:
        difference = item.difference
        outcome = "in force"
        if item.error is not None:
            outcome = f"{item.error.kind}: {item.error.detail}"
        table.add_row(
            difference.kind.value,
            _format_cell(difference.name),
            _format_effect(difference.effect),
            str(item.generation or ""),
            _format_cell(outcome),
        )
    return table


def history_table(entries: Sequence[values.HistoryEntry]) -> tables.Table:
    """Returns a table of the changes of a resource, in the given order."""
    table = _table(
        "generation", "at", "actor", "effect", "state", "operation", "detail"
    )
    for entry in entries:
        table.add_row(
            str(entry.generation),
            _format_time(entry.wall_ms),
            _format_cell(entry.actor),
            _format_effect(entry.effect),
            entry.state.value,
            _format_cell(entry.operation_id),
            _format_cell(entry.detail),
        )
    return table


def statuses_table(
    statuses: Sequence[tuple[str, values.InstanceStatus | str]],
) -> tables.Table:
    """Returns a table of instance statuses or errors, by server address."""
    table = _table(
        "server",
        "instance",
        "region",
        "domain",
        "offset",
        "log",
        "in flight",
        "refusals",
        "retries",
    )
    for server, status in statuses:
        if isinstance(status, str):
            table.add_row(server, _format_cell(status))
            continue
        table.add_row(
            server,
            _format_cell(status.instance),
            _format_cell(status.region),
            _format_cell(status.domain),
            str(status.applied_offset),
            _format_log_state(status),
            str(status.requests_in_flight),
            _format_counts(status.refusals),
            _format_counts(status.retries),
        )
    return table


def members_table(members: Sequence[values.Member]) -> tables.Table:
    """Returns a table of the fleet members as seen by one instance."""
    table = _table("instance", "address", "domain", "leaving", "suspected")
    for member in members:
        table.add_row(
            _format_cell(member.instance),
            member.address,
            _format_cell(member.domain),
            _format_cell(member.is_leaving),
            _format_cell(member.is_suspected),
        )
    return table


def engines_table(engines: Sequence[values.EngineStatus]) -> tables.Table:
    """Returns a table of the engines as seen by one instance."""
    table = _table(
        "engine",
        "service",
        "domain",
        "role",
        "model",
        "slots",
        "own",
        "prefill queue",
        "takes work",
        "report age ms",
    )
    for engine in engines:
        model = f"{engine.model} {engine.model_version}".strip()
        age_ms = engine.report_age_ms
        table.add_row(
            _format_cell(engine.name),
            _format_cell(engine.service),
            _format_cell(engine.domain),
            engine.role,
            _format_cell(model),
            f"{engine.slots_used}/{engine.slots_total}",
            str(engine.own_slots),
            str(engine.prefill_queued_tokens),
            _takes_work(engine),
            "" if age_ms is None else f"{age_ms:.0f}",
        )
    return table


def fields_table(value: Any) -> tables.Table:
    """Returns a table of a data class, one field per row."""
    table = _table("field", "value")
    for name in value.__dataclass_fields__:
        table.add_row(name, _format_cell(_enum_value(getattr(value, name))))
    return table


def _table(*columns: str) -> tables.Table:
    table = tables.Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    return table


def _add_difference(table: tables.Table, item: values.Difference) -> None:
    row = (
        _format_effect(item.effect),
        item.kind.value,
        _format_cell(item.name),
    )
    for field in item.fields:
        before, after = _format_cell(field.before), _format_cell(field.after)
        table.add_row(*row, _format_cell(field.path), before, after)
        row = ("", "", "")


def _format_effect(effect: values.Effect) -> str:
    style = _EFFECT_STYLES[effect]
    return f"[{style}]{effect.value}[/{style}]"


def _format_log_state(status: values.InstanceStatus) -> str:
    if status.is_frozen:
        return "needs a newer program"
    if status.is_log_behind:
        return "ends before what is in force"
    if not status.is_caught_up:
        return "not read yet"
    silence_ms = status.log_silence_ms
    if silence_ms is None:
        return "never heard"
    if silence_ms > _LOG_SILENCE_LIMIT_MS:
        return f"silent for {silence_ms / clocks.MS_PER_S:.0f} s"
    return "heard"


def _takes_work(engine: values.EngineStatus) -> str:
    if engine.takes_work:
        return "yes"
    if engine.is_drained:
        return "no: drained"
    return "no: unreachable" if engine.is_suspect else "no"


def _format_counts(counts: Sequence[values.ReasonCount]) -> str:
    return " ".join(f"{one.reason}={one.count}" for one in counts)


def _flatten(
    data: dict[str, object], path: str = ""
) -> Iterable[tuple[str, Any]]:
    for name, value in data.items():
        if isinstance(value, dict):
            yield from _flatten(value, f"{path}{name}.")
        else:
            yield f"{path}{name}", value


def _enum_value(value: Any) -> Any:
    return getattr(value, "value", value)


def _format_cell(value: object) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case list() | tuple():
            return markup.escape(", ".join(str(part) for part in value))
        case _:
            return markup.escape(str(value))


def _format_time(wall_ms: float) -> str:
    moment = datetime.datetime.fromtimestamp(
        wall_ms / clocks.MS_PER_S, tz=datetime.UTC
    )
    return moment.strftime("%Y-%m-%d %H:%M:%S")
