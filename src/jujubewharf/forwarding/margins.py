"""How much memory to reserve for a response, and how much to leave free.

Callers estimate the length of a response, often badly. An engine accounts for
each response the larger of its reservation and its actual size; when memory
runs out, it preempts a response and prefills its prompt again, which stalls
the stream. Reserving the longest possible length for all would leave much of
the memory unused.

So a share of the estimate is reserved and some headroom is left for responses
that outgrow it. Both are chosen from the latest responses so that together
they take the least memory. With short responses on nine engines, a fixed
headroom of a fifth of the memory stayed unused.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import math
import statistics

from jujubewharf.engine_speeds import demands
from jujubewharf.engine_speeds import urgency as urgencies
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import routes

# Number of latest responses that are considered, about 15 s of one instance's
# load.
_SAMPLE_SIZE = 64
# Number of completed responses below which callers' estimates are used. Short
# responses complete first and would bias the statistics.
_MIN_SAMPLE_SIZE = 12
# Margins are recomputed after this many further responses.
_RECOMPUTE_INTERVAL = 8
# Standard deviations of the outgrown memory that the headroom covers. More
# would leave memory unused while requests wait for it.
_COVERED_DEVIATIONS = 1.0
# Shares of the estimate to choose from. With smaller ones most responses would
# exceed their reservation halfway through, where engines may preempt them.
_SHARES = (0.75, 1.0, 1.25, 1.5)
# Number of points in the responses' lifetime at which memory is compared.
_LIFETIME_STEPS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLength:
    """Length of a completed response.

    Attributes:
        expected_tokens: The caller's estimate, in tokens.
        tokens: Actual length, in tokens.
    """

    expected_tokens: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Margin:
    """Reservation for a response, and headroom on its engine.

    Attributes:
        reserved_share: Share of the estimated length to reserve.
        free_tokens: Headroom that must be free in addition, in tokens.
    """

    reserved_share: float
    free_tokens: int


class ResponseLengths:
    """Statistics of response lengths and of callers' estimates."""

    def __init__(self) -> None:
        self._responses: collections.deque[ResponseLength] = collections.deque(
            maxlen=_SAMPLE_SIZE
        )
        self._estimates: collections.deque[int] = collections.deque(
            maxlen=_SAMPLE_SIZE
        )
        self._count = 0
        self._margins: dict[int, Margin] = {}

    def record_estimate(self, tokens: int) -> None:
        """Records a caller's estimate, in tokens."""
        self._estimates.append(tokens)
        self._count_sample()

    def record_length(self, length: ResponseLength) -> None:
        """Records the length of a completed response."""
        self._responses.append(length)
        self._count_sample()

    def margin(self, *, prompt_tokens: float, memory_tokens: int) -> Margin:
        """Returns the margin that takes the least memory.

        Args:
            prompt_tokens: Mean prompt size, in tokens.
            memory_tokens: Memory of an engine, in tokens.
        """
        margin = self._margins.get(memory_tokens)
        if margin is None:
            margin = _smallest_margin(
                self._prediction_sample(), prompt_tokens, memory_tokens
            )
            self._margins[memory_tokens] = margin
        return margin

    def demand(
        self,
        work: calls.ModelWork | None,
        traits: routes.EngineTraits,
        *,
        prompt_tokens: float | None,
        urgency: urgencies.Urgency = urgencies.UNKNOWN,
    ) -> demands.Demand:
        """Returns what a request needs, and records its estimate.

        Args:
            work: Size of the request, if known.
            traits: Properties of the service's engines.
            prompt_tokens: Mean prompt size, in tokens; ``None`` if unknown.
            urgency: How urgent the request is.
        """
        if work is None:
            return demands.Demand(1, 0, traits.hold_max_ms, urgency)
        mean_tokens = prompt_tokens or float(work.prompt_tokens)
        self.record_estimate(work.answer_tokens)
        margin = self.margin(
            prompt_tokens=mean_tokens, memory_tokens=traits.memory_tokens
        )
        tokens = work.prompt_tokens + int(
            work.answer_tokens * margin.reserved_share
        )
        # A request that doesn't fit into an empty engine with its headroom is
        # still placed, with less headroom.
        max_free_tokens = max(0, traits.memory_tokens - tokens)
        free_tokens = min(margin.free_tokens, max_free_tokens)
        return demands.Demand(tokens, free_tokens, traits.hold_max_ms, urgency)

    def _count_sample(self) -> None:
        self._count += 1
        if (
            self._count < _RECOMPUTE_INTERVAL
            or self._count % _RECOMPUTE_INTERVAL == 0
        ):
            self._margins.clear()

    def _prediction_sample(self) -> Sequence[ResponseLength]:
        """Returns the sample from which the next responses are predicted."""
        if len(self._responses) >= _MIN_SAMPLE_SIZE:
            return self._responses
        return [ResponseLength(tokens, tokens) for tokens in self._estimates]


def _smallest_margin(
    responses: Sequence[ResponseLength],
    prompt_tokens: float,
    memory_tokens: int,
) -> Margin:
    if not responses:
        return Margin(1.0, 0)
    mean_expected_tokens = statistics.fmean(
        r.expected_tokens for r in responses
    )
    best: tuple[float, Margin] | None = None
    for share in _SHARES:
        tokens_per_response = max(
            1.0, prompt_tokens + share * mean_expected_tokens
        )
        count = max(1.0, memory_tokens / tokens_per_response)
        free_tokens = _peak_outgrown_tokens(responses, share, count)
        tokens_per_response += free_tokens / count
        if best is None or tokens_per_response < best[0]:
            best = (tokens_per_response, Margin(share, int(free_tokens)))
    assert best is not None
    return best[1]


def _peak_outgrown_tokens(
    responses: Sequence[ResponseLength], share: float, count: float
) -> float:
    """Returns the peak memory by which responses outgrow reservations.

    Assumes responses that start together.

    Args:
        responses: Sample of response lengths.
        share: Share of the estimated length that was reserved.
        count: Number of responses on the engine.
    """
    max_tokens = max(r.tokens for r in responses)
    peak_tokens = 0.0
    for step in range(1, _LIFETIME_STEPS + 1):
        grown_tokens = max_tokens * step / _LIFETIME_STEPS
        excess_tokens = [
            max(0.0, grown_tokens - share * r.expected_tokens)
            if r.tokens >= grown_tokens
            else 0.0
            for r in responses
        ]
        spread = statistics.pstdev(excess_tokens) * math.sqrt(count)
        total_tokens = (
            statistics.fmean(excess_tokens) * count
            + _COVERED_DEVIATIONS * spread
        )
        peak_tokens = max(peak_tokens, total_tokens)
    return peak_tokens
