"""Computes the tables of ``docs/CAPACITY.md`` from measured inputs.

``benchmarks/measured.json`` holds the measured inputs and the commands that
produce them. ``python -m benchmarks.capacity --write`` updates the page.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
import dataclasses
import json
import pathlib
from typing import Any

_ROOT = pathlib.Path(__file__).parent.parent
MEASURED = _ROOT / "benchmarks" / "measured.json"
PAGE = _ROOT / "docs" / "CAPACITY.md"
_BEGIN = "<!-- begin {} -->"
_END = "<!-- end {} -->"
_DAY_S = 86_400
_S_US = 1e6
_MB = 1e6
_MEASURED_REQUESTS_PER_S = 2.0
_MEASURED_RESTART_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Target size of the fleet and the budget of one instance.

    Attributes:
        instances: Instances in the fleet.
        engines: Engines in the fleet.
        domains: Failure domains.
        requests_per_s: Requests per second to the fleet.
        tokens_per_s: Tokens per second of the fleet.
        changes_per_day: Configuration changes per day.
        accounts: Client accounts.
        starts_per_day: Starts of instances per day.
        slots: Decode slots per engine.
        step_ms: Time per token of an answer.
        core_percent: Budget for control work, in percent of a core.
        memory_mb: Budget for memory, in megabytes.
        bytes_per_s: Budget for control traffic.
    """

    instances: int = 380
    engines: int = 5_900
    domains: int = 15
    requests_per_s: float = 1_900
    tokens_per_s: float = 970_000
    changes_per_day: float = 35_000
    accounts: int = 3_700
    starts_per_day: float = 1_510
    slots: int = 20
    step_ms: float = 64
    core_percent: float = 3.6
    memory_mb: float = 64
    bytes_per_s: float = 3_000

    @property
    def engines_per_instance(self) -> float:
        """Engines per instance."""
        return self.engines / self.instances

    @property
    def requests_per_instance_s(self) -> float:
        """Requests per second at one instance."""
        return self.requests_per_s / self.instances

    @property
    def in_flight(self) -> float:
        """Mean number of requests in flight at one instance."""
        return self.tokens_per_s * self.step_ms / 1_000 / self.instances

    @property
    def changes_per_s(self) -> float:
        """Mean number of configuration changes per second."""
        return self.changes_per_day / _DAY_S


