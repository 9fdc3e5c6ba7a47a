"""How fast each engine works, relative to the others of its service.

Load pattern: engines of which some work at a fraction of the others' speed for
good, and machines that are slowed for some hundred milliseconds at a time. The
figures are relative times: 2.0 means that work takes twice as long as on the
service's median engine.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import math
import statistics

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import table
from jujubewharf.engine_speeds import observations as observed
from jujubewharf.engine_speeds import speed_log

# Engines whose relative time differs from 1.0 by less than this count as equal
# to the median engine.
EQUAL_SHARE = 0.1
# Weight of the prior, in observations.
_PRIOR_WEIGHT = 4.0
# Smallest share of a prefill's time for which no other prefill of the engine
# may have ended. Reports of followers arrive a few milliseconds apart.
_ALONE_SHARE = 0.9
# Shortest interval at which relative times are updated, and its part for each
# engine. Each update takes a median over all engines, which would cost 6 % of a
# core with 5,900 engines at the shortest interval.
_MIN_UPDATE_INTERVAL_MS = 500.0
_UPDATE_INTERVAL_PER_ENGINE_MS = 0.5
# Interval at which expected times are fitted again, which updates the figures
# of all engines.
_FIT_INTERVAL_MS = 10_000.0


class Stage(enum.Enum):
    """Kind of work whose times are compared."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedSpread:
    """Lasting relative times of a service's engines at one kind of work.

    Attributes:
        faster: Number of engines that are faster than the median engine.
        usual: Number of engines that count as equal to it, or are unknown.
        slower: Number of engines that are slower.
        least: Smallest relative time.
        greatest: Greatest relative time.
    """

    faster: int
    usual: int
    slower: int
    least: float
    greatest: float


