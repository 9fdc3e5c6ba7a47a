"""Counters of the peer links, as attributes and as OpenTelemetry metrics."""

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


class DropReason(enum.Enum):
    """Reason why a frame or a part of it was dropped."""

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
    UNENCODABLE = "unencodable"


class AskOutcome(enum.Enum):
    """Outcome of a request."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    REFUSED = "refused"


class PeerCounters:
    """Counters of one instance.

    Attributes:
        bytes_in: Total size of the frames read, in bytes.
        bytes_out: Total size of the frames written, in bytes.
        frames_out: Number of frames written.
        drops: Number of drops by reason.
        asks: Number of requests by outcome.
        refusals: Number of refused links by reason.
        task_failures: Number of link tasks that failed with an unexpected
            exception.
    """

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_out = 0
        self.drops: collections.Counter[DropReason] = collections.Counter()
        self.asks: collections.Counter[AskOutcome] = collections.Counter()
        self.task_failures = 0
        self.refusals: collections.Counter[str] = collections.Counter()

    def count_received(self, size_bytes: int) -> None:
        """Counts a frame read."""
        self.bytes_in += size_bytes
        _bytes_in.add(size_bytes)

    def count_sent(self, size_bytes: int) -> None:
        """Counts a frame written."""
        self.bytes_out += size_bytes
        self.frames_out += 1
        _bytes_out.add(size_bytes)

    def count_drop(self, reason: DropReason) -> None:
        """Counts a dropped frame or field."""
        self.drops[reason] += 1
        _drops.add(1, {"reason": reason.value})

    def count_ask(self, outcome: AskOutcome) -> None:
        """Counts a finished request."""
        self.asks[outcome] += 1
        _asks.add(1, {"outcome": outcome.value})

    def count_refused_link(self, reason: str) -> None:
        """Counts a refused link."""
        self.refusals[reason] += 1
        count_refusal(reason)


def count_refusal(reason: str) -> None:
    """Counts a refused link in the metric only, without an instance."""
    _refusals.add(1, {"reason": reason})
