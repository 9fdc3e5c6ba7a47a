"""What a request costs its engines, as this instance has measured it."""

from __future__ import annotations

import collections

# Weight of one request in the running averages; some dozen requests, a few
# seconds' worth, decide.
_WEIGHT = 0.05
# Before any request was seen: a prompt of 5,200 tokens is read in a tenth of a
# second; its answer fills an eighth of an engine's memory for some four.
_FIRST_PREFILL_TOKENS = 5_200.0
_FIRST_TOKEN_MS = 0.018
_FIRST_DECODE_MS = 480.0
# The assumed reading stands in for this many at first.
_FIRST_READINGS = 8
# Readings that are looked at, and the one that counts, from the fastest: slower
# ones waited for others, faster ones found the prompt in the cache.
_READINGS = 64
_COUNTED_PART = 0.3


class WorkCosts:
    """Running averages of the engine time that requests take.

    Attributes:
        decode_ms: Time for which a request would keep a decode engine's whole
            memory busy: its own time there, times its part of the memory.
    """

    def __init__(self) -> None:
        self.decode_ms = _FIRST_DECODE_MS
        self._prompt_tokens = _FIRST_PREFILL_TOKENS
        self._token_ms: collections.deque[float] = collections.deque(
            [_FIRST_TOKEN_MS] * _FIRST_READINGS, maxlen=_READINGS
        )

    @property
    def prefill_ms(self) -> float:
        """Time for which a prompt keeps a prefill engine busy."""
        ordered = sorted(self._token_ms)
        counted = ordered[int(len(ordered) * _COUNTED_PART)]
        return self._prompt_tokens * counted

    def prefilled(self, took_ms: float, *, prompt_tokens: int) -> None:
        """Learns how long a prompt took to be read.

        That includes the wait for others that were read before it. In a burst
        it would make reading look dear and call for another prefill engine,
        which is then missing for writing. A prompt that a caller sends again
        is found in the cache, and would make reading look free.
        """
        self._prompt_tokens += _WEIGHT * (prompt_tokens - self._prompt_tokens)
        self._token_ms.append(took_ms / max(1, prompt_tokens))

    def decoded(self, took_ms: float, *, memory_part: float) -> None:
        """Learns how long a request kept its part of a decode engine."""
        engine_ms = took_ms * memory_part
        self.decode_ms += _WEIGHT * (engine_ms - self.decode_ms)
