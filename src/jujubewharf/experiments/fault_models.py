"""The faults that an experiment file can put on its timeline."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import pydantic

Seconds = Annotated[float, pydantic.Field(ge=0)]


class _Fault(pydantic.BaseModel):
    """A fault; times count from the start of the load."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    at_s: Seconds


class EngineDies(_Fault):
    """One engine dies and comes back empty."""

    kind: Literal["engine_dies"]
    engine: str
    for_s: Seconds


class EnginesDie(_Fault):
    """Engines, drawn by the seed, die one after another."""

    kind: Literal["engines_die"]
    until_s: Seconds
    every_s: Annotated[float, pydantic.Field(gt=0)]
    for_s: Seconds


class LinksSlow(_Fault):
    """KV links carry only a part; all of them when no engine is named."""

    kind: Literal["links_slow"]
    factor: Annotated[float, pydantic.Field(gt=0, le=1)]
    for_s: Seconds
    engines: tuple[str, ...] = ()


class LinkStalls(_Fault):
    """One engine's KV transfers stand still."""

    kind: Literal["link_stalls"]
    engine: str
    for_s: Seconds


class ReportsLag(_Fault):
    """Load reports come later by a factor."""

    kind: Literal["reports_lag"]
    factor: Annotated[float, pydantic.Field(gt=0)]
    for_s: Seconds


class DomainCut(_Fault):
    """A failure domain is cut off."""

    kind: Literal["domain_cut"]
    domain: str
    for_s: Seconds
    from_log: bool = True
    from_list: bool = True
    from_peers: bool = True
    from_engines_elsewhere: bool = True


class OneWayCut(_Fault):
    """What one domain sends to another does not arrive."""

    kind: Literal["one_way_cut"]
    domain: str
    other: str
    for_s: Seconds


class InstanceDies(_Fault):
    """An entry instance dies; its replacement starts later."""

    kind: Literal["instance_dies"]
    instance: str
    for_s: Seconds


class InstancePauses(_Fault):
    """An entry instance stands still and then believes what it believed."""

    kind: Literal["instance_pauses"]
    instance: str
    for_s: Seconds


class RollingRestart(_Fault):
    """Every instance is shut down gracefully and started anew, in turn."""

    kind: Literal["rolling_restart"]
    every_s: Annotated[float, pydantic.Field(gt=0)]


class LogDown(_Fault):
    """The platform's log refuses everything."""

    kind: Literal["log_down"]
    for_s: Seconds


class LogSlow(_Fault):
    """Appends to the log take long."""

    kind: Literal["log_slow"]
    append_ms: Seconds
    for_s: Seconds


class LogLosesAnswers(_Fault):
    """Some appends take effect but their answers are lost."""

    kind: Literal["log_loses_answers"]
    count: Annotated[int, pydantic.Field(gt=0)]


class ListDown(_Fault):
    """The live list refuses everything."""

    kind: Literal["list_down"]
    for_s: Seconds


class ListLags(_Fault):
    """The live list lies further behind."""

    kind: Literal["list_lags"]
    lag_ms: Seconds
    for_s: Seconds


class FarSlow(_Fault):
    """Streams and engine calls between domains take longer."""

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
