"""How one stand-in engine behaves."""

from __future__ import annotations

import dataclasses

from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """How one engine behaves.

    Attributes:
        slots: Requests its decode memory holds.
        prefill_ms_per_token: Reading time.
        step_base_ms: Time between tokens of a lone request.
        step_ms_per_request: What each further request adds.
        prefill_slowdown: Factor on the step while a prefill runs here.
        prefill_survives_ms: Time until an unused prefill result is gone.
        kv_bytes_per_token: Size of a prefill result.
        link_bytes_per_s: Rate of its link.
        report_lag_ms: Age of its load reports.
        chunk_tokens: Tokens a chunk.
        load_ms: Time a model load takes.
        capabilities: What it can do.
        role: Role it starts in.
        model: Model it starts with.
        model_version: Version it starts with.
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
