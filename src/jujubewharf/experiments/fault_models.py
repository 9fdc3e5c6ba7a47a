"""Models of the faults that an experiment file can schedule."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import pydantic

Seconds = Annotated[float, pydantic.Field(ge=0)]


class _Fault(pydantic.BaseModel):
    """A fault; times are seconds from the start of the load."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    at_s: Seconds


class EngineDies(_Fault):
    """One engine crashes and restarts without its state."""

    kind: Literal["engine_dies"]
    engine: str
    for_s: Seconds


class EnginesDie(_Fault):
    """Randomly chosen engines crash one after another."""

    kind: Literal["engines_die"]
    until_s: Seconds
    every_s: Annotated[float, pydantic.Field(gt=0)]
    for_s: Seconds


class LinksSlow(_Fault):
    """The KV links of some or, if none is named, all engines slow down."""

    kind: Literal["links_slow"]
    factor: Annotated[float, pydantic.Field(gt=0, le=1)]
    for_s: Seconds
    engines: tuple[str, ...] = ()


class LinkStalls(_Fault):
    """One engine's KV transfers stall."""

    kind: Literal["link_stalls"]
    engine: str
    for_s: Seconds


class ReportsLag(_Fault):
    """The lag of load reports grows by a factor."""

    kind: Literal["reports_lag"]
    factor: Annotated[float, pydantic.Field(gt=0)]
    for_s: Seconds


class DomainCut(_Fault):
    """A failure domain is partitioned from the rest."""

    kind: Literal["domain_cut"]
    domain: str
    for_s: Seconds
    from_log: bool = True
    from_list: bool = True
    from_peers: bool = True
    from_engines_elsewhere: bool = True


class OneWayCut(_Fault):
    """Traffic from one failure domain to another is held back."""

    kind: Literal["one_way_cut"]
    domain: str
    other: str
    for_s: Seconds


class InstanceDies(_Fault):
    """An entry instance is killed and restarted ``for_s`` later."""

    kind: Literal["instance_dies"]
    instance: str
    for_s: Seconds


class InstancePauses(_Fault):
    """An entry instance is paused and resumes with its state unchanged."""

    kind: Literal["instance_pauses"]
    instance: str
    for_s: Seconds


class RollingRestart(_Fault):
    """All instances are drained and restarted, one after another."""

    kind: Literal["rolling_restart"]
    every_s: Annotated[float, pydantic.Field(gt=0)]


class LogDown(_Fault):
    """The platform's log is unavailable."""

    kind: Literal["log_down"]
    for_s: Seconds


class LogSlow(_Fault):
    """Appends to the log are slow."""

    kind: Literal["log_slow"]
    append_ms: Seconds
    for_s: Seconds


class LogLosesAnswers(_Fault):
    """The next ``count`` appends take effect but their answers are lost."""

    kind: Literal["log_loses_answers"]
    count: Annotated[int, pydantic.Field(gt=0)]


class ListDown(_Fault):
    """The live list is unavailable."""

    kind: Literal["list_down"]
    for_s: Seconds


class ListLags(_Fault):
    """The lag of the live list grows."""

    kind: Literal["list_lags"]
    lag_ms: Seconds
    for_s: Seconds


class FarSlow(_Fault):
    """The delay between failure domains grows."""

    kind: Literal["far_slow"]
    far_ms: Seconds
    for_s: Seconds


Fault = Annotated[
    EngineDies
    | EnginesDie
    | LinksSlow
    | LinkStalls
    | ReportsLag
    | DomainCut
    | OneWayCut
    | InstanceDies
    | InstancePauses
    | RollingRestart
    | LogDown
    | LogSlow
    | LogLosesAnswers
    | ListDown
    | ListLags
    | FarSlow,
    pydantic.Field(discriminator="kind"),
]
