"""What a request costs its engines, as this instance has measured it."""

from __future__ import annotations

# Weight of one request in the running averages; some dozen requests, a few
# seconds' worth, decide.
_WEIGHT = 0.05
# Engine time for reading against that for writing, before any request was
# seen. A prompt of 5,200 tokens is read in a tenth of a second; its answer
# fills an eighth of an engine's memory for some four.
_FIRST_PREFILL_MS = 94.0
_FIRST_DECODE_MS = 480.0


class WorkCosts:
    """Running averages of the engine time that requests take.

    Attributes:
        prefill_ms: Time for which a prompt keeps a prefill engine busy.
        decode_ms: Time for which a request would keep a decode engine's whole
            memory busy: its own time there, times its part of the memory.
    """

    def __init__(self) -> None:
        self.prefill_ms = _FIRST_PREFILL_MS
        self.decode_ms = _FIRST_DECODE_MS

    def prefilled(self, took_ms: float) -> None:
        """Learns how long a prompt took to be read.

        Others that were read before it make that longer, which calls for more
        prefill engines all the same.
        """
        self.prefill_ms += _WEIGHT * (took_ms - self.prefill_ms)

    def decoded(self, took_ms: float, *, memory_part: float) -> None:
        """Learns how long a request kept its part of a decode engine."""
        engine_ms = took_ms * memory_part
        self.decode_ms += _WEIGHT * (engine_ms - self.decode_ms)
