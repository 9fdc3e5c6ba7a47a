"""Bounds that answers keep while engines fall silent.

Each is derived from what callers are promised and from what the stand-ins
take, not from what was measured.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from jujubewharf import errors
from jujubewharf.forwarding import routes
from jujubewharf.standins import backend_state
from jujubewharf.standins import endpoint_cuts
from tests.leadership import silence_faults
from tests.leadership import silence_world

# After this time without an event a stream is looked for elsewhere, and the
# same before its first event.
SILENT_MS = 1_000.0
SILENT_FIRST_MS = 1_500.0
# What a placed resumption takes on the stand-ins: eight messages between the
# instance and the leader in another domain, the prefill, and one event.
PROMPT_TOKENS = 2_000
RESUMED_MS = (
    8 * 2.0
    + PROMPT_TOKENS * silence_world.PREFILL_TOKEN_MS
    + silence_world.EVENT_MS
)
# Time within which a run is closed that another one has taken over from.
CLOSED_MS = 50.0
# Time that a new run may go on beside a former engine that is awake.
BESIDE_MS = 400.0
# Time without other faults before and after a death, for bounds on what
# follows from it.
QUIET_MS = 3_000.0
_NEW_ONLY = endpoint_cuts.CutKind.NEW_ONLY.value
_EPSILON_MS = 2.0
_FOREVER_MS = float("inf")


@dataclasses.dataclass(slots=True)
class Asked:
    """A request and what its caller received.

    Attributes:
        request_id: Its id.
        path: Its path.
        instance: Instance that got it.
        at_ms: When it was sent.
        route: Route in force when its instance read it.
        caller_timeout_ms: Time that the caller waits for the end of the answer.
        status: HTTP status; ``None`` if there was no answer.
        body: Received bytes of the body.
        times_ms: When each event arrived.
        error: How it failed, if the instance told.
        ended_ms: When it ended.
        is_left: Whether the caller left, or its instance was killed.
    """

    request_id: str
    path: str
    instance: str
    at_ms: float
    route: routes.Route
    caller_timeout_ms: float | None = None
    status: int | None = None
    body: bytes = b""
    times_ms: list[float] = dataclasses.field(default_factory=list)
    error: errors.WharfError | None = None
    ended_ms: float = _FOREVER_MS
    is_left: bool = False

    @property
    def deadline_ms(self) -> float:
        """When its route's timeout or its caller's ends."""
        caller_ms = self.caller_timeout_ms or _FOREVER_MS
        return self.at_ms + min(self.route.timeout_ms, caller_ms)

    @property
    def numbers(self) -> list[int]:
        """Numbers of the received events."""
        lines = self.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]

    @property
    def is_whole(self) -> bool:
        """Whether all of the answer arrived."""
        if self.error is not None or self.status != 200:
            return False
        if not self.route.is_stream:
            return self.body == self.request_id.encode()
        return len(self.numbers) == silence_world.EVENTS


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """A stream whose engine died, and when it is due elsewhere.

    Attributes:
        asked: The request.
        kind: How the engine died.
        last_ms: When the last event arrived, or its first run began.
        due_ms: When the next event is due at the latest.
        next_ms: When the next event arrived.
    """

    asked: Asked
    kind: str
    last_ms: float
    due_ms: float
    next_ms: float

    @property
    def is_late(self) -> bool:
        """Whether the stream went on too late, or never."""
        return self.next_ms > self.due_ms + _EPSILON_MS


class Checks:
    """Checks the bounds of one history.

    Args:
        asked: All requests.
        runs: All runs that engines started.
        record: What was wrong, and when.
        has_budget: Whether an instance could retry, for an engine's service, at
            all times between two.
        engines_beside: Returns the other engines of an engine's service.
    """

    def __init__(
        self,
        asked: list[Asked],
        runs: list[backend_state.StartedRun],
        record: silence_faults.Record,
        *,
        has_budget: Callable[[str, str, float, float], bool],
        engines_beside: Callable[[str], list[str]],
    ) -> None:
        self._asked = asked
        self._record = record
        self._has_budget = has_budget
        self._engines_beside = engines_beside
        self._runs: dict[str, list[backend_state.StartedRun]] = {}
        for run in runs:
            self._runs.setdefault(run.request_id, []).append(run)

    def broken(self) -> dict[str, list[str]]:
        """Returns the requests that broke a bound, by bound."""
        found = {
            "ended": self._ended(),
            "order": self._out_of_order(),
            "late": [f"{r.asked.request_id} {r}" for r in self._late()],
            "once": self._ran_again(),
            "beside": self._beside(),
        }
        return {name: broken for name, broken in found.items() if broken}

    def _ended(self) -> list[str]:
        """Answers that we ended although their engine was sound."""
        return [
            f"{asked.request_id} {asked.path} at {asked.ended_ms:.0f} "
            f"of {asked.deadline_ms:.0f}: {asked.error}"
            for asked in self._asked
            if self._was_ended(asked)
        ]

    def _was_ended(self, asked: Asked) -> bool:
        if asked.is_left or asked.is_whole or self._is_refused(asked):
            return False
        if asked.ended_ms >= asked.deadline_ms - _EPSILON_MS:
            return False
        # A run that another one has taken over from was closed with its event.
        last_ms = max(asked.times_ms, default=asked.at_ms) + CLOSED_MS
        return any(
            run.at_ms <= asked.ended_ms
            and run.progress.closed_ms > last_ms
            and self._is_sound(asked, run)
            for run in self._runs.get(asked.request_id, ())
        )

    def _is_refused(self, asked: Asked) -> bool:
        error = asked.error
        return error is not None and error.ran is errors.Ran.NO

    def _is_sound(self, asked: Asked, run: backend_state.StartedRun) -> bool:
        """Whether an engine went on after any pause, on a path that held."""
        ended_ms = asked.ended_ms
        return self._record.silent_ms(
            run.engine
        ) > ended_ms and not self._record.is_cut(
            asked.instance, run.engine, run.at_ms, ended_ms
        )

    def _out_of_order(self) -> list[str]:
        return [
            f"{asked.request_id} {asked.numbers}"
            for asked in self._asked
            if asked.route.is_stream
            and asked.numbers != list(range(1, len(asked.numbers) + 1))
        ]

    def _ran_again(self) -> list[str]:
        broken = []
        for asked in self._asked:
            runs = self._runs.get(asked.request_id, [])
            is_once = asked.route.repeat is routes.Repeat.NEVER
            if is_once and len(runs) > 1:
                broken.append(f"{asked.request_id} ran {len(runs)} times")
            if self._is_refused(asked) and runs:
                broken.append(f"{asked.request_id} not run, but ran")
        return broken

    def _beside(self) -> list[str]:
        """Runs that went on beside a former engine that was awake."""
        broken = []
        for asked in self._asked:
            runs = self._runs.get(asked.request_id, [])
            for index, run in enumerate(runs):
                for former in runs[:index]:
                    beside_ms = self._beside_ms(asked.instance, former, run)
                    if beside_ms > BESIDE_MS:
                        broken.append(f"{asked.request_id} {beside_ms:.0f} ms")
        return broken

    def _beside_ms(
        self,
        instance: str,
        former: backend_state.StartedRun,
        run: backend_state.StartedRun,
    ) -> float:
        """Time that a run went on while the instance could hear the former."""
        record, from_ms = self._record, run.at_ms
        until_ms = min(run.progress.closed_ms, former.progress.closed_ms)
        is_deaf = record.is_paused(instance, from_ms, until_ms)
        if is_deaf or record.is_cut(instance, former.engine, from_ms, until_ms):
            return 0.0
        return record.awake_ms(former.engine, from_ms, until_ms)

    def _late(self) -> list[Resumption]:
        return [r for r in self.resumptions() if r.is_late]

    def resumptions(self) -> Iterator[Resumption]:
        """Streams that had all they needed when their engine died."""
        for asked in self._asked:
            if asked.route.repeat is not routes.Repeat.CONTINUE:
                continue
            runs = self._runs.get(asked.request_id, [])
            for count, run in enumerate(runs, start=1):
                found = self._resumption(asked, run)
                if found is None:
                    continue
                tried = {r.engine for r in runs[:count]}
                if len(tried) < asked.route.max_attempts:
                    if self._was_possible(found, run):
                        yield found

    def _resumption(
        self, asked: Asked, run: backend_state.StartedRun
    ) -> Resumption | None:
        """Returns when a stream is due, if its engine died beneath it."""
        last_ms, next_ms, limit_ms = run.at_ms, _FOREVER_MS, SILENT_FIRST_MS
        for number, at_ms in zip(asked.numbers, asked.times_ms, strict=True):
            if _brought(run, number):
                last_ms, limit_ms = at_ms, SILENT_MS
            elif at_ms > last_ms:
                next_ms = at_ms
                break
        given_up_ms = last_ms + limit_ms
        kind, silent_ms, proof_ms = self._fate(asked, run)
        silences_ms = run.at_ms, min(given_up_ms, run.progress.closed_ms)
        if not silences_ms[0] <= silent_ms <= silences_ms[1]:
            return None
        due_ms = max(last_ms, min(given_up_ms, proof_ms)) + RESUMED_MS
        has_ended = asked.is_left and asked.ended_ms <= due_ms
        if has_ended or asked.deadline_ms <= due_ms:
            return None
        if asked.is_whole and next_ms == _FOREVER_MS:
            return None
        return Resumption(asked, kind, last_ms, due_ms, next_ms)

    def _fate(
        self, asked: Asked, run: backend_state.StartedRun
    ) -> tuple[str, float, float]:
        """How a run's engine or path died, since when, and its proof's time."""
        record = self._record
        for span in record.cuts.get((asked.instance, run.engine), ()):
            if span.until_ms < run.at_ms or span.kind == _NEW_ONLY:
                continue
            is_reset = span.kind == endpoint_cuts.CutKind.RESET.value
            proof_ms = span.from_ms if is_reset else span.until_ms
            return f"cut {span.kind}", span.from_ms, proof_ms
        if run.engine not in record.deaths:
            return "", _FOREVER_MS, _FOREVER_MS
        death, death_ms = record.deaths[run.engine]
        silent_ms = record.silent_ms(run.engine)
        is_proven = death is silence_faults.Death.CRASH
        kind = death.value if silent_ms == death_ms else f"pause {death.value}"
        return kind, silent_ms, death_ms if is_proven else _FOREVER_MS

    def _was_possible(
        self, found: Resumption, run: backend_state.StartedRun
    ) -> bool:
        """Whether nothing else stood in the way of going on elsewhere."""
        record, asked = self._record, found.asked
        times = found.last_ms - QUIET_MS, found.due_ms
        others = self._engines_beside(run.engine)
        if record.is_turmoil(*times):
            return False
        for other in others:
            gone_ms = record.death_ms(other)
            if times[0] <= gone_ms <= times[1]:
                return False
            if record.is_paused(other, *times):
                return False
            if record.is_cut(asked.instance, other, *times):
                return False
        return self._has_budget(
            asked.instance, run.engine, found.last_ms, found.due_ms
        )


def _brought(run: backend_state.StartedRun, number: int) -> bool:
    return number in run.progress.events_ms
