"""Estimates prefill and transfer times from observed prefills."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs

_PRIOR_MS_PER_TOKEN = 0.1
_SMOOTHING = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillInProgress:
    """A prefill in progress for a request of this instance.

    Attributes:
        engine: Name of the engine.
        tokens: Length of the prompt.
        began_ms: Clock reading at which it was sent.
        ahead_tokens: Estimated tokens queued ahead of it then.
    """

    engine: str
    tokens: int
    began_ms: float
    ahead_tokens: float


class PrefillEstimator:
    """Tracks this instance's prefills and the prefill speed of engines.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ms_per_token: dict[str, float] = {}
        self._mean_ms_per_token = _PRIOR_MS_PER_TOKEN
        self._prefills: dict[int, PrefillInProgress] = {}

    def ms_per_token(self, engine: str) -> float:
        """Returns the prefill time per token; the mean for a new engine."""
        return self._ms_per_token.get(engine, self._mean_ms_per_token)

    def queued_tokens(self, view: fleets.EngineView) -> float:
        """Returns the estimated tokens ahead of a new prompt.

        Reports lag. Own prompts sent since the report are added to it; the
        result is at least the sum of all own prompts.
        """
        reported, report_received_ms = _latest_queue(view)
        own_total = own_unseen = 0
        for prefill in self._prefills.values():
            if prefill.engine != view.endpoint.name:
                continue
            own_total += prefill.tokens
            if prefill.began_ms >= report_received_ms:
                own_unseen += prefill.tokens
        return max(float(own_total), reported + own_unseen)

    def wait_ms(self, view: fleets.EngineView) -> float:
        """Returns the expected queueing time of a new prompt."""
        rate = self.ms_per_token(view.endpoint.name)
        return self.queued_tokens(view) * rate

    def prefill_ms(self, view: fleets.EngineView, tokens: float) -> float:
        """Returns the expected time until a new prompt's prefill completes."""
        rate = self.ms_per_token(view.endpoint.name)
        return self.wait_ms(view) + tokens * rate

    def begin(
        self, job: jobs.Job, view: fleets.EngineView, at_ms: float
    ) -> None:
        """Records a prompt that is sent now or at a later clock reading."""
        self._prefills[job.number] = PrefillInProgress(
            view.endpoint.name,
            job.prompt_tokens,
            at_ms,
            self.queued_tokens(view),
        )

    def complete(self, number: int) -> PrefillInProgress | None:
        """Records a completed prefill and updates the estimates."""
        prefill = self._prefills.pop(number, None)
        if prefill is None:
            return None
        total_tokens = prefill.tokens + prefill.ahead_tokens
        elapsed_ms = self._clock.now_ms() - prefill.began_ms
        sample = elapsed_ms / max(1.0, total_tokens)
        previous = self.ms_per_token(prefill.engine)
        updated = previous + _SMOOTHING * (sample - previous)
        self._ms_per_token[prefill.engine] = updated
        mean = self._mean_ms_per_token
        self._mean_ms_per_token = mean + _SMOOTHING * (sample - mean)
        return prefill

    def discard(self, number: int) -> None:
        """Removes a prompt whose prefill failed or was cancelled."""
        self._prefills.pop(number, None)


def _latest_queue(view: fleets.EngineView) -> tuple[int, float]:
    """Returns the latest queued tokens and the clock reading of their arrival.

    The coordinator's digest takes precedence over the engine's report.
    """
    if (
        view.has_digest
        and view.digest is not None
        and view.digest_received_ms is not None
    ):
        return view.digest.queued_tokens, view.digest_received_ms
    if view.report is not None and view.report_received_ms is not None:
        return view.report.prefill_queued_tokens, view.report_received_ms
    return 0, 0.0


def transfer_ms(
    source: fleets.EngineView, target: fleets.EngineView, kv_bytes: float
) -> float:
    """Returns the time of a KV transfer over idle links of configured speed."""
    rate = min(
        source.endpoint.link_bytes_per_s, target.endpoint.link_bytes_per_s
    )
    return kv_bytes / rate * clocks.MS_PER_S
