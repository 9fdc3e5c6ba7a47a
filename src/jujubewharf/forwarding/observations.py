"""Observations of engines and request costs made while sending requests."""

from __future__ import annotations

from typing import Protocol

from jujubewharf.engine_speeds import speeds
from jujubewharf.engines import client
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import margins
from jujubewharf.forwarding import pool as pools


class Observer(Protocol):
    """Receives observations of engines and request costs."""

    def record_prefill(
        self,
        engine: str,
        took_ms: float,
        *,
        tokens: int,
        slowdown: float = 1.0,
    ) -> None:
        """Records that an engine has prefilled a prompt.

        Args:
            engine: Name of the engine.
            took_ms: Time from the call to its answer.
            tokens: Prompt size, in tokens.
            slowdown: Slowdown that the engine reported to a follower.
        """
        ...

    def record_first_event(self, took_ms: float) -> None:
        """Records the time from reservation to first event."""
        ...

    def record_projection(
        self,
        projected_ms: float,
        *,
        memory_share: float,
        engine: str | None = None,
        event_ms: float | None = None,
    ) -> None:
        """Records how long a running response is projected to hold memory.

        Args:
            projected_ms: Projected duration.
            memory_share: Share of the engine's memory that it holds.
            engine: Name of the engine; ``None`` from an older build.
            event_ms: Mean time between two events; ``None`` from an older
                build.
        """
        ...

    def record_length(self, expected_tokens: int, tokens: int) -> None:
        """Records the estimated and the actual length of a response."""
        ...

    def record_failure(self, error: client.EngineError) -> None:
        """Records a failed call to an engine."""
        ...

    def record_role_change(self, engine: str) -> None:
        """Records that an engine is changing its role."""
        ...

    def record_response_start(self, engine: str) -> None:
        """Records that an engine has started a response."""
        ...

    def record_prefill_refusal(self, engine: str) -> None:
        """Records that an engine refused a prefill."""
        ...


class LocalObserver:
    """Passes observations to the estimates and engine state of this instance.

    Args:
        cost_estimates: Observed costs of requests.
        lengths: Statistics of response lengths.
        pool: State of the engines.
    """

    def __init__(
        self,
        cost_estimates: costs.CostEstimates,
        lengths: margins.ResponseLengths,
        pool: pools.EnginePool,
    ) -> None:
        self._cost_estimates = cost_estimates
        self._lengths = lengths
        self._pool = pool

    def record_prefill(
        self,
        engine: str,
        took_ms: float,
        *,
        tokens: int,
        slowdown: float = 1.0,
    ) -> None:
        """See ``Observer``."""
        self._pool.record_success(engine)
        self._pool.speeds.record_slowdown(engine, slowdown)
        time = self._pool.speeds.at_present(engine, speeds.Stage.PREFILL)
        busy_ms = self._pool.record_prefill(
            engine, took_ms=took_ms, tokens=tokens
        )
        self._cost_estimates.record_prefill(
            took_ms / time, prompt_tokens=tokens, busy_ms=busy_ms / time
        )

    def record_first_event(self, took_ms: float) -> None:
        """See ``Observer``."""
        self._cost_estimates.record_first_event(took_ms)

    def record_projection(
        self,
        projected_ms: float,
        *,
        memory_share: float,
        engine: str | None = None,
        event_ms: float | None = None,
    ) -> None:
        """See ``Observer``."""
        time = 1.0
        if engine is not None:
            time = self._pool.speeds.at_present(engine, speeds.Stage.DECODE)
            if event_ms is not None:
                self._pool.record_event_time(engine, event_ms)
        self._cost_estimates.record_projection(
            projected_ms, memory_share=memory_share, relative_time=time
        )

    def record_length(self, expected_tokens: int, tokens: int) -> None:
        """See ``Observer``."""
        self._lengths.record_length(
            margins.ResponseLength(expected_tokens, tokens)
        )

    def record_failure(self, error: client.EngineError) -> None:
        """See ``Observer``."""
        self._pool.record_failure(error)

    def record_role_change(self, engine: str) -> None:
        """See ``Observer``."""
        self._pool.record_role_change(engine)

    def record_response_start(self, engine: str) -> None:
        """See ``Observer``."""
        self._pool.record_success(engine)

    def record_prefill_refusal(self, engine: str) -> None:
        """See ``Observer``."""
        self._pool.record_prefill_refusal(engine)
