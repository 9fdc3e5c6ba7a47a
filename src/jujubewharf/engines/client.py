"""The engine interface: every call and answer as a typed value.

All calls carry the attempt's id. An engine treats two calls with the same
attempt id as one, so a late or doubled message of an older attempt never
touches a newer one.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses
import enum
from typing import Protocol


class EngineFault(enum.Enum):
    """Why an engine call failed.

    ``REFUSED_*`` faults are the engine's own word that it did nothing;
    ``REFUSED_IDENTITY`` says that another engine has the address now;
    ``DEFERRED`` that no call was made, since the engine has asked for none
    now.
    """

    UNREACHABLE = "unreachable"
    LOST = "lost"
    REFUSED_FULL = "refused_full"
    REFUSED_LEAVING = "refused_leaving"
    REFUSED_MODEL = "refused_model"
    REFUSED_FENCE = "refused_fence"
    REFUSED_IDENTITY = "refused_identity"
    REFUSED_ROLE = "refused_role"
    DEFERRED = "deferred"
    KV_GONE = "kv_gone"
    UNKNOWN_ATTEMPT = "unknown_attempt"
    UNSUPPORTED = "unsupported"


class EngineError(Exception):
    """An engine call failed.

    Args:
        fault: Why. ``UNREACHABLE`` means no connection, so nothing ran;
            ``LOST`` means the answer was lost, so it may have run.
        engine: Name of the engine.
        detail: What was seen, for the logs; never a token or a prompt.
    """

    def __init__(
        self, fault: EngineFault, engine: str = "", detail: str = ""
    ) -> None:
        super().__init__(f"{engine}: {fault.value}")
        self.fault = fault
        self.engine = engine
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Names one try of one request.

    Attributes:
        attempt_id: ``<request id>.<number>``, unique for all time.
        owner: Instance that runs it; the sweep asks this instance.
    """

    attempt_id: str
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillJob:
    """A prompt to read.

    Attributes:
        model: Model name.
        prompt: The prompt's text; its tokens are its words.
        priority: Higher goes first where the engine honours priorities.
    """

    model: str
    prompt: str
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillDone:
    """A prompt that was read; its result dies unless it is taken in time.

    Attributes:
        prompt_tokens: Length of the prompt.
        cached_tokens: Part that the prefix cache saved.
        kv_bytes: Size of the result to transfer.
        survives_ms: Time until the result is gone.
    """

    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    survives_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeJob:
    """An answer to write on an engine that holds the attempt's slot.

    Attributes:
        model: Model name.
        prompt: Given for resuming and for engines that prefill themselves.
        max_tokens: Longest answer.
        first_index: Tokens the caller has already; writing starts after.
        delivered: Those tokens' texts, for resuming elsewhere.
        priority: Higher goes first where the engine honours priorities.
    """

    model: str
    prompt: str
    max_tokens: int
    first_index: int = 0
    delivered: tuple[str, ...] = ()
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenChunk:
    """Some tokens of an answer.

    Attributes:
        first_index: Number of the first token here, from 0.
        tokens: Their texts.
        is_last: Whether the answer ends with this chunk.
    """

    first_index: int
    tokens: tuple[str, ...]
    is_last: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine says of its load, with a lag.

    Attributes:
        measured_ms: The engine's own monotonic time of the measurement.
        slots_total: Requests its decode memory holds.
        slots_used: Requests it holds now, reservations included.
        prefill_queued_tokens: Prompt tokens waiting to be read.
        decode_queued: Decode requests waiting for a slot.
        step_ms: Time between tokens now.
        is_leaving: The engine's own word that it is leaving.
        model: Model loaded now.
        model_version: Version loaded now.
        adapters: Adapters loaded now.
        role: Role played now, as the configuration spells it.
    """

    measured_ms: float
    slots_total: int
    slots_used: int
    prefill_queued_tokens: int
    decode_queued: int
    step_ms: float
    is_leaving: bool = False
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAttempt:
    """Memory that an engine holds for one attempt.

    Attributes:
        attempt: Whose memory it is.
        age_ms: Time since it was taken.
    """

    attempt: Attempt
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache; comes late and with gaps.

    Attributes:
        sequence: Counts up by one at the engine; a hole shows a gap.
        prefix_hash: Hash of a prompt prefix, see ``engines.prefixes``.
        is_stored: Stored when true, evicted when false.
    """

    sequence: int
    prefix_hash: int
    is_stored: bool


class OrderKind(enum.Enum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A declarative, idempotent order.

    Attributes:
        kind: What to do.
        fence: Fencing number; engines that check refuse a lower one.
        value: Model, adapter or role wanted.
        version: Model version wanted.
    """

    kind: OrderKind
    fence: int
    value: str
    version: str = ""


class EngineClient(Protocol):
    """What the system needs of one model engine.

    Every call may raise ``EngineError``.
    """

    async def reserve(self, attempt: Attempt) -> None:
        """Takes a decode slot for an attempt; again is harmless."""
        ...

    async def prefill(self, attempt: Attempt, job: PrefillJob) -> PrefillDone:
        """Reads a prompt; the result waits here for ``import_kv``."""
        ...

    async def import_kv(self, attempt: Attempt, source_address: str) -> int:
        """Pulls the attempt's prefill result from another engine.

        Returns:
            Bytes transferred.
        """
        ...

    def decode(
        self, attempt: Attempt, job: DecodeJob
    ) -> AsyncIterator[TokenChunk]:
        """Writes the answer; without imported KV it reads the prompt first."""
        ...

    async def release(self, attempt_id: str) -> None:
        """Cancels whatever the attempt does and frees what it holds."""
        ...

    async def load(self) -> LoadReport:
        """The engine's latest load report."""
        ...

    async def held(self) -> tuple[HeldAttempt, ...]:
        """Everything the engine holds memory for."""
        ...

    async def cache_events(self, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Cache events after a sequence number, as far as they got here."""
        ...

    async def order(self, order: Order) -> None:
        """Gives an order; ``REFUSED_FENCE`` when the fence is too old."""
        ...
