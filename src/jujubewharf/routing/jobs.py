"""What a routing decision is given and what it gives back."""

from __future__ import annotations

import dataclasses
import itertools

from jujubewharf import errors
from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One request, as far as routing needs to know it.

    All times are readings of the instance's clock.

    Attributes:
        service: Service asked for.
        prompt_tokens: Length of the prompt.
        max_tokens: Longest answer.
        prefix_hashes: See ``engines.prefixes``.
        arrived_ms: When the request came.
        first_answer_by_ms: Arrival plus the service's first target.
        complete_by_ms: Arrival plus the service's completion target.
        deadline_at_ms: When it is given up on.
        priority: Higher goes first.
        first_index: Tokens the caller has already.
        excluded: Engines that failed this request before.
        number: Tells requests of one instance apart; a copy made for a
            further attempt keeps it.
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
    """Where a request runs.

    Attributes:
        decode: Engine that writes; ``None`` when it is chosen only after
            the prompt was read.
        prefill: Engine that reads; ``None`` lets ``decode`` read.
        prefill_at_ms: Clock reading before which reading must not start.
        reserve_at_ms: Clock reading before which the decode slot must not be
            taken; later than ``prefill_at_ms`` when a slot is expected to
            come free while the prompt is read.
    """

    decode: resources.Endpoint | None
    prefill: resources.Endpoint | None = None
    prefill_at_ms: float = 0.0
    reserve_at_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Later:
    """Nothing fits now; ask again after a while.

    Attributes:
        after_ms: Time to wait.
    """

    after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The request is given up on now.

    Attributes:
        kind: Why.
        retry_after_ms: When the caller should come back.
    """

    kind: errors.ErrorKind
    retry_after_ms: float = 1_000.0


Decision = Choice | Later | Refusal