class EngineSpeeds:
    """Observed relative times of engines.

    A wrong figure changes only the order in which engines are asked.

    Args:
        clock: Time source.
        slowdown: Returns the slowdown that an engine reported at this moment;
            1.0 if there is no fresh report.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        slowdown: Callable[[str], float] = lambda engine: 1.0,
    ) -> None:
        self._clock = clock
        self._reported_slowdown = slowdown
        self._engines: dict[str, resources.Endpoint] = {}
        self._stages: dict[tuple[str, Stage], _StageTimes] = {}
        # Relative times outside the range that counts as equal.
        self._unequal: dict[Stage, dict[str, float]] = {s: {} for s in Stage}
        self._contradicted: set[str] = set()
        # Slowdown and the clock reading at which a follower passed it on.
        self._follower_slowdowns: dict[str, tuple[float, float]] = {}
        self._updated_ms = float("-inf")
        self._log = speed_log.SpeedLog(clock)

    @property
    def has_unequal(self) -> bool:
        """Whether any engine's lasting speed differs from the others'."""
        return any(self._unequal.values())

    def speeds_differ(self, service: str) -> bool:
        """Whether the lasting speeds of a service's engines differ."""
        return any(
            self._engines[name].service == service
            for unequal in self._unequal.values()
            for name in unequal
            if name in self._engines
        )

    def spread(self, service: str, stage: Stage) -> SpeedSpread | None:
        """Returns how engines' speeds differ; ``None`` without engines."""
        times = [
            self.lasting(name, stage)
            for name, engine in self._engines.items()
            if engine.service == service
        ]
        if not times:
            return None
        faster = sum(time < 1.0 for time in times)
        slower = sum(time > 1.0 for time in times)
        usual = len(times) - faster - slower
        return SpeedSpread(faster, usual, slower, min(times), max(times))

    def update_engines(self, engines: Iterable[resources.Endpoint]) -> None:
        """Updates the set of engines; others' figures are dropped.

        Each start of an engine has a name of its own, so an engine that
        restarted is unknown.
        """
        present = {
            e.name: e for e in engines if e.role is not resources.Role.PLAIN
        }
        gone = self._engines.keys() - present.keys()
        self._engines = present
        for name in gone:
            self._follower_slowdowns.pop(name, None)
        for times in self._stages.values():
            times.remove(gone)
        for unequal in self._unequal.values():
            for name in gone & unequal.keys():
                del unequal[name]
        self._contradicted -= gone
        self._log.forget(gone)

    def record_prefill(
        self, engine: str, took_ms: float, *, tokens: int, busy_ms: float
    ) -> None:
        """Records the duration of a prefill.

        Args:
            engine: Name of the engine.
            took_ms: Time from the call to its answer.
            tokens: Prompt size, in tokens.
            busy_ms: Part of ``took_ms`` since the engine's previous prefill
                ended. Less than the whole if the prompt was queued, or read
                together with others; such a time says little of the speed.
        """
        is_alone = busy_ms >= took_ms * _ALONE_SHARE
        size = float(tokens) if is_alone else None
        self._record(engine, Stage.PREFILL, took_ms, size)

    def record_event_time(
        self, engine: str, event_ms: float, *, reserved_tokens: int
    ) -> None:
        """Records the mean time between a stream's events.

        Args:
            engine: Name of the engine.
            event_ms: Mean time between two events.
            reserved_tokens: Memory that is reserved there at that time.
        """
        load = float(reserved_tokens)
        self._record(engine, Stage.DECODE, event_ms, load)

    def record_slowdown(self, engine: str, slowdown: float) -> None:
        """Records the slowdown that an engine reported to a follower."""
        if engine in self._engines and math.isfinite(slowdown):
            now_ms = self._clock.now_ms()
            self._follower_slowdowns[engine] = (slowdown, now_ms)

    def lasting(self, engine: str, stage: Stage) -> float:
        """Returns an engine's relative time, apart from slowdowns.

        Exactly 1.0 if it is unknown or counts as equal to the others.
        """
        return self._unequal[stage].get(engine, 1.0)

    def slowdown(self, engine: str) -> float:
        """Returns the slowdown that an engine reports now; at least 1.0.

        Reports of a faster machine are ignored, because they would draw load
        before they are confirmed; the observed times show it as well. Reports
        that the observed times contradict are ignored too.
        """
        reported = self._reported(engine)
        if reported < observed.SLOWDOWN_STEP or engine in self._contradicted:
            return 1.0
        return reported

    def at_present(self, engine: str, stage: Stage) -> float:
        """Returns an engine's relative time including its slowdown."""
        return self.lasting(engine, stage) * self.slowdown(engine)

    def fastest_decode(self, service: str) -> float:
        """Returns the lowest lasting relative time of a service's engines."""
        unequal = self._unequal[Stage.DECODE]
        if not unequal:
            return 1.0
        times = [
            unequal.get(name, 1.0)
            for name, engine in self._engines.items()
            if engine.service == service and engine.can_decode
        ]
        return min(times, default=1.0)

    def work_rate(
        self, engine: resources.Endpoint, role: resources.Role
    ) -> float:
        """Returns how much work an engine does in a role in a given time.

        Relative to the median engine of its service: 0.5 does half as much.
        """
        is_prefill = role is resources.Role.PREFILL
        stage = Stage.PREFILL if is_prefill else Stage.DECODE
        return 1.0 / self.lasting(engine.name, stage)

    def _reported(self, engine: str) -> float:
        """Returns what an engine reported here, else to a follower."""
        reported = self._reported_slowdown(engine)
        if reported != 1.0 or not self._follower_slowdowns:
            return reported
        slowdown, at_ms = self._follower_slowdowns.get(engine, (1.0, 0.0))
        is_fresh = self._clock.now_ms() - at_ms <= table.SLOWDOWN_MAX_AGE_MS
        return slowdown if is_fresh else 1.0

    def _record(
        self,
        engine: str,
        stage: Stage,
        took_ms: float,
        size: float | None,
    ) -> None:
        """Records completed work; ``size`` is ``None`` if it doesn't count."""
        known = self._engines.get(engine)
        if known is None or not observed.is_valid(took_ms, size or 0.0):
            return
        now_ms = self._clock.now_ms()
        times = self._stages.get((known.service, stage))
        if times is None:
            times = self._stages[known.service, stage] = _StageTimes(stage)
        slowdown = max(1.0, self._reported(engine))
        times.record_work(engine, now_ms)
        if size is not None:
            times.add(engine, observed.Observation(size, took_ms, slowdown))
        interval_ms = max(
            _MIN_UPDATE_INTERVAL_MS,
            len(self._engines) * _UPDATE_INTERVAL_PER_ENGINE_MS,
        )
        if now_ms - self._updated_ms >= interval_ms:
            self._updated_ms = now_ms
            self._update(now_ms)

    def _update(self, now_ms: float) -> None:
        relative: dict[Stage, dict[str, float]] = {s: {} for s in Stage}
        self._contradicted.clear()
        for (_, stage), times in self._stages.items():
            times.update(now_ms)
            relative[stage].update(times.relative)
            self._contradicted |= times.contradicted
        weights = {stage: self._weights_of(stage) for stage in relative}
        for stage, unequal in self._unequal.items():
            other = Stage.DECODE if stage is Stage.PREFILL else Stage.PREFILL
            unequal.clear()
            for name in relative[stage].keys() | relative[other].keys():
                value = 1.0
                # A machine that is slow at one kind of work most likely is at
                # the other, which is all that is known after a role change.
                for of_stage in (other, stage):
                    value = _weighted(
                        relative[of_stage].get(name, 1.0),
                        weights[of_stage].get(name, 0.0),
                        prior=value,
                    )
                if abs(value - 1.0) >= EQUAL_SHARE:
                    unequal[name] = value
            self._log.update(stage.value, unequal)

    def _weights_of(self, stage: Stage) -> dict[str, float]:
        weights: dict[str, float] = {}
        for (_, of_stage), times in self._stages.items():
            if of_stage is stage:
                weights.update(times.weights)
        return weights


