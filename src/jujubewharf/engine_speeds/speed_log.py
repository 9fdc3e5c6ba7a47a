"""Log lines and a counter of changes of engines' relative speeds."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math

from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks

# Ratio of two relative times from which the change is logged.
_STEP_RATIO = 1.25
# Largest number of lines in one interval. At thousands of engines a change of
# the reference moves all of them.
_MAX_LINES = 20
_INTERVAL_MS = 10_000.0

_METER = metrics.get_meter("jujubewharf")
_CHANGES = _METER.create_counter(
    "engine_speeds.changes",
    description="Changes of engines' relative speeds by a step, by stage.",
)

_logger = structlog.get_logger()


class SpeedLog:
    """Logs an engine's relative time when it has changed by a step.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._logged: dict[tuple[str, str], float] = {}
        self._lines = 0
        self._began_ms = float("-inf")

    def update(self, stage: str, unequal: Mapping[str, float]) -> None:
        """Logs the engines whose relative time has changed by a step.

        Args:
            stage: Kind of work.
            unequal: Relative times of the engines that differ from 1.0.
        """
        for name, time in unequal.items():
            self._note(stage, name, time)
        back = [
            name
            for of_stage, name in self._logged
            if of_stage == stage and name not in unequal
        ]
        for name in back:
            self._note(stage, name, 1.0)

    def forget(self, engines: Iterable[str]) -> None:
        """Drops what was logged about engines that are gone."""
        gone = set(engines)
        if gone:
            self._logged = {
                key: time
                for key, time in self._logged.items()
                if key[1] not in gone
            }

    def _note(self, stage: str, engine: str, time: float) -> None:
        before = self._logged.get((stage, engine), 1.0)
        is_step = abs(math.log(time / before)) >= math.log(_STEP_RATIO)
        if not is_step:
            return
        if time == 1.0:
            del self._logged[stage, engine]
        else:
            self._logged[stage, engine] = time
        _CHANGES.add(1, {"stage": stage})
        now_ms = self._clock.now_ms()
        if now_ms - self._began_ms >= _INTERVAL_MS:
            self._began_ms, self._lines = now_ms, 0
        self._lines += 1
        if self._lines <= _MAX_LINES:
            _logger.info(
                "engine_speed_changed",
                engine=engine,
                stage=stage,
                relative_time=round(time, 2),
                before=round(before, 2),
            )
