"""Counts of the peer links, plain for tests and as OpenTelemetry metrics."""

from __future__ import annotations

import collections
import enum

from opentelemetry import metrics

_meter = metrics.get_meter("jujubewharf")
_bytes_in = _meter.create_counter(
    "peers.bytes_in", unit="By", description="Bytes from peers."
)
_bytes_out = _meter.create_counter(
    "peers.bytes_out", unit="By", description="Bytes to peers."
)
_drops = _meter.create_counter(
    "peers.drops", description="Dropped messages by reason."
)
_asks = _meter.create_counter("peers.asks", description="Asks by outcome.")
_refusals = _meter.create_counter(
    "peers.refusals", description="Refused links by reason."
)


class Drop(enum.Enum):
    """Why a frame or a part of it was left aside."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_MESSAGE = "unknown_message"
    UNKNOWN_FIELD = "unknown_field"
    NO_HANDLER = "no_handler"
    HANDLER_FAILED = "handler_failed"
    BUSY = "busy"
    QUEUE_FULL = "queue_full"
    LATE_ANSWER = "late_answer"
    TOO_LARGE_TO_SEND = "too_large_to_send"


class AskOutcome(enum.Enum):
    """How an ask ended."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    REFUSED = "refused"


class PeerCounters:
    """Counts of one instance.

    Attributes:
        bytes_in: Bytes of frames read.
        bytes_out: Bytes of frames written.
        frames_out: Number of frames written.
        drops: Drops by reason.
        asks: Asks by outcome.
        refusals: Links that were refused, by the reason's value.
        task_failures: Tasks of links that ended by a fault in this program.
    """

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_out = 0
        self.drops: collections.Counter[Drop] = collections.Counter()
        self.asks: collections.Counter[AskOutcome] = collections.Counter()
        self.task_failures = 0
        self.refusals: collections.Counter[str] = collections.Counter()

    def received(self, size_bytes: int) -> None:
        """Counts a frame read."""
        self.bytes_in += size_bytes
        _bytes_in.add(size_bytes)

    def sent(self, size_bytes: int) -> None:
        """Counts a frame written."""
        self.bytes_out += size_bytes
        self.frames_out += 1
        _bytes_out.add(size_bytes)

    def drop(self, reason: Drop) -> None:
        """Counts a drop."""
        self.drops[reason] += 1
        _drops.add(1, {"reason": reason.value})

    def ask(self, outcome: AskOutcome) -> None:
        """Counts the end of an ask."""
        self.asks[outcome] += 1
        _asks.add(1, {"outcome": outcome.value})

    def refuse(self, reason: str) -> None:
        """Counts a refused link."""
        self.refusals[reason] += 1
        count_refusal(reason)


def count_refusal(reason: str) -> None:
    """Counts a refused link that has no instance's counts to stand in."""
    _refusals.add(1, {"reason": reason})