class _StageTimes:
    """Observed times of one service's engines for one kind of work.

    Args:
        stage: The kind of work.

    Attributes:
        relative: Counted times relative to the median engine's.
        weights: Weights of these against the prior, 0 to 1.
        contradicted: Engines whose observed times contradict the slowdown that
            they reported.
    """

    def __init__(self, stage: Stage) -> None:
        self.relative: dict[str, float] = {}
        self.weights: dict[str, float] = {}
        self.contradicted: set[str] = set()
        self._expected = observed.ExpectedTimes(
            is_proportional=stage is Stage.PREFILL
        )
        self._engines: dict[str, observed.EngineTimes] = {}
        self._changed: set[str] = set()
        self._count = 0
        self._fit_at_count = observed.MIN_FITTED
        self._fitted_ms = float("-inf")

    def record_work(self, engine: str, now_ms: float) -> None:
        """Records that an engine works, whether its time counts or not."""
        times = self._engines.get(engine)
        if times is None:
            times = self._engines[engine] = observed.EngineTimes()
        times.worked_ms = now_ms

    def add(self, engine: str, observation: observed.Observation) -> None:
        """Adds an observation of an engine whose work was recorded."""
        self._engines[engine].add(observation)
        self._changed.add(engine)
        self._expected.add(observation)
        self._count += 1

    def remove(self, engines: Iterable[str]) -> None:
        """Drops the observations of engines."""
        for name in engines:
            self._engines.pop(name, None)
            self._changed.discard(name)

    def update(self, now_ms: float) -> None:
        """Updates the relative times from the observations."""
        self._fit_if_due(now_ms)
        oldest_ms = now_ms - observed.MAX_IDLE_MS
        idle = [n for n, t in self._engines.items() if t.worked_ms < oldest_ms]
        self.remove(idle)
        for name in self._changed:
            self._engines[name].update(self._expected)
        self._changed.clear()
        self._compare()

    def _fit_if_due(self, now_ms: float) -> None:
        # The first fits are made at growing numbers of observations.
        is_early = self._count >= self._fit_at_count
        is_due = now_ms - self._fitted_ms >= _FIT_INTERVAL_MS
        if not is_early and not is_due:
            return
        if is_early:
            self._fit_at_count *= 2
        self._fitted_ms = now_ms
        self._expected.fit()
        self._changed.update(self._engines)

    def _compare(self) -> None:
        self.relative.clear()
        self.weights.clear()
        self.contradicted.clear()
        usual = [t.usual for t in self._engines.values()]
        slowed = [t.slowed for t in self._engines.values()]
        times = [t.time for t in usual if t is not None]
        times = times or [t.time for t in slowed if t is not None]
        if len(self._engines) < 2 or not times:
            return
        reference = statistics.median(times)
        for name, engine in self._engines.items():
            if not engine.is_credible(reference):
                self.contradicted.add(name)
            lasting = engine.lasting(reference)
            if lasting is not None:
                count = lasting.count
                self.relative[name] = lasting.relative_to(reference)
                self.weights[name] = count / (count + _PRIOR_WEIGHT)


def _weighted(value: float, weight: float, prior: float) -> float:
    """Returns the weighted geometric mean of a figure and its prior."""
    if not weight:
        return prior
    return float(value**weight * prior ** (1.0 - weight))
