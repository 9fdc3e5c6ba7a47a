"""What the operator interface answers, as data classes.

Each class has the fields of the message of the same name in
``jujubewharf.proto``; ``messages`` turns the one into the other.
"""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf import errors
from jujubewharf.configuration import resources


class Effect(enum.Enum):
    """What a change does to a resource."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"


class OperationState(enum.Enum):
    """What became of an operation.

    ``NOT_SEEN`` says that it is not on the log as far as the answering
    instance has read; an append under way may still arrive.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNSAFE = "unsafe"
    NOT_SEEN = "not_seen"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One fault of a resource.

    Attributes:
        path: Path of the field.
        message: What is wrong with it.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}" if self.path else self.message


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorDetail:
    """Why a call failed.

    Attributes:
        kind: Row of the error table, by its value; a newer instance may send
            one that this version does not know.
        ran: Whether the call took effect.
        retryable: Whether the same call may help when sent again.
        message: One sentence for a person.
        detail: What was wrong this time.
        retry_after_ms: When to come back, if known.
        operation_id: Operation the call asked for, for a later lookup.
        generation: Generation in force where that is the matter, else 0.
        violations: Faults of the resource.
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
    """A resource in force.

    Attributes:
        resource: The resource.
        generation: Grows with each change.
        applied_offset: Log offset up to which the instance has folded.
    """

    resource: resources.Resource
    generation: int
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeDone:
    """A change that is in force at the answering instance."""

    operation_id: str
    generation: int
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FieldDifference:
    """One field that differs.

    Attributes:
        path: Path of the field.
        before: JSON text; empty when there was none.
        after: JSON text; empty when there will be none.
    """

    path: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A resource that differs from what is wanted.

    Attributes:
        kind: Resource kind.
        name: Resource name.
        effect: What an apply does to it.
        generation: Generation in force; 0 when there is none.
        fields: The fields that differ.
    """

    kind: resources.Kind
    name: str
    effect: Effect
    generation: int
    fields: tuple[FieldDifference, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedDifference:
    """What became of one difference.

    Attributes:
        difference: The difference.
        operation_id: Its operation; empty in a dry run.
        generation: Generation reached; 0 in a dry run and on failure.
        error: Why it failed, if it did.
    """

    difference: Difference
    operation_id: str = ""
    generation: int = 0
    error: ErrorDetail | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyReply:
    """What became of an apply.

    Attributes:
        operation_id: Names the whole apply; each item has its own below it.
        items: One for each resource that differs.
        applied_offset: Log offset up to which the instance has folded.
    """

    operation_id: str
    items: tuple[AppliedDifference, ...] = ()
    applied_offset: int = 0

    @property
    def failed(self) -> tuple[AppliedDifference, ...]:
        """The items that are not in force."""
        return tuple(item for item in self.items if item.error is not None)


@dataclasses.dataclass(frozen=True, slots=True)
class ListReply:
    """A page of resources; the token is empty on the last page."""

    items: tuple[StoredResource, ...] = ()
    next_page_token: str = ""
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """One step of a watch.

    Attributes:
        effect: What happened; ``None`` on the mark that ends the snapshot.
        kind: Resource kind.
        name: Resource name.
        generation: Generation reached.
        resource: The resource; ``None`` on a delete.
        is_snapshot_end: The events so far hold the whole state.
        applied_offset: Log offset up to which the instance has folded.
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
    """One change of a resource, accepted or not.

    Attributes:
        operation_id: Its operation.
        actor: Operator who asked for it.
        effect: What it did or would have done.
        state: What became of it.
        generation: Generation it reached or would have reached.
        wall_ms: When the operator asked for it.
        resource: The resource; ``None`` on a delete.
        detail: Why it was not accepted.
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
    """A page of changes, newest first."""

    entries: tuple[HistoryEntry, ...] = ()
    next_page_token: str = ""
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """What became of an operation.

    Attributes:
        operation_id: Its name.
        state: Its verdict.
        generation: Generation it reached; 0 when it reached none.
        detail: Why it was not accepted.
        applied_offset: Log offset up to which the instance has folded.
    """

    operation_id: str
    state: OperationState
    generation: int = 0
    detail: str = ""
    applied_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonCount:
    """A count with its reason."""

    reason: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance of the fleet as the answering one sees it."""

    instance: str
    address: str
    domain: str
    is_leaving: bool = False
    is_suspected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The answering instance.

    Attributes:
        instance: Its name.
        region: Its region.
        domain: Its failure domain.
        applied_offset: Log offset up to which it has folded.
        is_caught_up: Whether it has seen the end of the log since its start.
        requests_in_flight: Requests it is answering.
        refusals: Refusals since its start, by reason.
        retries: Retries since its start, by reason.
        members: The fleet as it sees it.
        resources: Resources in force, by kind.
        is_frozen: The next record needs rules of a newer program.
        is_log_behind: The log ends before what is in force here.
        log_silence_ms: Time since the log last answered; ``None`` before it
            first did.
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
    """An engine as the answering instance sees it.

    Attributes:
        name: Endpoint name.
        service: Its service.
        domain: Its failure domain.
        role: Role it plays, by its own word if it gave one.
        model: Model loaded, by its own word.
        model_version: Version loaded, by its own word.
        takes_work: Whether new work may be sent there.
        is_drained: Whether operators drained it.
        is_suspect: Whether its last call found nobody.
        slots_total: Requests its decode memory holds.
        slots_used: Requests it holds.
        own_slots: Slots that requests of the answering instance hold.
        prefill_queued_tokens: Prompt tokens waiting to be read.
        decode_queued: Decode requests waiting for a slot.
        report_age_ms: Age of its report; ``None`` before the first.
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
    """Engines by name."""

    engines: tuple[EngineStatus, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a token stands for.

    Attributes:
        name: Goes into history with each change.
        role: What it may do.
        services: Services it is bound to; empty allows all.
    """

    name: str
    role: resources.OperatorRole
    services: tuple[str, ...] = ()
