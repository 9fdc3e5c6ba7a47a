"""How much memory to reserve for a response, and how much to leave free.

Callers estimate the length of a response, often badly. An engine accounts for
each response the larger of its reservation and its actual size; when memory
runs out, it preempts a response and prefills its prompt again, which stalls
the stream. Reserving the longest possible length for all would leave much of
the memory unused.

So a share of the estimate is reserved and some headroom is left for responses
that outgrow it. Both are chosen from the latest responses so that together
they take the least memory.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import math
import statistics

# Number of latest responses that are considered.
_ANSWERS = 64
# Number of completed responses below which callers' estimates are used. Short
# responses complete first and would bias the statistics.
_ENOUGH = 12
# Margins are recomputed after this many further responses.
_EVERY = 8
# Standard deviations of the outgrown memory that the headroom covers. More
# would leave memory unused while requests wait for it.
_DEVIATIONS = 1.0
# Shares of the estimate to choose from. With smaller ones most responses would
# exceed their reservation halfway through, where engines may preempt them.
_PARTS = (0.75, 1.0, 1.25, 1.5)
# Number of points in the responses' lifetime at which memory is compared.
_STEPS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
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
        part: Share of the estimated length to reserve.
        free_tokens: Headroom that must be free in addition, in tokens.
    """

    part: float
    free_tokens: int


class AnswerLengths:
    """Statistics of response lengths and of callers' estimates."""

    def __init__(self) -> None:
        self._answers: collections.deque[Answer] = collections.deque(
            maxlen=_ANSWERS
        )
        self._expected: collections.deque[int] = collections.deque(
            maxlen=_ANSWERS
        )
        self._count = 0
        self._margins: dict[int, Margin] = {}

    def expected(self, tokens: int) -> None:
        """Records a caller's estimate, in tokens."""
        self._expected.append(tokens)
        self._noted()

    def ended(self, answer: Answer) -> None:
        """Records the length of a completed response."""
        self._answers.append(answer)
        self._noted()

    def margin(self, *, prompt_tokens: float, memory_tokens: int) -> Margin:
        """Returns the margin that takes the least memory.

        Args:
            prompt_tokens: Mean prompt size, in tokens.
            memory_tokens: Memory of an engine, in tokens.
        """
        known = self._margins.get(memory_tokens)
        if known is None:
            known = _margin(self._likely(), prompt_tokens, memory_tokens)
            self._margins[memory_tokens] = known
        return known

    def _noted(self) -> None:
        self._count += 1
        if self._count < _EVERY or self._count % _EVERY == 0:
            self._margins.clear()

    def _likely(self) -> Sequence[Answer]:
        """Returns the sample from which the next responses are predicted."""
        if len(self._answers) >= _ENOUGH:
            return self._answers
        return [Answer(tokens, tokens) for tokens in self._expected]


def _margin(
    answers: Sequence[Answer], prompt_tokens: float, memory_tokens: int
) -> Margin:
    if not answers:
        return Margin(1.0, 0)
    expected = statistics.fmean(a.expected_tokens for a in answers)
    least: tuple[float, Margin] | None = None
    for part in _PARTS:
        each_tokens = max(1.0, prompt_tokens + part * expected)
        count = max(1.0, memory_tokens / each_tokens)
        free = _outgrown_tokens(answers, part, count)
        each_tokens += free / count
        if least is None or each_tokens < least[0]:
            least = (each_tokens, Margin(part, int(free)))
    assert least is not None
    return least[1]


def _outgrown_tokens(
    answers: Sequence[Answer], part: float, count: float
) -> float:
    """Returns the peak memory by which responses outgrow reservations.

    Assumes responses that start together.

    Args:
        answers: Sample of response lengths.
        part: Share of the estimated length that was reserved.
        count: Number of responses on the engine.
    """
    longest = max(a.tokens for a in answers)
    most = 0.0
    for step in range(1, _STEPS + 1):
        grown = longest * step / _STEPS
        over = [
            max(0.0, grown - part * a.expected_tokens)
            if a.tokens >= grown
            else 0.0
            for a in answers
        ]
        spread = statistics.pstdev(over) * math.sqrt(count)
        all_over = statistics.fmean(over) * count + _DEVIATIONS * spread
        most = max(most, all_over)
    return most
