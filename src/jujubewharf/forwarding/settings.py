"""Settings of a forwarding instance; unknown fields are errors."""

from __future__ import annotations

import pathlib
from typing import Annotated
from typing import Literal

import pydantic

from jujubewharf import clock as clocks
from jujubewharf.admission import classes
from jujubewharf.admission import order
from jujubewharf.settings import field_errors
from jujubewharf.settings import models

_MAX_WEIGHTS = 10_000
_MAX_WEIGHT = 1_000.0


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    models.check_ip_address(host)
    if not port.isdigit() or not 0 <= int(port) <= models.MAX_PORT:
        raise ValueError("address must have the form IP:PORT")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Positive = Annotated[float, pydantic.Field(gt=0)]
Weight = Annotated[
    float, pydantic.Field(gt=0, le=_MAX_WEIGHT, allow_inf_nan=False)
]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class StoreSettings(_Model):
    """The platform's store.

    Attributes:
        address: Address of the store.
        part_count: Number of partitions that are distributed among a group.
        group_ttl_ms: Time without a heartbeat after which a member's partitions
            are reassigned.
        leaving_within_ms: Time within which an endpoint must get no more work
            after it has announced that it drains.
        in_force_within_ms: Time within which an acknowledged change of the
            configuration must be in force.
    """

    address: Address
    part_count: Annotated[int, pydantic.Field(gt=0)]
    group_ttl_ms: Positive
    leaving_within_ms: Positive = 2_000.0
    in_force_within_ms: Positive = 2_000.0


class RetrySettings(_Model):
    """Retry budget of all instances together.

    Attributes:
        ratio: Retries per request.
        slack: Additional retries per window.
        window_s: Length of the window in seconds.
    """

    ratio: Annotated[float, pydantic.Field(ge=0)]
    slack: Annotated[float, pydantic.Field(ge=0)]
    window_s: Positive

    @property
    def window_ms(self) -> float:
        """Length of the window in milliseconds."""
        return self.window_s * clocks.MS_PER_S


class QuotaSettings(_Model):
    """Tolerated use beyond account quotas.

    Attributes:
        slack: Additional units that an account may use within a few seconds.
    """

    slack: Annotated[float, pydantic.Field(ge=0)] = 0.0


class AdmissionSettings(_Model):
    """Order of waiting requests by priority class and client account.

    Attributes:
        account_weights: Weights of accounts by name; others have weight 1. An
            account needn't be configured yet.
        starving_share: A class gets single turns before a higher one while it
            is served less often than this share of how often the higher one is.
        is_enabled: Whether classes and accounts are told apart.
    """

    account_weights: Annotated[
        dict[str, Weight], pydantic.Field(max_length=_MAX_WEIGHTS)
    ] = {}
    starving_share: Annotated[float, pydantic.Field(gt=0, le=1)] = (
        classes.DEFAULT_STARVING_SHARE
    )
    is_enabled: bool = True

    @property
    def policy(self) -> order.AdmissionPolicy:
        """The settings as the wait queues use them."""
        return order.AdmissionPolicy(
            self.account_weights, self.starving_share, self.is_enabled
        )


class PlainCallSettings(_Model):
    """Plain calls.

    Attributes:
        queue: Whether calls wait in the router, where endpoints report their
            load; otherwise each instance chooses by its own calls.
    """

    queue: bool = True


class ProcessorSettings(_Model):
    """Processor capacity of an instance.

    Attributes:
        share: Share of a core.
        speed: Speed of the core relative to a reference core.
    """

    share: Positive = 1.0
    speed: Positive = 1.0

    @property
    def cores(self) -> float:
        """Capacity in reference cores."""
        return self.share * self.speed


class ForwardingSettings(_Model):
    """Settings of one forwarding instance.

    Attributes:
        instance: Name, unique in the deployment.
        domain: Failure domain of the instance.
        callers: Listening address for callers.
        readiness: Listening address for the load balancer's probes.
        metrics: Listening address for metrics.
        peers: Listening address for other instances; ``None`` for an instance
            that neither leads nor follows.
        is_first_start: Whether the whole deployment starts for the first time,
            so that no stream can have begun before.
        processor: Processor capacity of the instance.
        memory_mb: Memory beyond which the process is killed, in MB; ``None`` if
            it isn't known, then a default bounds what is held for callers.
        max_descriptors: Descriptors that the process may open, if that is fewer
            than the system lets it.
        store: The platform's store.
        retries: Retry budget of the fleet.
        quotas: Tolerated use beyond account quotas.
        admission: Order of waiting requests.
        plain_calls: Plain calls.
        stop_within_s: Time from SIGTERM to SIGKILL in seconds.
        log_level: Minimum level of log lines.
    """

    instance: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    domain: str
    callers: Address
    readiness: Address
    metrics: Address | None = None
    peers: Address | None = None
    is_first_start: bool = False
    processor: ProcessorSettings = ProcessorSettings()
    memory_mb: Positive | None = None
    max_descriptors: Annotated[int, pydantic.Field(gt=0)] | None = None
    store: StoreSettings
    retries: RetrySettings
    quotas: QuotaSettings = QuotaSettings()
    admission: AdmissionSettings = AdmissionSettings()
    plain_calls: PlainCallSettings = PlainCallSettings()
    stop_within_s: Positive
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    def telemetry(self) -> models.TelemetrySettings:
        """Returns the settings of the metrics exporter."""
        if self.metrics is None:
            return models.TelemetrySettings(log_level=self.log_level)
        host, port = split_address(self.metrics)
        return models.TelemetrySettings(
            log_level=self.log_level, metrics_host=host, metrics_port=port
        )


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read(path: pathlib.Path) -> ForwardingSettings:
    """Reads a settings file.

    Raises:
        ValueError: The file is not valid; there is a line for each error, with
            the field's path and what it accepts.
        OSError: The file cannot be read.
    """
    try:
        return ForwardingSettings.model_validate_json(path.read_bytes())
    except pydantic.ValidationError as error:
        lines = field_errors.lines(ForwardingSettings, error)
        raise ValueError("\n".join(lines)) from None
