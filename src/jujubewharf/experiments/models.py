"""The experiment file's models; unknown fields are errors.

Times on the timeline are in seconds, as people write them; everything that
goes on into the code is in milliseconds.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from jujubewharf.configuration import resources
from jujubewharf.experiments import fault_models
from jujubewharf.standins import engine_spec

Share = Annotated[float, pydantic.Field(ge=0, le=1)]
NotNegative = Annotated[float, pydantic.Field(ge=0)]
Positive = Annotated[float, pydantic.Field(gt=0)]
Count = Annotated[int, pydantic.Field(gt=0)]

_STRICT = pydantic.ConfigDict(extra="forbid")
engine_spec.EngineSpec.__pydantic_config__ = _STRICT  # type: ignore[attr-defined]
resources.Service.__pydantic_config__ = _STRICT  # type: ignore[attr-defined]
resources.Capabilities.__pydantic_config__ = _STRICT  # type: ignore[attr-defined]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Constant(_Model):
    """Always the same value."""

    kind: Literal["constant"]
    value: NotNegative


class Uniform(_Model):
    """Evenly spread values."""

    kind: Literal["uniform"]
    low: NotNegative
    high: NotNegative


class Lognormal(_Model):
    """Many small values and a long tail, cut off at both ends."""

    kind: Literal["lognormal"]
    median: Positive
    sigma: Positive
    low: NotNegative = 1
    high: Positive = 1e9


Distribution = Annotated[
    Constant | Uniform | Lognormal, pydantic.Field(discriminator="kind")
]


class RatePoint(_Model):
    """A rate at a moment; in between it is interpolated."""

    at_s: NotNegative
    per_s: NotNegative


class Burst(_Model):
    """The rate times a factor for a while."""

    at_s: NotNegative
    for_s: Positive
    factor: NotNegative


class Arrivals(_Model):
    """A Poisson process whose rate follows points and bursts."""

    points: Annotated[tuple[RatePoint, ...], pydantic.Field(min_length=1)]
    bursts: tuple[Burst, ...] = ()


class _Load(_Model):
    """Callers of one service.

    Attributes:
        service: Service they call.
        arrivals: When they come.
        not_repeatable_share: Share of requests marked as not repeatable.
        cancel_share: Share of callers who hang up.
        cancel_after_ms: How long after they came.
        come_backs: Times a refused caller comes back when it is told to.
    """

    service: str
    arrivals: Arrivals
    not_repeatable_share: Share = 0.0
    cancel_share: Share = 0.0
    cancel_after_ms: Distribution = Uniform(
        kind="uniform", low=100, high=10_000
    )
    come_backs: Annotated[int, pydantic.Field(ge=0)] = 0


class ModelLoad(_Load):
    """Callers of a model service.

    Attributes:
        prompt_tokens: Length of prompts, the shared prefix included.
        answer_tokens: Length of answers.
        shared_prefix_share: Share of prompts that open with a shared prefix.
        shared_prefix_tokens: Length of shared prefixes.
        shared_prefixes: How many there are.
        impatient_share: Share of callers who go to another instance with the
            same key when no token has come.
        impatient_after_ms: How long they wait before.
        priority: Priority of the requests.
    """

    kind: Literal["model"]
    prompt_tokens: Distribution
    answer_tokens: Distribution
    shared_prefix_share: Share = 0.0
    shared_prefix_tokens: Annotated[int, pydantic.Field(ge=0)] = 256
    shared_prefixes: Count = 8
    impatient_share: Share = 0.0
    impatient_after_ms: Positive = 2_000
    priority: int = 0


class PlainLoad(_Load):
    """Callers of a plain service."""

    kind: Literal["plain"]


class EngineGroup(_Model):
    """Engines that are alike.

    Attributes:
        service: Service they stand behind.
        name: Their names are this and a number.
        role: What they do.
        count: How many there are.
        spec: How they behave; role and model come from elsewhere.
    """

    service: str
    name: str
    role: resources.Role
    count: Count
    spec: engine_spec.EngineSpec = engine_spec.EngineSpec()


class EndpointGroup(_Model):
    """Endpoints of a plain service that are alike."""

    service: str
    name: str
    count: Count
    answer_ms: Positive = 8.0


class Deployment(_Model):
    """The deployment under test.

    Engines and endpoints are spread over the domains in turn, each group
    where the one before it ended.

    Attributes:
        domains: Names of the failure domains.
        instances_per_domain: Entry instances in each.
        services: Services, with their targets.
        engines: Model engines.
        endpoints: Endpoints of plain services.
        near_ms: One-way delay within a domain.
        far_ms: One-way delay between domains.
        caller_ms: One-way delay between a caller and an instance.
        list_lag_ms: Lag of the live list.
        dead_listed_s: Time until a dead instance leaves the list and the
            balancer.
        instance_settings: Settings of every instance.
    """

    domains: Annotated[tuple[str, ...], pydantic.Field(min_length=1)]
    instances_per_domain: Count = 2
    services: Annotated[
        tuple[resources.Service, ...], pydantic.Field(min_length=1)
    ]
    engines: tuple[EngineGroup, ...] = ()
    endpoints: tuple[EndpointGroup, ...] = ()
    near_ms: Positive = 0.5
    far_ms: Positive = 2.0
    caller_ms: Positive = 4.0
    list_lag_ms: NotNegative = 1_000
    dead_listed_s: NotNegative = 3
    instance_settings: dict[str, Any] = {}


class Experiment(_Model):
    """One experiment.

    Attributes:
        name: Its name.
        description: What it is for.
        duration_s: How long callers come.
        warmup_s: Callers who come before this count for nothing.
        settle_s: Time after the last caller until leaks are counted.
        load_factor: Factor on the arrivals at model services.
        deployment: What serves.
        load: Who calls.
        faults: What goes wrong and when.
    """

    name: str
    description: str = ""
    duration_s: Positive = 60
    warmup_s: NotNegative = 5
    settle_s: NotNegative = 30
    load_factor: NotNegative = 1.0
    deployment: Deployment
    load: tuple[
        Annotated[ModelLoad | PlainLoad, pydantic.Field(discriminator="kind")],
        ...,
    ]
    faults: tuple[fault_models.Fault, ...] = ()

    @pydantic.model_validator(mode="after")
    def _names_are_known(self) -> Experiment:
        kinds = {s.name: s.kind.value for s in self.deployment.services}
        for load in self.load:
            if kinds.get(load.service) != load.kind:
                raise ValueError(f"no {load.kind} service {load.service!r}")
        named = [group.service for group in self.deployment.engines]
        named += [group.service for group in self.deployment.endpoints]
        for name in named:
            if name not in kinds:
                raise ValueError(f"no service {name!r}")
        return self
