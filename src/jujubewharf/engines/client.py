"""The engine interface: typed calls and results.

All calls carry an attempt id. An engine treats two calls with the same attempt
id as one, so a delayed or duplicate message of an older attempt cannot affect a
newer one.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses
import enum
from typing import Protocol


class EngineFault(enum.Enum):
    """Reason why an engine call failed.

    With ``REFUSED_*`` the engine itself states that it did nothing.
    ``REFUSED_IDENTITY`` means that another engine has this address now.
    ``DEFERRED`` means that no call was made, because the engine has requested
    backoff. ``NO_PATH`` means that neither this instance nor a peer could make
    the call, which says nothing about the engine.
    """

    UNREACHABLE = "unreachable"
    LOST = "lost"
    NO_PATH = "no_path"
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
        fault: Reason. ``UNREACHABLE`` means that no connection was made, so
            nothing ran; ``LOST`` means that the response was lost, so the call
            may have run.
        engine: Name of the engine.
        detail: Details for the logs; must not contain tokens or prompts.
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
    """Identifies one attempt of a request.

    Attributes:
        attempt_id: ``<request id>.<number>``, globally unique.
        owner: Instance that runs it; the sweep queries this instance.
    """

    attempt_id: str
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillJob:
    """A prompt to prefill.

    Attributes:
        model: Model name.
        prompt: Text of the prompt; its tokens are its words.
        priority: Higher values are served first, if the engine supports
            priorities.
    """

    model: str
    prompt: str
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillResult:
    """Result of a prefill; it expires if no engine imports it in time.

    Attributes:
        prompt_tokens: Length of the prompt.
        cached_tokens: Number of prompt tokens served by the prefix cache.
        kv_bytes: Size of the KV cache to transfer.
        survives_ms: Time until the result expires.
    """

    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    survives_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeJob:
    """A decode on an engine that holds the attempt's slot.

    Attributes:
        model: Model name.
        prompt: Set when resuming, and for engines that also run prefill.
        max_tokens: Maximum length of the response.
        first_index: Number of tokens already delivered to the caller; decode
            continues after them.
        delivered: Texts of these tokens, for resuming on another engine.
        priority: Higher values are served first, if the engine supports
            priorities.
    """

    model: str
    prompt: str
    max_tokens: int
    first_index: int = 0
    delivered: tuple[str, ...] = ()
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenChunk:
    """Consecutive tokens of a response.

    Attributes:
        first_index: Index of the first token of the chunk, from 0.
        tokens: Texts of the tokens.
        is_last: Whether this chunk ends the response.
    """

    first_index: int
    tokens: tuple[str, ...]
    is_last: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's load as measured by itself; it arrives with a lag.

    Attributes:
        measured_ms: Time of the measurement on the engine's monotonic clock.
        slots_total: Number of requests that fit into decode memory.
        slots_used: Number of slots in use, including reservations.
        prefill_queued_tokens: Prompt tokens waiting for prefill.
        decode_queued: Decode requests waiting for a slot.
        step_ms: Current time between tokens.
        is_leaving: Whether the engine is leaving.
        model: Loaded model.
        model_version: Loaded model version.
        adapters: Loaded adapters.
        role: Current role, spelled as in the configuration.
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
        attempt: The attempt.
        age_ms: Time since the memory was reserved.
    """

    attempt: Attempt
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache; arrives late and with gaps.

    Attributes:
        sequence: Sequence number, incremented by one per event; a jump reveals
            a gap.
        prefix_hash: Hash of a prompt prefix, see ``engines.prefixes``.
        is_stored: True if the prefix was stored, false if it was evicted.
    """

    sequence: int
    prefix_hash: int
    is_stored: bool


class OrderKind(enum.Enum):
    """Kinds of orders to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A declarative, idempotent order to an engine.

    Attributes:
        kind: What to change.
        fence: Fencing number; engines that support fencing refuse a lower one.
        value: Requested model, adapter or role.
        version: Requested model version.
    """

    kind: OrderKind
    fence: int
    value: str
    version: str = ""


class EngineClient(Protocol):
    """Client of one model engine.

    Every call may raise ``EngineError``.
    """

    async def reserve(self, attempt: Attempt) -> None:
        """Reserves a decode slot for an attempt; idempotent."""
        ...

    async def prefill(self, attempt: Attempt, job: PrefillJob) -> PrefillResult:
        """Prefills a prompt; the engine keeps the result for ``import_kv``."""
        ...

    async def import_kv(self, attempt: Attempt, source_address: str) -> int:
        """Pulls the attempt's prefill result from another engine.

        Returns:
            Number of bytes transferred.
        """
        ...

    def decode(
        self, attempt: Attempt, job: DecodeJob
    ) -> AsyncIterator[TokenChunk]:
        """Streams the response; without imported KV it prefills first."""
        ...

    async def release(self, attempt_id: str) -> None:
        """Cancels an attempt and frees its resources."""
        ...

    async def load(self) -> LoadReport:
        """Returns the engine's latest load report."""
        ...

    async def held(self) -> tuple[HeldAttempt, ...]:
        """Returns all attempts for which the engine holds memory."""
        ...

    async def cache_events(self, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Returns the available cache events after a sequence number."""
        ...

    async def order(self, order: Order) -> None:
        """Sends an order; raises ``REFUSED_FENCE`` if the fence is outdated."""
        ...
