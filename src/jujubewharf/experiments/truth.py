"""Ground truth of a run, from the records of the stand-ins."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses

from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import outcomes
from jujubewharf.standins import prefill_ledger

CALLER_CANCELLED = "caller_cancelled"
SENT_UNUSED = "sent_unused"
KEPT_UNUSED = "kept_unused"


@dataclasses.dataclass(slots=True)
class Waste:
    """Prefilled and wasted tokens.

    Attributes:
        prefilled_tokens: Tokens prefilled, without those from the cache.
        wasted_tokens: Prefilled tokens that were never used, by cause.
    """

    prefilled_tokens: int = 0
    wasted_tokens: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def ratio(self) -> float:
        """Share of prefilled tokens that were never used."""
        if self.prefilled_tokens == 0:
            return 0.0
        return self.wasted_tokens.total() / self.prefilled_tokens


class Truth:
    """Combines the records of engines and endpoints with the outcomes.

    Args:
        bench: The deployment after the run.
        call_outcomes: Outcomes of all calls.
    """

    def __init__(
        self, bench: benches.Bench, call_outcomes: Iterable[outcomes.Outcome]
    ) -> None:
        self._bench = bench
        self._generated_tokens: collections.Counter[str] = collections.Counter()
        self._dispatches: collections.Counter[str] = collections.Counter()
        self._prefilled_requests: set[str] = set()
        self._outcomes_by_request: dict[str, outcomes.Outcome] = {}
        for outcome in call_outcomes:
            for request_id in outcome.request_ids:
                self._outcomes_by_request[request_id] = outcome
        for engine in bench.engines.values():
            self._generated_tokens.update(engine.ledger.written)
            for attempt_id, count in engine.counts.dispatches.items():
                self._dispatches[_request_id_of(attempt_id)] += count
            for reading in engine.ledger.prefills:
                self._prefilled_requests.add(_request_id_of(reading.attempt_id))

    def waste(self, *, since_ms: float) -> Waste:
        """Returns the waste of prefills started at ``since_ms`` or later."""
        waste = Waste()
        for engine in self._bench.engines.values():
            for reading in engine.ledger.prefills:
                if reading.started_ms < since_ms:
                    continue
                waste.prefilled_tokens += reading.tokens
                cause = self._cause(reading)
                if cause is not None and reading.tokens > 0:
                    waste.wasted_tokens[cause] += reading.tokens
        return waste

    def dispatches(self, outcome: outcomes.Outcome) -> int:
        """Returns how often a call was started at engines or endpoints."""
        call = outcome.call
        if call.is_plain:
            return self._bench.endpoints.runs_by_path[f"/{call.key}"]
        return sum(self._dispatches[name] for name in outcome.request_ids)

    def ran_despite_rejection(self, outcome: outcomes.Outcome) -> bool:
        """Whether a call that was rejected as not run was run.

        A prefill counts as a run.
        """
        if outcome.call.is_plain:
            is_rejected_as_not_run = len(outcome.rejected_as_not_run) == len(
                outcome.request_ids
            )
            return is_rejected_as_not_run and self.dispatches(outcome) > 0
        return any(
            self._dispatches[name] or name in self._prefilled_requests
            for name in outcome.rejected_as_not_run
        )

    def leaked_slots(self) -> int:
        """Returns the number of decode slots still held."""
        return sum(
            engine.load_now().slots_used
            for engine in self._bench.engines.values()
            if not engine.is_dead
        )

    def reattempts(self) -> int:
        """Returns the number of attempts beyond the first of each request."""
        attempts = set(self._generated_tokens)
        return len(attempts) - len({_request_id_of(name) for name in attempts})

    def _cause(self, reading: prefill_ledger.PrefillRecord) -> str | None:
        is_used = self._generated_tokens[reading.attempt_id] > 0
        match reading.fate:
            case prefill_ledger.Fate.SENT:
                cause = SENT_UNUSED
            case prefill_ledger.Fate.KEPT:
                cause = KEPT_UNUSED
            case fate:
                cause = fate.value
                is_used = False
        if is_used:
            return None
        outcome = self._outcomes_by_request.get(
            _request_id_of(reading.attempt_id)
        )
        if outcome is not None and outcome.end is outcomes.End.CANCELLED:
            return CALLER_CANCELLED
        return cause


def _request_id_of(attempt_id: str) -> str:
    return attempt_id.rpartition(".")[0]
