"""Counts requests and goodput: those that met both of their targets."""

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
    """Follows one request from its arrival to its end.

    Args:
        service: Whose targets count.
        arrived_ms: Clock reading at arrival.
        clock: Time.
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

    def see(self, event: model_request.Event) -> None:
        """Takes note of an event of a model request's answer."""
        match event:
            case model_request.Tokens():
                self.first()
            case model_request.Finished():
                self.finished()
            case model_request.Failed():
                self.ended(event.kind.value)

    def first(self) -> None:
        """The first token or byte came; later calls count for nothing."""
        if self._first_ms is None:
            self._first_ms = self._clock.now_ms() - self._arrived_ms
            attributes = {"service": self._service.name}
            _first_answer_ms.record(self._first_ms, attributes)

    def finished(self) -> None:
        """The answer is whole."""
        self.first()
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
        self.ended(FINISHED)

    def ended(self, outcome: str) -> None:
        """The request ended; the outcome is an error kind's reason."""
        attributes = {"service": self._service.name, "outcome": outcome}
        _requests.add(1, attributes)
