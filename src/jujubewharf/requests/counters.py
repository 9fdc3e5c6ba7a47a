"""Counters of requests: refusals, retries, goodput and wasted prefill.

Each event is counted by an OpenTelemetry instrument and by a plain counter.
Experiments and tests read the plain counters.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from opentelemetry import metrics

METER = "jujubewharf"


class WasteCause(enum.Enum):
    """Why the result of a prefill was not used."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    NO_DECODE_SLOT = "no_decode_slot"
    TRANSFER_STALLED = "transfer_stalled"
    TRANSFER_FAILED = "transfer_failed"
    ENGINE_FAILED = "engine_failed"


def _counter() -> collections.Counter[str]:
    return collections.Counter()


@dataclasses.dataclass(slots=True)
class Counts:
    """Plain totals since the start of the process.

    Attributes:
        accepted: Requests accepted.
        finished: Requests with a complete answer.
        within_targets: Finished requests that met both latency targets.
        refused: Requests without a complete answer, by error kind.
        retries: Further attempts, by the fault that caused them.
        moves: Prefill results moved to another decode engine, by cause.
        wasted_prefill_tokens: Prompt tokens whose prefill was not used, by
            cause.
        attached: Retries that joined an existing answer, by place.
        releases_given_up: Releases that the engine did not confirm in time.
        swept: Attempts freed by the sweep, by reason.
    """

    accepted: int = 0
    finished: int = 0
    within_targets: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=_counter
    )
    retries: collections.Counter[str] = dataclasses.field(
        default_factory=_counter
    )
    moves: collections.Counter[str] = dataclasses.field(
        default_factory=_counter
    )
    wasted_prefill_tokens: collections.Counter[str] = dataclasses.field(
        default_factory=_counter
    )
    attached: collections.Counter[str] = dataclasses.field(
        default_factory=_counter
    )
    releases_given_up: int = 0
    swept: collections.Counter[str] = dataclasses.field(
        default_factory=_counter
    )


class Counters:
    """Counts events as metrics and as plain totals.

    Attributes:
        counts: Plain totals.
    """

    def __init__(self) -> None:
        self.counts = Counts()
        meter = metrics.get_meter(METER)
        self._accepted = meter.create_counter(
            "requests.accepted", description="Model requests accepted"
        )
        self._finished = meter.create_counter(
            "requests.finished", description="Model requests answered whole"
        )
        self._goodput = meter.create_counter(
            "requests.within_targets", description="Answered within targets"
        )
        self._refused = meter.create_counter(
            "requests.refused", description="Requests without a whole answer"
        )
        self._retries = meter.create_counter(
            "requests.retries", description="Further attempts"
        )
        self._moves = meter.create_counter(
            "requests.moves", description="Prefill results moved"
        )
        self._wasted = meter.create_counter(
            "requests.wasted_prefill_tokens",
            unit="{token}",
            description="Prompt tokens read and never used",
        )
        self._attached = meter.create_counter(
            "requests.attached", description="Retries that joined an answer"
        )
        self._given_up = meter.create_counter(
            "requests.releases_given_up", description="Unanswered releases"
        )
        self._swept = meter.create_counter(
            "requests.swept", description="Attempts freed by the sweep"
        )

    def accepted(self) -> None:
        """Counts an accepted request."""
        self.counts.accepted += 1
        self._accepted.add(1)

    def finished(self, *, within_targets: bool) -> None:
        """Counts a request with a complete answer."""
        self.counts.finished += 1
        self._finished.add(1)
        if within_targets:
            self.counts.within_targets += 1
            self._goodput.add(1)

    def refused(self, reason: str) -> None:
        """Counts a request without a complete answer."""
        self.counts.refused[reason] += 1
        self._refused.add(1, {"reason": reason})

    def retried(self, reason: str) -> None:
        """Counts a further attempt at a request."""
        self.counts.retries[reason] += 1
        self._retries.add(1, {"reason": reason})

    def moved(self, reason: str) -> None:
        """Counts a prefill result moved to another decode engine."""
        self.counts.moves[reason] += 1
        self._moves.add(1, {"reason": reason})

    def wasted(self, cause: WasteCause, tokens: int) -> None:
        """Counts prompt tokens whose prefill was not used."""
        self.counts.wasted_prefill_tokens[cause.value] += tokens
        self._wasted.add(tokens, {"cause": cause.value})

    def attached(self, place: str) -> None:
        """Counts a retry that joined an answer instead of running again."""
        self.counts.attached[place] += 1
        self._attached.add(1, {"place": place})

    def release_given_up(self) -> None:
        """Counts a release that an engine never confirmed."""
        self.counts.releases_given_up += 1
        self._given_up.add(1)

    def swept(self, reason: str) -> None:
        """Counts an attempt freed by the sweep."""
        self.counts.swept[reason] += 1
        self._swept.add(1, {"reason": reason})
