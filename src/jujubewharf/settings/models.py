"""The settings file's models; unknown fields are errors."""

from __future__ import annotations

import ipaddress
import pathlib
from typing import Annotated
from typing import Literal

import pydantic
import yarl

HIGHEST_PORT = 65_535


def check_ip_number(value: str) -> str:
    """Refuses what is no IP number."""
    # A name would need a resolver, whose outage or stale answer would move
    # traffic; the fleet is addressed by number only.
    ipaddress.ip_address(value)
    return value


def _check_ip_url(value: str) -> str:
    url = yarl.URL(value)
    if url.scheme not in ("http", "https") or url.host is None:
        raise ValueError("give http://IP:PORT")
    check_ip_number(url.host)
    return value


IpNumber = Annotated[str, pydantic.AfterValidator(check_ip_number)]
IpUrl = Annotated[str, pydantic.AfterValidator(_check_ip_url)]
Port = Annotated[int, pydantic.Field(ge=0, le=HIGHEST_PORT)]
PositiveMs = Annotated[float, pydantic.Field(gt=0)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class CallerSettings(_Model):
    """The caller edge.

    Attributes:
        host: IP number to listen on.
        port: TCP port; 0 takes a free one.
        max_body_bytes: Largest accepted request body of a model request.
        max_plain_body_bytes: Largest accepted request body of a plain one.
        body_timeout_ms: Longest wait for a model request's body, and for
            each part of a plain one's.
    """

    host: IpNumber = "127.0.0.1"
    port: Port = 0
    max_body_bytes: Annotated[int, pydantic.Field(gt=0)] = 2_000_000
    max_plain_body_bytes: Annotated[int, pydantic.Field(gt=0)] = 64_000_000
    body_timeout_ms: PositiveMs = 10_000


class OperatorSettings(_Model):
    """The operator RPC.

    Attributes:
        host: IP number to listen on.
        port: TCP port; 0 takes a free one.
        bootstrap_token_sha256: Hex SHA-256 of the token of a built-in admin,
            for the first change on an empty log. Empty switches it off.
        max_changes_per_s: Changes that one operator may ask this instance
            for, on average; a burst of ten seconds' worth passes.
        max_reads_per_s: The same for calls that only ask.
        max_watches: Watches open at this instance, of all operators.
    """

    host: IpNumber = "127.0.0.1"
    port: Port = 0
    bootstrap_token_sha256: str = ""
    max_changes_per_s: Annotated[float, pydantic.Field(gt=0)] = 20.0
    max_reads_per_s: Annotated[float, pydantic.Field(gt=0)] = 200.0
    max_watches: Annotated[int, pydantic.Field(ge=0)] = 64


class PeerSettings(_Model):
    """Links to other entry instances.

    Attributes:
        host: IP number to listen on, which others dial as well.
        port: TCP port; 0 takes a free one.
        tls_certificate_file: PEM certificate; all three or none are given.
        tls_key_file: PEM key.
        tls_authority_file: PEM authority that signs every instance.
        tls_poll_ms: Time between two looks whether the TLS files changed.
        heartbeat_ms: Time between heartbeats.
        suspect_after_ms: Silence after which a peer is suspected.
    """

    host: IpNumber = "127.0.0.1"
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
            raise ValueError("others dial this number; give the instance's own")
        return host

    @pydantic.model_validator(mode="after")
    def _tls_is_whole(self) -> PeerSettings:
        files = (
            self.tls_certificate_file,
            self.tls_key_file,
            self.tls_authority_file,
        )
        if any(files) and not all(files):
            raise ValueError("give all three TLS files or none")
        return self


class PlatformSettings(_Model):
    """Addresses of the platform's services, as ``http://IP:PORT``.

    Attributes:
        log_url: The log.
        live_list_url: The live list.
        weight_store_url: The weight store.
        live_list_poll_ms: Time between two readings of the list.
        log_wait_ms: How long one read of the log waits for news.
        log_retention_ms: How long the log keeps records at least;
            checkpoints are written by it.
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
        log_level: Lowest level written.
        metrics_host: IP number that the Prometheus endpoint listens on.
        metrics_port: Port of the Prometheus endpoint; ``None`` switches it
            off.
        otlp_url: OTLP/HTTP endpoint; ``None`` switches it off.
        otlp_interval_ms: Time between OTLP exports.
    """

    log_level: Literal["debug", "info", "warning", "error"] = "info"
    metrics_host: IpNumber = "127.0.0.1"
    metrics_port: Port | None = None
    otlp_url: IpUrl | None = None
    otlp_interval_ms: PositiveMs = 10_000


class EntrySettings(_Model):
    """Everything one entry instance is told before it starts.

    Attributes:
        instance: Name, unique in the deployment; a replacement may reuse it.
        region: Region of the instance.
        domain: Failure domain of the instance.
        drain_ms: Upper bound of a graceful shutdown.
        balancer_grace_ms: How long a shutdown goes on taking requests, until
            the balancer has noticed.
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
