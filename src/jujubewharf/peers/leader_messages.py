"""Messages between the leader and its followers; numbers 70 to 89.

Times are durations rather than timestamps, because clocks differ between
instances.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import registration
from jujubewharf.forwarding import routes
from jujubewharf.peers import messages

# Age in ms that stands for a table that was never read; older than any limit.
NEVER_READ_AGE_MS = 2**31


@messages.message(70)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaderHeartbeat(messages.Message):
    """Heartbeat of the leader, with its read offsets in the store's tables.

    Attributes:
        configuration_end: End offset up to which the leader has read the
            configuration table.
        configuration_age_ms: Time since that offset was last confirmed, in
            ms.
        endpoints_end: End offset up to which it has read the endpoint table.
        endpoints_age_ms: Time since that offset was last confirmed, in ms.
        instances: Number of instances that share the fleet's quotas.
        epoch: Epoch of the store that the leader reads; ``None`` from an older
            build, which can't tell whether its reads missed a restore.
    """

    configuration_end: int
    configuration_age_ms: int
    endpoints_end: int
    endpoints_age_ms: int
    instances: int
    epoch: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Record of one key of the endpoint table.

    Attributes:
        key: Key of the record.
        offset: Offset of the record in the table's log.
        endpoint: Registration of the endpoint; ``None`` if it was removed.
        is_unreadable: Whether the record could not be decoded.
    """

    key: str
    offset: int
    endpoint: registration.Registration | None
    is_unreadable: bool = False


@messages.message(71)
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointUpdate(messages.Message):
    """Update of changed endpoints.

    Attributes:
        records: Changed records; in the first update on a link, those that
            have changed since the follower last read the table.
        end: End offset up to which the leader has read the table.
        keys_digest: Digest of the keys that the table has, from a leader that
            may not know all removals since the follower last read the table;
            ``None`` from one that does, and from an older build.
    """

    records: tuple[EndpointRecord, ...]
    end: int
    keys_digest: int | None = None


@messages.message(87)
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate(messages.Message):
    """Update with the newest configuration.

    A follower sends one to a leader that has an older version.

    Attributes:
        key: Key of the configuration's record in the table.
        offset: Position of the record in the table's log.
        end: End position up to which the leader has read the table.
        configuration: The configuration; ``None`` if it is too large to send
            on all links.
        packed: The compressed form of a configuration that is too large, see
            ``leadership.packing``; ``None`` if that is too large as well, in
            which case followers read the table themselves.
        version: Version of the configuration, also if it is not sent; ``None``
            from an older build.
    """

    key: str
    offset: int
    end: int
    configuration: routes.RoutingConfiguration | None
    packed: bytes | None = None
    version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineBackoff:
    """Backoff of one instance from an engine, in ms."""

    engine: str
    for_ms: float


@messages.message(72)
@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest(messages.Message):
    """Requests placement on a decode engine; may be held in the wait queue.

    Attributes:
        number: Number of the placement, assigned by the requesting instance.
        request_id: The caller's request id, for logs.
        domain: Failure domain of the requesting instance.
        route: Route of the request.
        service: Service that was chosen from the route's.
        waited_ms: Time since the request arrived, in ms.
        left_ms: Time until the request's deadline, in ms.
        caller_timeout_ms: Maximum time that the caller waits after arrival, in
            ms; ``None`` if it set none.
        may_have_run: Whether an engine may have started the request.
        lost_by: Engines whose response to the request was lost.
        prompt_tokens: Number of prompt tokens; ``None`` if unknown.
        output_tokens: Maximum number of output tokens.
        expected_tokens: Number of output tokens that the caller expects;
            ``None`` if it gave none.
        account: Client account; ``None`` if there is none.
        is_counted: Whether the request has already been charged to the
            account's quota.
        backoffs: Engines from which the requesting instance backs off.
        version: Software version that the engine must have, if the request
            resumes a stream; ``None`` otherwise, and from an older build.
    """

    number: int
    request_id: str
    domain: str
    route: str
    service: str
    waited_ms: float
    left_ms: float
    caller_timeout_ms: float | None = None
    may_have_run: bool = False
    lost_by: tuple[str, ...] = ()
    prompt_tokens: int | None = None
    output_tokens: int = 0
    expected_tokens: int | None = None
    account: str | None = None
    is_counted: bool = False
    backoffs: tuple[EngineBackoff, ...] = ()
    version: str | None = None


