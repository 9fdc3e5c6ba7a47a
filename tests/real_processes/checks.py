"""Which answers ended early though their engines went on."""

from __future__ import annotations

import collections
import dataclasses

from tests.real_processes import callers
from tests.real_processes import configurations
from tests.real_processes import deployment as deployments
from tests.real_processes import disturbances

# An instance that was told to stop may cut what its engines still work on in
# the last sixth of its time.
_CUT_FROM_S = deployments.STOP_WITHIN_S * 5 / 6
# Time for which two engines may work on a stream while it moves.
_AT_ONCE_S = 0.4


@dataclasses.dataclass(frozen=True)
class Report:
    """What a run brought.

    Attributes:
        violations: Broken bounds, one line each.
        unanswered: Requests that didn't run and whose connection was closed
            without an answer, one line each; those that crossed a close.
        doubled: Streams on which two engines worked at once for long, one line
            each.
        ends: Number of exchanges by end.
        refused: Number of requests that were refused and didn't run.
        left_engines: Runs of engines whose connection was closed before they
            were whole.
        cut: Requests that ended with a killed instance, or when an instance's
            time to stop was over.
    """

    violations: list[str]
    unanswered: list[str]
    doubled: list[str]
    ends: collections.Counter[str]
    refused: int
    left_engines: int
    cut: int

    @property
    def whole(self) -> int:
        return self.ends["whole"]

    def lines(self) -> list[str]:
        """Returns all that is worth a look, violations first."""
        return [*self.violations, *self.unanswered, *self.doubled]

    def __str__(self) -> str:
        ends = ", ".join(f"{n} {end}" for end, n in sorted(self.ends.items()))
        return (
            f"{sum(self.ends.values())} requests: {ends}; {self.left_engines}"
            f" runs closed by us; {self.cut} cut with their instance;"
            f" {len(self.violations)} violations"
        )


def check(
    exchanges: list[callers.Exchange],
    runs: dict[str, list[dict]],
    pauses: list[disturbances.Pause],
) -> Report:
    """Checks all exchanges against what the engines noted.

    Args:
        exchanges: What callers saw.
        runs: Notes of the engines by request id.
        pauses: Pauses of engines.
    """
    ends: collections.Counter[str] = collections.Counter()
    violations: list[str] = []
    unanswered: list[str] = []
    doubled: list[str] = []
    refused = cut = 0
    for exchange in exchanges:
        notes = runs.get(exchange.request_id, [])
        has_run = any(note["what"] == "began" for note in notes)
        ends[_label(exchange, has_run)] += 1
        refused += not has_run and not exchange.is_whole
        cut += not exchange.is_whole and _was_cut(exchange)
        if exchange.wrong:
            violations.append(_line(exchange, exchange.wrong, notes))
        elif _ended_early(exchange, has_run):
            violations.append(_line(exchange, "ended early", notes))
        elif not has_run and not exchange.status and not _was_cut(exchange):
            unanswered.append(_line(exchange, "unanswered", notes))
        if _worked_at_once_s(notes, pauses) > _AT_ONCE_S:
            doubled.append(_line(exchange, "worked on twice", notes))
        if exchange.route in configurations.RUN_ONCE and _count(notes) > 1:
            violations.append(_line(exchange, "ran twice", notes))
    left = sum(n["what"] == "closed" for notes in runs.values() for n in notes)
    return Report(violations, unanswered, doubled, ends, refused, left, cut)


def _ended_early(exchange: callers.Exchange, has_run: bool) -> bool:
    """Whether an engine ran the request, and its answer was ended by us.

    Engines are paused and never end, so that each would have answered.
    """
    if exchange.is_whole or not has_run:
        return False
    if exchange.took_ms >= min(configurations.TIMEOUTS_MS):
        return False
    return not _was_cut(exchange)


def _was_cut(exchange: callers.Exchange) -> bool:
    """Whether the instance was killed, or its time to stop was over.

    What is sent while a killed process ends is lost with its connection.
    """
    stops_s = [s + _CUT_FROM_S for s in exchange.instance.stops_s]
    is_killed = any(
        exchange.connected_s <= kill_s <= exchange.ended_s
        for kill_s in exchange.instance.kills_s
    )
    return is_killed or any(
        exchange.sent_s <= stop_s <= exchange.ended_s for stop_s in stops_s
    )


def _worked_at_once_s(
    notes: list[dict], pauses: list[disturbances.Pause]
) -> float:
    """Returns for how long an engine worked on what another went on with."""
    works = _works(notes)
    longest_s = 0.0
    for engine, from_s, until_s in works:
        for other, other_from_s, other_until_s in works:
            if engine == other or not from_s < other_from_s < until_s:
                continue
            end_s = min(until_s, other_until_s)
            paused_s = sum(
                max(0.0, min(end_s, p.until_s) - max(other_from_s, p.from_s))
                for p in pauses
                if p.name == engine
            )
            longest_s = max(longest_s, end_s - other_from_s - paused_s)
    return longest_s


def _works(notes: list[dict]) -> list[tuple[str, float, float]]:
    """Returns engine, begin and end of each run of a request."""
    begun: dict[str, float] = {}
    works = []
    for note in notes:
        engine, at_s = note["engine"], note["at_s"]
        if note["what"] == "began":
            begun[engine] = at_s
        else:
            works.append((engine, begun.pop(engine, at_s), at_s))
    return works


def _count(notes: list[dict]) -> int:
    return sum(note["what"] == "began" for note in notes)


def _label(exchange: callers.Exchange, has_run: bool) -> str:
    if exchange.is_whole:
        return "whole"
    ran = "ran" if has_run else "not run"
    if exchange.end:
        began = "broken off" if exchange.status else "without answer"
        return f"{began} ({exchange.end}, {ran})"
    return f"status {exchange.status} ({ran})"


def _line(exchange: callers.Exchange, what: str, notes: list[dict]) -> str:
    seen = ", ".join(
        f"{n['engine']} {n['what']} at {n['number']}"
        f" {n['at_s'] - exchange.sent_s:.2f} s"
        for n in notes
    )
    status = exchange.status or "no answer"
    return (
        f"{exchange.request_id} /{exchange.route}/ {exchange.instance.name}"
        f" {what}: {status}, event {exchange.last_event},"
        f" {exchange.end or 'answered'} after {exchange.took_ms:.0f} ms;"
        f" engines: {seen or 'none'}"
    )
