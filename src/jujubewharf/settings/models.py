"""Pydantic models of the settings file; unknown fields are errors."""

from __future__ import annotations

import ipaddress
import pathlib
from typing import Annotated
from typing import Literal

import pydantic
import yarl

MAX_PORT = 65_535


def check_ip_address(value: str) -> str:
    """Validates an IP address; raises ``ValueError`` for host names.

    Host names are rejected because a failed or stale name lookup would
    redirect traffic.
    """
    ipaddress.ip_address(value)
    return value


def _check_ip_url(value: str) -> str:
    url = yarl.URL(value)
    if url.scheme not in ("http", "https") or url.host is None:
        raise ValueError("expected http://IP:PORT or https://IP:PORT")
    check_ip_address(url.host)
    return value


IpAddress = Annotated[str, pydantic.AfterValidator(check_ip_address)]
IpUrl = Annotated[str, pydantic.AfterValidator(_check_ip_url)]
Port = Annotated[int, pydantic.Field(ge=0, le=MAX_PORT)]
PositiveMs = Annotated[float, pydantic.Field(gt=0)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class CallerSettings(_Model):
    """HTTP server for callers.

    Attributes:
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        max_body_bytes: Maximum body size of a model request.
        max_plain_body_bytes: Maximum body size of a plain request.
        body_timeout_ms: Timeout for the whole body of a model request, and
            for each chunk of a plain request's body.
    """

    host: IpAddress = "127.0.0.1"
    port: Port = 0
    max_body_bytes: Annotated[int, pydantic.Field(gt=0)] = 2_000_000
    max_plain_body_bytes: Annotated[int, pydantic.Field(gt=0)] = 64_000_000
    body_timeout_ms: PositiveMs = 10_000


class OperatorSettings(_Model):
    """gRPC server for operators.

    Attributes:
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        bootstrap_token_sha256: Hex SHA-256 of the token of a built-in admin,
            for the first change on an empty log. Empty disables it.
        max_changes_per_s: Average rate of changes per operator at this
            instance; a burst may use the changes of ten seconds.
        max_reads_per_s: The same for read-only calls.
        max_watches: Maximum number of open watches at this instance, over all
            operators.
    """

    host: IpAddress = "127.0.0.1"
    port: Port = 0
    bootstrap_token_sha256: str = ""
    max_changes_per_s: Annotated[float, pydantic.Field(gt=0)] = 20.0
    max_reads_per_s: Annotated[float, pydantic.Field(gt=0)] = 200.0
    max_watches: Annotated[int, pydantic.Field(ge=0)] = 64


class PeerSettings(_Model):
    """Connections to other entry instances.

    Attributes:
        host: IP address to listen on; other instances connect to it.
        port: TCP port; 0 selects a free one.
        tls_certificate_file: PEM certificate. The three TLS files must be
            given together or not at all.
        tls_key_file: PEM private key.
        tls_authority_file: PEM certificate of the authority that signs the
            certificates of all instances.
        tls_poll_ms: Interval of checks for changed TLS files.
        heartbeat_ms: Interval of heartbeats.
        suspect_after_ms: Time without a heartbeat after which a peer is
            suspected to have failed.
    """

    host: IpAddress = "127.0.0.1"
    port: Port = 0
    tls_certificate_file: pathlib.Path | None = None
    tls_key_file: pathlib.Path | None = None
    tls_authority_file: pathlib.Path | None = None
    tls_poll_ms: PositiveMs = 10_000
    heartbeat_ms: PositiveMs = 1_000
    suspect_after_ms: PositiveMs = 3_500

    @pydantic.field_validator("host")
    @classmethod
    def _host_can_be_dialled(cls, host: str) -> str:
        if ipaddress.ip_address(host).is_unspecified:
            raise ValueError("peers connect here; must not be unspecified")
        return host

    @pydantic.model_validator(mode="after")
    def _tls_is_whole(self) -> PeerSettings:
        files = (
            self.tls_certificate_file,
            self.tls_key_file,
            self.tls_authority_file,
        )
        if any(files) and not all(files):
            raise ValueError("all three TLS files must be set, or none")
        return self


class PlatformSettings(_Model):
    """Addresses of the platform's services, as ``http://IP:PORT``.

    Attributes:
        log_url: Address of the log.
        live_list_url: Address of the live list.
        weight_store_url: Address of the weight store.
        live_list_poll_ms: Interval between fetches of the live list.
        log_wait_ms: Long-poll timeout of a log read.
        log_retention_ms: Minimum retention of log records, from which the
            checkpoint interval is derived.
    """

    log_url: IpUrl
    live_list_url: IpUrl
    weight_store_url: IpUrl
    live_list_poll_ms: PositiveMs = 1_000
    log_wait_ms: PositiveMs = 2_000
    log_retention_ms: PositiveMs = 86_400_000


class TelemetrySettings(_Model):
    """Logs and metrics.

    Attributes:
        log_level: Lowest level that is logged.
        metrics_host: IP address that the Prometheus endpoint listens on.
        metrics_port: Port of the Prometheus endpoint; ``None`` disables it.
        otlp_url: OTLP/HTTP endpoint; ``None`` disables the export.
        otlp_interval_ms: Interval of OTLP exports.
    """

    log_level: Literal["debug", "info", "warning", "error"] = "info"
    metrics_host: IpAddress = "127.0.0.1"
    metrics_port: Port | None = None
    otlp_url: IpUrl | None = None
    otlp_interval_ms: PositiveMs = 10_000


class EntrySettings(_Model):
    """All settings of an entry instance.

    Attributes:
        instance: Name, unique in the deployment; a replacement may reuse it.
        region: Region of the instance.
        domain: Failure domain of the instance.
        platform: Addresses of the platform's services.
        callers: HTTP server for callers.
        operators: gRPC server for operators.
        peers: Connections to other entry instances.
        telemetry: Logs and metrics.
        drain_ms: Maximum duration of a graceful shutdown.
        balancer_grace_ms: Time for which a shutdown still accepts requests,
            until the load balancer has noticed.
    """

    instance: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    region: str
    domain: str
    platform: PlatformSettings
    callers: CallerSettings = CallerSettings()
    operators: OperatorSettings = OperatorSettings()
    peers: PeerSettings = PeerSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    drain_ms: PositiveMs = 120_000
    balancer_grace_ms: PositiveMs = 3_000