@messages.message(73)
@dataclasses.dataclass(frozen=True, slots=True)
class PlacementGranted(messages.Message):
    """Reply to ``PlacementRequest``: memory is reserved on a decode engine.

    Attributes:
        engine: Name of the decode engine.
        reservation_id: Id of the reservation at the engine.
        tokens: Reserved memory, in tokens.
        memory_share: Reserved share of the engine's memory.
        prefill_engines: Prefill engines for the prompt, in order of preference.
        has_permit: Whether the engine's rate limit admits the request.
        ahead: Requests that preceded it in the wait queue, for logs; ``None``
            from a leader that doesn't tell.
    """

    engine: str
    reservation_id: str
    tokens: int
    memory_share: float
    prefill_engines: tuple[str, ...] = ()
    has_permit: bool = False
    ahead: int | None = None


@messages.message(74)
@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRejected(messages.Message):
    """Reply to ``PlacementRequest``: the request was rejected.

    Attributes:
        retry_after_ms: Retry-after for the caller, in ms.
        is_over_quota: Whether the account has exhausted its quota; else no
            memory became free within the maximum wait.
    """

    retry_after_ms: float
    is_over_quota: bool = False


@messages.message(75)
@dataclasses.dataclass(frozen=True, slots=True)
class PlacementReleased(messages.Message):
    """Releases a placement, or cancels a waiting one.

    Attributes:
        number: Number of the placement.
        is_complete: Whether the response was completed.
        is_reservation_used: Whether the reservation was used at the engine.
    """

    number: int
    is_complete: bool
    is_reservation_used: bool


@messages.message(76)
@dataclasses.dataclass(frozen=True, slots=True)
class PrefillCompleted(messages.Message):
    """Reports a completed prefill.

    Attributes:
        engine: Name of the prefill engine.
        took_ms: Duration of the prefill, in ms.
        tokens: Number of prompt tokens.
        slowdown: Slowdown that the engine reported with its answer; 1.0 is
            usual.
    """

    engine: str
    took_ms: float
    tokens: int
    slowdown: float = 1.0


@messages.message(77)
@dataclasses.dataclass(frozen=True, slots=True)
class FirstEventReceived(messages.Message):
    """Reports the first event of a response.

    Attributes:
        took_ms: Time from the reservation to the event, in ms.
    """

    took_ms: float


@messages.message(78)
@dataclasses.dataclass(frozen=True, slots=True)
class ResponseProjected(messages.Message):
    """Reports how long a running response is projected to hold memory.

    Attributes:
        projected_ms: Projected duration, in ms.
        memory_share: Share of the engine's memory that it holds.
        engine: Name of the engine; ``None`` from an older build.
        event_ms: Mean time between two events, in ms; ``None`` from an older
            build.
    """

    projected_ms: float
    memory_share: float
    engine: str | None = None
    event_ms: float | None = None


@messages.message(79)
@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLengthMeasured(messages.Message):
    """Reports the estimated and the actual length of a response, in tokens."""

    expected_tokens: int
    tokens: int


@messages.message(80)
@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailed(messages.Message):
    """Reports a failed call to an engine.

    Attributes:
        engine: Name of the engine.
        fault: A value of ``engines.client.EngineFault``.
    """

    engine: str
    fault: str


@messages.message(81)
@dataclasses.dataclass(frozen=True, slots=True)
class EngineRoleChanging(messages.Message):
    """Reports that an engine is changing its role."""

    engine: str


@messages.message(82)
@dataclasses.dataclass(frozen=True, slots=True)
class PrefillRefused(messages.Message):
    """Reports that an engine refused a prefill."""

    engine: str


@messages.message(88)
@dataclasses.dataclass(frozen=True, slots=True)
class FollowerHello(messages.Message):
    """First message of a follower on a link to the leader.

    Attributes:
        endpoints_end: End offset up to which the follower has read the
            endpoint table; 0 if it has not read the table.
    """

    endpoints_end: int


@messages.message(86)
@dataclasses.dataclass(frozen=True, slots=True)
class CostsObserved(messages.Message):
    """Costs that a follower observed before it followed this leader.

    Attributes:
        prefills: Number of prefills observed.
        prefill_ms: Time that one prompt keeps a prefill engine busy, in ms.
        responses: Number of responses observed.
        decode_ms: Time that one response would hold the whole memory of a
            decode engine, in ms.
    """

    prefills: int
    prefill_ms: float
    responses: int
    decode_ms: float


@messages.message(84)
@dataclasses.dataclass(frozen=True, slots=True)
class LivenessRequest(messages.Message):
    """Checks that the leader is alive while its reply is pending."""


@messages.message(85)
@dataclasses.dataclass(frozen=True, slots=True)
class LivenessReply(messages.Message):
    """Reply to ``LivenessRequest``."""


@messages.message(89)
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequest(messages.Message):
    """Requests the full configuration; answered by ``ConfigurationUpdate``."""


@messages.message(83)
@dataclasses.dataclass(frozen=True, slots=True)
class PrefillEnded(messages.Message):
    """Reports that the prefill of a placement is done or was cancelled.

    Attributes:
        number: Number of the placement.
    """

    number: int
