"""Configuration of a stand-in engine."""

from __future__ import annotations

import dataclasses

from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Behaviour of an engine.

    Attributes:
        slots: Number of decode slots.
        prefill_ms_per_token: Prefill time per token.
        step_base_ms: Decode step time of a single request.
        step_ms_per_request: Additional step time per further request.
        prefill_slowdown: Factor on the step time during a prefill.
        prefill_survives_ms: Time until an unused prefill result expires.
        kv_bytes_per_token: Size of a prefill result per token.
        link_bytes_per_s: Bandwidth of the KV link.
        report_lag_ms: Age of the load reports.
        chunk_tokens: Tokens per chunk of an answer.
        load_ms: Time to load a model.
        capabilities: Supported operations.
        role: Initial role.
        model: Initial model.
        model_version: Initial model version.
    """

    slots: int = 20
    prefill_ms_per_token: float = 0.2
    step_base_ms: float = 20.0
    step_ms_per_request: float = 1.0
    prefill_slowdown: float = 1.5
    prefill_survives_ms: float = 900.0
    kv_bytes_per_token: int = 160_000
    link_bytes_per_s: float = 5e9
    report_lag_ms: float = 500.0
    chunk_tokens: int = 1
    load_ms: float = 2_000.0
    capabilities: resources.Capabilities = resources.Capabilities()
    role: str = resources.Role.BOTH.value
    model: str = ""
    model_version: str = ""
