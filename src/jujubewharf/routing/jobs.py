"""Input and output types of routing decisions."""

from __future__ import annotations

import dataclasses
import itertools

from jujubewharf import errors
from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """The properties of a request that routing depends on.

    All times are readings of the instance's clock.

    Attributes:
        service: Requested service.
        prompt_tokens: Length of the prompt.
        max_tokens: Maximum length of the response.
        prefix_hashes: See ``engines.prefixes``.
        arrived_ms: Arrival time of the request.
        first_answer_by_ms: Arrival plus the service's target for the first
            token.
        complete_by_ms: Arrival plus the service's completion target.
        deadline_at_ms: Time at which the request is aborted.
        priority: Higher values are served first.
        first_index: Number of tokens that the caller has already received.
        excluded: Engines that have already failed this request.
        number: Identifies the request within its instance; a copy made for
            another attempt keeps it.
    """

    service: resources.Service
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...]
    arrived_ms: float
    first_answer_by_ms: float
    complete_by_ms: float
    deadline_at_ms: float
    priority: int = 0
    first_index: int = 0
    excluded: frozenset[str] = frozenset()
    number: int = dataclasses.field(default_factory=itertools.count(1).__next__)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The engines that run a request.

    Attributes:
        decode: Decode engine; ``None`` if it is chosen after prefill.
        prefill: Prefill engine; ``None`` if ``decode`` also runs prefill.
        prefill_at_ms: Clock reading before which prefill must not start.
        reserve_at_ms: Clock reading before which the decode slot must not be
            reserved; later than ``prefill_at_ms`` if a slot is expected to
            become free during prefill.
    """

    decode: resources.Endpoint | None
    prefill: resources.Endpoint | None = None
    prefill_at_ms: float = 0.0
    reserve_at_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLater:
    """No engine is available now; decide again after a delay.

    Attributes:
        after_ms: Delay.
    """

    after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The request is rejected.

    Attributes:
        kind: Reason.
        retry_after_ms: Delay after which the caller should retry.
    """

    kind: errors.ErrorKind
    retry_after_ms: float = 1_000.0


Decision = Choice | RetryLater | Refusal
