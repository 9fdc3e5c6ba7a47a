"""Data classes of the resources that operators declare.

``resource_codec`` validates input and converts it to these classes.
"""

from __future__ import annotations

import dataclasses
import enum


class Kind(enum.Enum):
    """Kind of a resource."""

    SERVICE = "service"
    ENDPOINT = "endpoint"
    MODEL = "model"
    ACCOUNT = "account"
    OPERATOR = "operator"


class ServiceKind(enum.Enum):
    """Type of the endpoints of a service."""

    MODEL = "model"
    PLAIN = "plain"


class Role(enum.Enum):
    """Work that an endpoint does for its service."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"
    PLAIN = "plain"


class OperatorRole(enum.Enum):
    """Permission level of an operator."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A model or plain service.

    Attributes:
        name: Unique name; also the path prefix of a plain service.
        kind: Model or plain.
        model: Name of the served model; empty for plain services.
        model_version: Wanted version; empty for whichever an engine has.
        repeatable: Whether a request without an explicit mark is idempotent
            and may be sent twice.
        first_answer_target_ms: Target time in milliseconds from arrival to the
            first token or byte.
        completion_target_ms: Target time in milliseconds from arrival to the
            last token or byte.
        deadline_ms: Time in milliseconds after which a request is aborted.
        waste_weight: Weight from 0 (only goodput counts) to 1 (only wasted
            prefill counts).
        max_in_flight: Maximum number of running requests per instance.
        max_queued: Maximum number of waiting requests per instance.
        retry_ratio: Average number of retries allowed per request.
    """

    name: str
    kind: ServiceKind
    model: str = ""
    model_version: str = ""
    repeatable: bool = True
    first_answer_target_ms: float = 2_000.0
    completion_target_ms: float = 30_000.0
    deadline_ms: float = 60_000.0
    waste_weight: float = 0.5
    max_in_flight: int = 512
    max_queued: int = 256
    retry_ratio: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Capabilities:
    """Optional features of an engine."""

    kv_export: bool = True
    kv_import: bool = True
    cancel: bool = True
    resume: bool = True
    priorities: bool = True
    adapters: bool = True
    checks_fencing: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An engine, or an endpoint of a plain service.

    Attributes:
        name: Unique name.
        service: Service of the endpoint.
        address: ``IP:PORT``.
        domain: Failure domain of the endpoint.
        role: Work that the endpoint does.
        model: Model that should be loaded.
        model_version: Version that should be loaded.
        adapters: Adapters that should be loaded.
        slots: Number of requests that fit into its decode memory.
        link_bytes_per_s: Bandwidth to other engines in bytes per second.
        drained: Whether the endpoint receives no new requests.
        capabilities: Optional features of the engine.
    """

    name: str
    service: str
    address: str
    domain: str
    role: Role
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    slots: int = 20
    link_bytes_per_s: float = 5e9
    drained: bool = False
    capabilities: Capabilities = Capabilities()

    @property
    def can_prefill(self) -> bool:
        """Whether the endpoint accepts prefill work."""
        return self.role in (Role.PREFILL, Role.BOTH)

    @property
    def can_decode(self) -> bool:
        """Whether the endpoint accepts decode work."""
        return self.role in (Role.DECODE, Role.BOTH)


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model and its versions.

    Attributes:
        name: Unique name, as used in requests.
        versions: Known versions, oldest first.
        kv_bytes_per_token: KV cache size of a prompt token in bytes.
        weight_bytes: Size of the weights in the weight store in bytes.
    """

    name: str
    versions: tuple[str, ...] = ()
    kv_bytes_per_token: int = 160_000
    weight_bytes: int = 16_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Unique name.
        token_sha256: Hex SHA-256 of its bearer token.
        services: Services that it may call; empty allows all.
        rate_per_s: Maximum requests per second and instance.
        max_in_flight: Maximum number of running requests per instance.
        priority: Highest priority that it may request; 0 is the lowest.
    """

    name: str
    token_sha256: str
    services: tuple[str, ...] = ()
    rate_per_s: float = 1_000.0
    max_in_flight: int = 1_000
    priority: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator identity.

    Attributes:
        name: Unique name, recorded in the history with each change.
        token_sha256: Hex SHA-256 of its bearer token.
        role: Permission level.
        services: Services that it may change; empty allows all.
    """

    name: str
    token_sha256: str
    role: OperatorRole = OperatorRole.VIEWER
    services: tuple[str, ...] = ()


Resource = Service | Endpoint | Model | Account | Operator

KIND_OF: dict[type, Kind] = {
    Service: Kind.SERVICE,
    Endpoint: Kind.ENDPOINT,
    Model: Kind.MODEL,
    Account: Kind.ACCOUNT,
    Operator: Kind.OPERATOR,
}
