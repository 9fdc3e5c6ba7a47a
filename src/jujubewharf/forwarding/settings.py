"""The settings of an instance that forwards; unknown fields are errors."""

from __future__ import annotations

import pathlib
from typing import Annotated
from typing import Literal

import pydantic

from jujubewharf.settings import models


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    models.check_ip_number(host)
    if not port.isdigit() or not 0 <= int(port) <= models.HIGHEST_PORT:
        raise ValueError("give IP:PORT")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Positive = Annotated[float, pydantic.Field(gt=0)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class StoreSettings(_Model):
    """The platform's store.

    Attributes:
        address: Where it is.
        part_count: Parts that a group of instances is dealt.
        group_ttl_ms: Silence after which a member's parts are dealt anew.
        leaving_within_ms: No work may go to an endpoint later than this after
            it said that it leaves.
        in_force_within_ms: A change of the configuration must be in force
            this long after it was acknowledged.
    """

    address: Address
    part_count: Annotated[int, pydantic.Field(gt=0)]
    group_ttl_ms: Positive
    leaving_within_ms: Positive = 2_000.0
    in_force_within_ms: Positive = 2_000.0


class RetrySettings(_Model):
    """Retries that all instances together may make.

    Attributes:
        ratio: For each request.
        slack: Besides, in one window.
        window_s: The window.
    """

    ratio: Annotated[float, pydantic.Field(ge=0)]
    slack: Annotated[float, pydantic.Field(ge=0)]
    window_s: Positive


class QuotaSettings(_Model):
    """What accounts may use beyond their quotas, by the operators' word.

    Attributes:
        slack: Units that an account may use besides in some seconds, whatever
            its quota is.
    """

    slack: Annotated[float, pydantic.Field(ge=0)] = 0.0


class ProcessorSettings(_Model):
    """What an instance has of a processor.

    Attributes:
        share: Part of a core.
        speed: How many times as fast as a usual one that core is.
    """

    share: Positive = 1.0
    speed: Positive = 1.0

    @property
    def cores(self) -> float:
        """Usual cores that it is worth."""
        return self.share * self.speed


class ForwardingSettings(_Model):
    """Everything one forwarding instance is told before it starts.

    Attributes:
        instance: Name, unique in the deployment.
        domain: Failure domain of the instance.
        callers: Where callers are listened to.
        readiness: Where the balancer asks.
        metrics: Where metrics are told.
        peers: Where other instances are listened to; ``None`` for an instance
            that neither leads nor follows.
        processor: The processor of the instance.
        store: The platform's store.
        retries: Retries of the fleet.
        quotas: What is tolerated beyond accounts' quotas.
        stop_within_s: Time from SIGTERM until the process is ended.
        log_level: Lowest level written.
    """

    instance: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    domain: str
    callers: Address
    readiness: Address
    metrics: Address | None = None
    peers: Address | None = None
    processor: ProcessorSettings = ProcessorSettings()
    store: StoreSettings
    retries: RetrySettings
    quotas: QuotaSettings = QuotaSettings()
    stop_within_s: Positive
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    def telemetry(self) -> models.TelemetrySettings:
        """The metrics address as the metrics' own settings name it."""
        if self.metrics is None:
            return models.TelemetrySettings(log_level=self.log_level)
        host, port = split_address(self.metrics)
        return models.TelemetrySettings(
            log_level=self.log_level, metrics_host=host, metrics_port=port
        )


def split_address(address: str) -> tuple[str, int]:
    """``IP:PORT`` as host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read(path: pathlib.Path) -> ForwardingSettings:
    """Reads a settings file.

    Raises:
        ValueError: It is no JSON or doesn't fit; all errors are named.
        OSError: It can't be read.
    """
    return ForwardingSettings.model_validate_json(path.read_bytes())
