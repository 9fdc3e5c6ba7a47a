"""Data classes of the replies of the operator interface.

Each class has the same fields as the message of the same name in
``jujubewharf.proto``; ``messages`` converts between them.
"""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf import errors
from jujubewharf.configuration import resources


class Effect(enum.Enum):
    """Effect of a change on a resource."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"


class OperationState(enum.Enum):
    """Outcome of an operation.

    ``NOT_SEEN`` means that the answering instance has not read the operation
    from the log; a pending append may still arrive.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNSAFE = "unsafe"
    NOT_SEEN = "not_seen"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One invalid field of a resource.

    Attributes:
        path: Path of the field.
        message: Description of the problem.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}" if self.path else self.message


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorDetail:
    """Description of a failed call.

    Attributes:
        kind: Value of the error kind; a newer instance may send a kind that
            this version does not know.
        ran: Whether the call took effect.
        retryable: Whether a retry of the same call may succeed.
        message: General description of the error kind.
        detail: Description of this occurrence.
        retry_after_ms: Delay before a retry in milliseconds, if known.
        operation_id: ID of the requested operation, for a later lookup.
        generation: Current generation, if the error is about it; else 0.
        violations: Invalid fields of the resource.
    """

    kind: str
    ran: errors.Ran
    retryable: bool = False
    message: str = ""
    detail: str = ""
    retry_after_ms: float | None = None
    operation_id: str = ""
    generation: int = 0
    violations: tuple[Violation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResource:
    """A resource of the current configuration.

    Attributes:
        resource: The resource.
        generation: Generation of the resource; increases with each change.
        applied_offset: Log offset up to which records were applied.
    """

    resource: resources.Resource
    generation: int
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeDone:
    """A change that was applied at the answering instance."""

    operation_id: str
    generation: int
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FieldDifference:
    """One field that differs.

    Attributes:
        path: Path of the field.
        before: Old value as JSON; empty if it was not set.
        after: New value as JSON; empty if it will not be set.
    """

    path: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A resource that differs from its desired state.

    Attributes:
        kind: Resource kind.
        name: Resource name.
        effect: Effect of an apply on the resource.
        generation: Current generation; 0 if the resource does not exist.
        fields: Fields that differ.
    """

    kind: resources.Kind
    name: str
    effect: Effect
    generation: int
    fields: tuple[FieldDifference, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedDifference:
    """Outcome of one difference of an apply.

    Attributes:
        difference: Difference that was applied.
        operation_id: ID of the operation; empty in a dry run.
        generation: Generation after the change; 0 in a dry run and on
            failure.
        error: Error of the change, if it failed.
    """

    difference: Difference
    operation_id: str = ""
    generation: int = 0
    error: ErrorDetail | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyReply:
    """Outcome of an apply.

    Attributes:
        operation_id: ID of the apply; the IDs of its items are derived from
            it.
        items: One item per resource that differs.
        applied_offset: Log offset up to which records were applied.
    """

    operation_id: str
    items: tuple[AppliedDifference, ...] = ()
    applied_offset: int = 0

    @property
    def failed(self) -> tuple[AppliedDifference, ...]:
        """Items whose change was not applied."""
        return tuple(item for item in self.items if item.error is not None)


@dataclasses.dataclass(frozen=True, slots=True)
class ListReply:
    """A page of resources; the token is empty on the last page."""

    items: tuple[StoredResource, ...] = ()
    next_page_token: str = ""
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """One event of a watch.

    Attributes:
        effect: Effect of the change; ``None`` for the end of the snapshot.
        kind: Resource kind.
        name: Resource name.
        generation: Generation after the change.
        resource: Resource after the change; ``None`` on a delete.
        is_snapshot_end: Whether the events so far are the complete snapshot.
        applied_offset: Log offset up to which records were applied.
    """

    effect: Effect | None = None
    kind: resources.Kind | None = None
    name: str = ""
    generation: int = 0
    resource: resources.Resource | None = None
    is_snapshot_end: bool = False
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One change of a resource, accepted or rejected.

    Attributes:
        operation_id: ID of the operation.
        actor: Operator who requested the change.
        effect: Effect of the change, or the effect it would have had.
        state: Whether the change was accepted, or why it was rejected.
        generation: Generation after the change, or the one it would have
            had.
        wall_ms: Time of the request, in milliseconds since the Unix epoch.
        resource: Resource after the change; ``None`` on a delete.
        detail: Reason for the rejection.
    """

    operation_id: str
    actor: str
    effect: Effect
    state: OperationState
    generation: int
    wall_ms: float
    resource: resources.Resource | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryReply:
    """A page of changes, newest first; the token is empty on the last."""

    entries: tuple[HistoryEntry, ...] = ()
    next_page_token: str = ""
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Outcome of an operation.

    Attributes:
        operation_id: ID of the operation.
        state: Whether the operation was accepted, or why it was rejected.
        generation: Generation after the change; 0 if it was rejected.
        detail: Reason for the rejection.
        applied_offset: Log offset up to which records were applied.
    """

    operation_id: str
    state: OperationState
    generation: int = 0
    detail: str = ""
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonCount:
    """Number of events with the same reason."""

    reason: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A fleet member as seen by the answering instance."""

    instance: str
    address: str
    domain: str
    is_leaving: bool = False
    is_suspected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status of the answering instance.

    Attributes:
        instance: Name of the instance.
        region: Region of the instance.
        domain: Failure domain of the instance.
        applied_offset: Log offset up to which records were applied.
        is_caught_up: Whether the instance has reached the end of the log
            since its start.
        requests_in_flight: Number of requests in flight.
        refusals: Refusals since the start, by reason.
        retries: Retries since the start, by reason.
        members: Fleet members as seen by the instance.
        resources: Number of resources by kind.
        is_frozen: Whether the next record requires a newer version.
        is_log_behind: Whether the log ends before the applied offset.
        log_silence_ms: Time since the last answer of the log in
            milliseconds; ``None`` before the first answer.
    """

    instance: str
    region: str
    domain: str
    applied_offset: int = 0
    is_caught_up: bool = False
    requests_in_flight: int = 0
    refusals: tuple[ReasonCount, ...] = ()
    retries: tuple[ReasonCount, ...] = ()
    members: tuple[Member, ...] = ()
    resources: tuple[ReasonCount, ...] = ()
    is_frozen: bool = False
    is_log_behind: bool = False
    log_silence_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine as seen by the answering instance.

    Attributes:
        name: Endpoint name.
        service: Service of the engine.
        domain: Failure domain of the engine.
        role: Reported role, or the configured role if none was reported.
        model: Reported model.
        model_version: Reported model version.
        takes_work: Whether new requests may be sent to the engine.
        is_drained: Whether the engine is drained.
        is_suspect: Whether the last call could not reach the engine.
        slots_total: Decode slots of the engine.
        slots_used: Decode slots in use.
        own_slots: Decode slots used by requests of the answering instance.
        prefill_queued_tokens: Prompt tokens waiting for prefill.
        decode_queued: Decode requests waiting for a slot.
        report_age_ms: Age of the last report in milliseconds; ``None``
            before the first report.
    """

    name: str
    service: str
    domain: str
    role: str = ""
    model: str = ""
    model_version: str = ""
    takes_work: bool = False
    is_drained: bool = False
    is_suspect: bool = False
    slots_total: int = 0
    slots_used: int = 0
    own_slots: int = 0
    prefill_queued_tokens: int = 0
    decode_queued: int = 0
    report_age_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListEnginesReply:
    """Engines sorted by name."""

    engines: tuple[EngineStatus, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of an operator.

    Attributes:
        name: Name recorded in the history with each change.
        role: Role, which determines the permitted calls.
        services: Services in scope; empty allows all.
    """

    name: str
    role: resources.OperatorRole
    services: tuple[str, ...] = ()
