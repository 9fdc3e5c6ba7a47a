"""Metrics of requests and goodput: requests that met both targets."""

from __future__ import annotations

from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.requests import model_request

_meter = metrics.get_meter("jujubewharf")
_requests = _meter.create_counter(
    "callers.requests",
    description="Ended requests, by service and outcome.",
)
_goodput = _meter.create_counter(
    "callers.goodput",
    description="Requests that met both targets, by service.",
)
_first_answer_ms = _meter.create_histogram(
    "callers.first_answer",
    unit="ms",
    description="Time from arrival to the first token or byte, by service.",
)
_completion_ms = _meter.create_histogram(
    "callers.completion",
    unit="ms",
    description="Time from arrival to the last token or byte, by service.",
)

FINISHED = "finished"


class Stopwatch:
    """Measures a request from its arrival to its end.

    Args:
        service: The requested service, which defines the targets.
        arrived_ms: Clock reading in milliseconds when the request arrived.
        clock: Clock for the measurement.
    """

    def __init__(
        self,
        service: resources.Service,
        arrived_ms: float,
        clock: clocks.Clock,
    ) -> None:
        self._service = service
        self._arrived_ms = arrived_ms
        self._clock = clock
        self._first_ms: float | None = None

    def observe(self, event: model_request.Event) -> None:
        """Updates the metrics for an event of a model request."""
        match event:
            case model_request.Tokens():
                self.record_first_output()
            case model_request.Finished():
                self.record_completion()
            case model_request.Failed():
                self.record_outcome(event.kind.value)

    def record_first_output(self) -> None:
        """Records the time to the first token or byte, once per request."""
        if self._first_ms is None:
            self._first_ms = self._clock.now_ms() - self._arrived_ms
            attributes = {"service": self._service.name}
            _first_answer_ms.record(self._first_ms, attributes)

    def record_completion(self) -> None:
        """Records that the answer was completed."""
        self.record_first_output()
        assert self._first_ms is not None
        took_ms = self._clock.now_ms() - self._arrived_ms
        service = self._service
        attributes = {"service": service.name}
        _completion_ms.record(took_ms, attributes)
        if (
            self._first_ms <= service.first_answer_target_ms
            and took_ms <= service.completion_target_ms
        ):
            _goodput.add(1, attributes)
        self.record_outcome(FINISHED)

    def record_outcome(self, outcome: str) -> None:
        """Counts the request by outcome.

        Args:
            outcome: ``FINISHED`` or the value of an ``errors.ErrorKind``.
        """
        attributes = {"service": self._service.name, "outcome": outcome}
        _requests.add(1, attributes)
