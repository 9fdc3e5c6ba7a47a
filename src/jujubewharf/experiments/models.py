"""Models of the experiment file; unknown fields are errors.

Times on the timeline are in seconds (``_s``), all other durations in
milliseconds (``_ms``).
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
    """A constant value."""

    kind: Literal["constant"]
    value: NotNegative


class Uniform(_Model):
    """A uniform distribution."""

    kind: Literal["uniform"]
    low: NotNegative
    high: NotNegative


class Lognormal(_Model):
    """A log-normal distribution, clamped to ``low`` and ``high``."""

    kind: Literal["lognormal"]
    median: Positive
    sigma: Positive
    low: NotNegative = 1
    high: Positive = 1e9


Distribution = Annotated[
    Constant | Uniform | Lognormal, pydantic.Field(discriminator="kind")
]


class RatePoint(_Model):
    """An arrival rate at a time; rates in between are interpolated."""

    at_s: NotNegative
    per_s: NotNegative


class Burst(_Model):
    """A temporary increase of the arrival rate by a factor."""

    at_s: NotNegative
    for_s: Positive
    factor: NotNegative


class Arrivals(_Model):
    """A Poisson process with a rate given by points and bursts."""

    points: Annotated[tuple[RatePoint, ...], pydantic.Field(min_length=1)]
    bursts: tuple[Burst, ...] = ()


class _Load(_Model):
    """Callers of one service.

    Attributes:
        service: Name of the service.
        arrivals: Arrival process.
        not_repeatable_share: Share of requests marked as not repeatable.
        cancel_share: Share of callers that cancel.
        cancel_after_ms: Time from arrival until they cancel.
        come_backs: Maximum number of retries after a retryable rejection.
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
        prompt_tokens: Length of prompts, including the shared prefix.
        answer_tokens: Length of answers.
        shared_prefix_share: Share of prompts that start with a shared prefix.
        shared_prefix_tokens: Length of shared prefixes.
        shared_prefixes: Number of distinct shared prefixes.
        impatient_share: Share of callers that retry at another instance with
            the same key when no token has arrived.
        impatient_after_ms: Time without a token until they retry.
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
    """A group of identical engines.

    Attributes:
        service: Name of their service.
        name: Prefix of their names, followed by a number.
        role: Role of the engines.
        count: Number of engines.
        spec: Behaviour of the engines; its role and model are overridden by
            the group's role and the service's model.
    """

    service: str
    name: str
    role: resources.Role
    count: Count
    spec: engine_spec.EngineSpec = engine_spec.EngineSpec()


class EndpointGroup(_Model):
    """A group of identical endpoints of a plain service."""

    service: str
    name: str
    count: Count
    answer_ms: Positive = 8.0


class Deployment(_Model):
    """The deployment under test.

    Engines and endpoints are assigned to the failure domains round-robin;
    each group continues where the previous one ended.

    Attributes:
        domains: Names of the failure domains.
        instances_per_domain: Number of entry instances in each domain.
        services: Services with their latency targets.
        engines: Groups of model engines.
        endpoints: Groups of plain endpoints.
        near_ms: One-way delay within a domain.
        far_ms: One-way delay between domains.
        caller_ms: One-way delay between a caller and an instance.
        list_lag_ms: Lag of the live list.
        dead_listed_s: Time until a dead instance is removed from the live
            list and the load balancer.
        instance_settings: Settings of all instances.
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
        name: Name of the experiment.
        description: Purpose of the experiment.
        duration_s: Duration of the load.
        warmup_s: Calls that start within this time of the start of the load
            are left out of the service reports.
        settle_s: Time from the end of the load and of all faults until leaked
            slots are counted.
        load_factor: Factor on the arrival rates at model services.
        deployment: The deployment under test.
        load: Load on each service.
        faults: Scheduled faults.
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