class Measured:
    """Measured inputs by name: a constant or ``base + per_unit * units``."""

    def __init__(self, data: dict[str, Any]) -> None:
        self.data = data

    @classmethod
    def from_file(cls, path: pathlib.Path = MEASURED) -> Measured:
        """Reads the inputs from a JSON file."""
        return cls(json.loads(path.read_text(encoding="utf-8")))

    def at(self, name: str, units: float = 0.0) -> float:
        """Returns an input evaluated at a number of units."""
        item = self.data[name]
        return float(item["base"] + item.get("per_unit", 0.0) * units)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Cost of one role at one instance; ``None`` if not measured.

    Attributes:
        role: Name of the role.
        mechanism: How the role is implemented.
        state: State that the role holds.
        bytes_per_s: Control bytes per second.
        core_percent: Processor time in percent of a core.
        memory_mb: Memory in megabytes beyond the idle process.
        breaks_first: Resource that limits growth first.
        is_control: Whether the cost counts against the control budget.
    """

    role: str
    mechanism: str
    state: str
    bytes_per_s: float | None
    core_percent: float | None
    memory_mb: float | None
    breaks_first: str
    is_control: bool = True


def rows(size: Size, measured: Measured) -> Iterator[Row]:
    """Yields the cost of every role at the instance that holds it."""
    yield _relay(size, measured)
    yield from _peers(size, measured)
    yield _restarts(size, measured)
    yield from _engines(size, measured)
    yield from _keys(size, measured)
    yield from _configuration(size, measured)


def _relay(size: Size, measured: Measured) -> Row:
    tokens = size.tokens_per_s / size.instances
    requests = size.requests_per_instance_s
    percent = 100 * tokens / measured.at("relay_tokens_per_core_s")
    percent += 100 * requests / measured.at("requests_per_core_s")
    load_mb = measured.at("load_memory_mb") - measured.at("idle_memory_mb")
    return Row(
        "entry: relay of answers (not control)",
        "one task a request; chunks passed on as they come",
        f"{size.in_flight:.0f} requests in flight, {tokens:,.0f} tokens/s",
        None,
        percent,
        load_mb,
        "the processor: tokens a core relays",
        is_control=False,
    )


def _peers(size: Size, measured: Measured) -> Iterator[Row]:
    yield Row(
        "member: heartbeats, facts, links within and between domains",
        "bounded links by rendezvous hash; facts pushed and compared",
        f"{size.instances} members' facts",
        measured.at("idle_bytes_per_s", size.instances),
        measured.at("idle_processor_ms_per_s", size.instances) / 10,
        None,
        "the line is drawn out far past its range; see below",
    )
    more = measured.at("load_bytes_per_s", size.instances)
    more -= measured.at("idle_with_engines_bytes_per_s", size.instances)
    yield Row(
        "member: what requests add between peers",
        "asks for slots, keys' homes, owners of attempts",
        f"{size.requests_per_instance_s:.0f} requests/s, measured at 2",
        more * size.requests_per_instance_s / _MEASURED_REQUESTS_PER_S,
        None,
        None,
        "messages a request; the line is drawn out far past its range",
    )


def _restarts(size: Size, measured: Measured) -> Row:
    more = measured.at("churn_bytes_per_s", size.instances)
    more -= measured.at("idle_bytes_per_s", size.instances)
    share = size.starts_per_day / _DAY_S * _MEASURED_RESTART_S
    return Row(
        "member: what restarts add",
        "facts of the new run, links dialled anew, snapshots",
        f"{size.starts_per_day:,.0f} starts a day in the fleet",
        more * share,
        None,
        None,
        "a start costs every member bytes; measured to 24 members only",
    )


def _engines(size: Size, measured: Measured) -> Iterator[Row]:
    kept = size.engines_per_instance
    polls = kept * measured.at("polls_per_engine_s")
    yield Row(
        "keeper of engines: load",
        "poll of each kept engine over HTTP",
        f"{kept:.1f} engines, {polls:.0f} polls/s",
        polls * measured.at("load_answer_bytes"),
        100 * polls * measured.at("load_us") / _S_US,
        None,
        "bytes and processor of polling; a stream of changes would spare both",
    )
    sweeps = kept * measured.at("sweeps_per_engine_s")
    yield Row(
        "sweeper of engines",
        "reads what each engine holds, asks owners",
        f"{kept:.1f} engines, {kept * size.slots:.0f} attempts",
        sweeps * measured.at("held_bytes", size.slots),
        100 * sweeps * measured.at("held_us", size.slots) / _S_US,
        None,
        "bytes: every sweep reads all slots anew",
    )


def _keys(size: Size, measured: Measured) -> Iterator[Row]:
    writes = 2 * size.requests_per_instance_s
    kept = writes * measured.at("key_kept_s")
    yield Row(
        "home of keys",
        "two homes by rendezvous hash, bounded records",
        f"{kept:,.0f} records",
        None,
        None,
        None,
        "messages, in proportion to requests; their bytes stand above",
    )
    appends = measured.at("claim_appends_per_s")
    shards = measured.at("claim_shards")
    batch = size.requests_per_s / appends
    yield Row(
        "owner of a shard of claims",
        "group-committed records on the log, lowest offset wins",
        f"{shards:.0f} shards; {batch:.0f} claims an append at worst",
        None,
        None,
        None,
        f"the log's appends: {appends:.0f}/s of several hundred are taken",
    )


def _configuration(size: Size, measured: Measured) -> Iterator[Row]:
    state_bytes = size.engines * measured.at("endpoint_state_bytes")
    state_bytes += size.accounts * measured.at("account_state_bytes")
    memory_mb = measured.at("endpoint_memory_mb", size.engines)
    memory_mb += measured.at("account_memory_mb", size.accounts)
    changes = size.changes_per_s
    yield Row(
        "follower of configuration",
        "reads the log, folds; every instance holds all resources",
        f"{size.engines + size.accounts:,} resources, "
        f"{state_bytes / _MB:.1f} MB as msgpack",
        changes * measured.at("endpoint_record_bytes"),
        100 * changes * measured.at("fold_us") / _S_US,
        memory_mb,
        "memory: every instance holds every endpoint and account",
    )
    starts = size.starts_per_day / _DAY_S
    yield Row(
        "checkpoint writer, and starting instances",
        "chunks on the log; a starting instance reads the latest",
        f"{state_bytes / _MB:.1f} MB a checkpoint; "
        f"{size.starts_per_day:,.0f} starts a day read it",
        starts * state_bytes / size.instances,
        None,
        None,
        "a rack that starts at once reads it all together",
    )
    yield Row(
        "operator RPC",
        "validate, append, answer after reading back",
        f"{changes:.2f} changes/s over the whole fleet",
        changes * measured.at("endpoint_record_bytes") / size.instances,
        None,
        None,
        "the log's append time",
    )
    yield Row(
        "order holder",
        "a lease on the log; its offset is the fencing number",
        f"{size.engines / size.domains:.0f} engines a domain",
        None,
        None,
        None,
        "the weight store's rate, not the lease",
    )


def role_table(size: Size, measured: Measured) -> str:
    """Returns the table of roles as Markdown."""
    lines = [
        "| Role | Mechanism | State | Bytes/s | Core % | Memory MB | "
        "Breaks first |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in rows(size, measured):
        lines.append(
            f"| {row.role} | {row.mechanism} | {row.state} | "
            f"{_number(row.bytes_per_s, 0)} | {_number(row.core_percent, 2)} | "
            f"{_number(row.memory_mb, 1)} | {row.breaks_first} |"
        )
    return "\n".join(lines)


def budget_table(size: Size, measured: Measured) -> str:
    """Returns a Markdown table that compares total costs to the budget."""
    control = [row for row in rows(size, measured) if row.is_control]
    spent_bytes = sum(row.bytes_per_s or 0 for row in control)
    spent_core = sum(row.core_percent or 0 for row in control)
    memory = measured.at("idle_memory_mb")
    memory += sum(row.memory_mb or 0 for row in control)
    lines = ["| Budget | Allowed | Worked out | |", "|---|---|---|---|"]
    for name, allowed, spent, digits in (
        ("bytes a second", size.bytes_per_s, spent_bytes, 0),
        ("percent of a core", size.core_percent, spent_core, 1),
        ("memory in MB", size.memory_mb, memory, 1),
    ):
        verdict = "met" if spent <= allowed else "**not met**"
        lines.append(
            f"| {name} | {_number(allowed, 1)} | {_number(spent, digits)} | "
            f"{verdict} |"
        )
    return "\n".join(lines)


def input_table(measured: Measured) -> str:
    """Returns the measured inputs as a Markdown table."""
    lines = [
        "| Input | Value | Range | Largest residual | Where from |",
        "|---|---|---|---|---|",
    ]
    for name, item in measured.data.items():
        value = f"{item['base']:,.6g}"
        if "per_unit" in item:
            value += f" + {item['per_unit']:,.4g} a {item['unit']}"
        lines.append(
            f"| `{name}` | {value} | {item.get('range', '')} | "
            f"{item.get('residual', '')} | {item['source']} |"
        )
    return "\n".join(lines)


def update_tables(page: str, size: Size, measured: Measured) -> str:
    """Returns the page with its tables recomputed."""
    for name, table in (
        ("roles", role_table(size, measured)),
        ("budget", budget_table(size, measured)),
        ("inputs", input_table(measured)),
    ):
        begin, end = _BEGIN.format(name), _END.format(name)
        head, _, rest = page.partition(begin)
        _, _, tail = rest.partition(end)
        page = f"{head}{begin}\n{table}\n{end}{tail}"
    return page


def _number(value: float | None, digits: int) -> str:
    return "not measured" if value is None else f"{value:,.{digits}f}"


def main() -> None:
    """Prints the tables, or writes them into the page with ``--write``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    size, measured = Size(), Measured.from_file()
    if options.write:
        page = PAGE.read_text(encoding="utf-8")
        PAGE.write_text(update_tables(page, size, measured), encoding="utf-8")
        return
    print(role_table(size, measured))
    print(budget_table(size, measured))


if __name__ == "__main__":
    main()
