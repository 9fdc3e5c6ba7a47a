"""State of the engines as this instance knows it, and their selection."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import enum
import random

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import restraints as all_restraints
from jujubewharf.routing import breaker as breakers

# Time for which an engine is skipped after it refused a request because it has
# another role. Its new registration is read within that time.
ABSENT_MS = 1_000.0
# Time for which an engine that changes its role is skipped unless its new
# registration arrives earlier. It first completes its responses and then
# restarts; requests sent meanwhile would prolong that.
CHANGING_MS = 10_000.0
# Time for which a prefill engine whose results can't be fetched is skipped.
UNFETCHED_MS = 3_000.0
# Time for which an engine that refused for lack of memory is skipped, as a
# share of the mean time between releases of memory. It doubles with each
# further refusal up to the second share. Other instances compete for the same
# memory: shorter pauses cause more refusals, longer ones leave memory unused.
_FIRST_PAUSE = 1 / 8
_LONGEST_PAUSE = 1 / 2
# Time between releases of memory that is assumed before it was observed.
_UNKNOWN_FREE_MS = 400.0
# Share of an engine's memory below which no check for headroom is needed. The
# rest absorbs responses that outgrow their reservations.
_CLEAR_PART = 0.7
# Difference in reserved memory, as a share of an engine's memory, from which
# a less loaded engine is preferred to one of the request's own domain.
_LOAD_STEP = 1 / 4
# Prefill engines whose expected waits differ by less than this count as equal;
# the domain then decides.
_ALIKE_MS = 20.0
# Prefill time per token that is assumed before it was observed. Only affects
# the ranking of engines.
_UNKNOWN_TOKEN_MS = 0.05


class Standing(enum.Enum):
    """Whether an engine is asked at present, or why it is skipped."""

    ASKED = "asked"
    UNREACHABLE = "unreachable"
    OTHER_ROLE = "other_role"
    FULL = "full"
    DEFERRED = "deferred"


@dataclasses.dataclass(slots=True)
class EngineView:
    """State of one engine as this instance knows it.

    Attributes:
        breaker: Circuit breaker for calls to the engine.
        held_tokens: Memory reserved there by this instance, in tokens.
        reading_tokens: Prompt tokens of this instance in prefill there.
        full_until_ms: Clock reading until which the last refusal for lack of
            memory applies.
        refused_tokens: Smallest refused amount within that time, in tokens;
            smaller requests may still fit.
        refusals: Number of consecutive refusals for lack of memory.
        read_wait_ms: Time that the last prompt was queued before prefill.
        read_at_ms: Clock reading at which ``read_wait_ms`` was recorded.
        read_ended_ms: Clock reading at which the last prefill ended.
        absent_until_ms: Clock reading until which the engine is expected to
            refuse requests for its registered role.
        role: Last registered role.
    """

    breaker: breakers.Breaker
    held_tokens: int = 0
    reading_tokens: int = 0
    full_until_ms: float = 0.0
    refused_tokens: int = 0
    refusals: int = 0
    read_wait_ms: float = 0.0
    read_at_ms: float = 0.0
    read_ended_ms: float = float("-inf")
    absent_until_ms: float = 0.0
    role: resources.Role | None = None


class EnginePool:
    """Tracks the state of engines and ranks them for requests.

    Args:
        work: Cost estimates.
        restraints: Rate limits, backoffs and drains that engines announced.
        clock: Clock for pauses and circuit breakers.
        rng: Breaks ties at random, so that instances don't all select the
            same engine.
    """

    def __init__(
        self,
        work: costs.WorkCosts,
        restraints: all_restraints.Restraints,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._work = work
        self._restraints = restraints
        self._clock = clock
        self._rng = rng
        self._views: dict[str, EngineView] = {}

    def view(self, name: str) -> EngineView:
        """Returns the state of an engine; a new one is assumed healthy."""
        view = self._views.get(name)
        if view is None:
            view = EngineView(breakers.Breaker(self._clock))
            self._views[name] = view
        return view

    def take_over(self, engines: Sequence[resources.Endpoint]) -> None:
        """Updates the set of engines and their roles.

        Drops the state of engines that are missing from ``engines`` and have
        no work of this instance.
        """
        for engine in engines:
            if engine.role is resources.Role.PLAIN:
                continue
            view = self.view(engine.name)
            if view.role is not engine.role:
                view.role = engine.role
                view.absent_until_ms = 0.0
        names = {engine.name for engine in engines}
        for name, view in list(self._views.items()):
            is_used = view.held_tokens or view.reading_tokens
            if name not in names and not is_used:
                del self._views[name]

    def to_decode(
        self,
        engines: Sequence[resources.Endpoint],
        *,
        tokens: int,
        memory_tokens: int,
        near: str,
        last: Collection[str] = (),
    ) -> list[resources.Endpoint]:
        """Returns the decode engines to ask, the preferred one first.

        Skips engines that recently refused or can't be reached. Engines that
        have failed the request are ranked last.

        Args:
            engines: Engines to choose from.
            tokens: Required memory, in tokens.
            memory_tokens: Memory of one engine, in tokens.
            near: Failure domain of the instance that streams the response.
            last: Names of engines that have already failed the request and are
                likely to fail it again.
        """
        # Looked up once per call: most fleets have none, while hundreds of
        # engines are ranked for each request.
        waiting = self._restraints.waiting_names()
        limited = self._restraints.limited_names()
        asked = [
            engine
            for engine in engines
            if engine.can_decode
            and engine.name not in waiting
            and self._standing(engine, tokens) is Standing.ASKED
        ]
        step = max(1.0, memory_tokens * _LOAD_STEP)
        return sorted(
            asked,
            key=lambda e: (
                e.name in last,
                self._decode_rank(e, near, step, limited),
            ),
        )

    def has_clear_room(
        self, name: str, *, tokens: int, memory_tokens: int
    ) -> bool:
        """Returns whether an engine needs no check for free memory.

        Only meaningful if this instance made all of the engine's reservations.

        Args:
            name: Name of the engine.
            tokens: Required memory, in tokens.
            memory_tokens: Memory of the engine, in tokens.
        """
        held = self.view(name).held_tokens
        return held + tokens <= memory_tokens * _CLEAR_PART

    def standings(
        self, engines: Sequence[resources.Endpoint], *, tokens: int
    ) -> dict[str, list[str]]:
        """Groups decode engines by their standing, for log lines."""
        found: dict[str, list[str]] = {}
        for engine in engines:
            if engine.can_decode:
                standing = self._standing(engine, tokens)
                if self._restraints.must_wait(engine.name):
                    standing = Standing.DEFERRED
                found.setdefault(standing.value, []).append(engine.name)
        return found

    def to_prefill(
        self, engines: Sequence[resources.Endpoint], *, near: str
    ) -> list[resources.Endpoint]:
        """Returns the prefill engines to ask, the preferred one first.

        Args:
            engines: Engines to choose from.
            near: Failure domain of the engine that will fetch the result;
                transfers within a domain are faster and cheaper.
        """
        waiting = self._restraints.waiting_names()
        able = [
            engine
            for engine in engines
            if engine.role is resources.Role.PREFILL
            and engine.name not in waiting
            and self._standing(engine) is Standing.ASKED
        ]
        limited = self._restraints.limited_names()
        return sorted(able, key=lambda e: self._prefill_rank(e, near, limited))

    def failed(self, error: client.EngineError) -> None:
        """Records a failed call to an engine."""
        view = self.view(error.engine)
        now_ms = self._clock.now_ms()
        match error.fault:
            case client.EngineFault.REFUSED_ROLE:
                view.absent_until_ms = now_ms + ABSENT_MS
            case client.EngineFault.KV_GONE:
                view.absent_until_ms = now_ms + UNFETCHED_MS
            case _:
                view.breaker.failed(error.fault)

    def refused_room(self, name: str, tokens: int) -> None:
        """Records that an engine had less than ``tokens`` memory free."""
        view = self.view(name)
        now_ms = self._clock.now_ms()
        if now_ms < view.full_until_ms:
            view.refused_tokens = min(view.refused_tokens, tokens)
            return
        free_ms = self._work.decode_ms or _UNKNOWN_FREE_MS
        part = min(_LONGEST_PAUSE, _FIRST_PAUSE * 2**view.refusals)
        view.full_until_ms = now_ms + free_ms * part
        view.refused_tokens = tokens
        view.refusals += 1

    def has_room(self, name: str) -> None:
        """Clears earlier refusals after an engine had or regained memory."""
        view = self.view(name)
        view.full_until_ms = 0.0
        view.refusals = 0

    def read(self, name: str, *, took_ms: float, tokens: int) -> float:
        """Records the duration of a prefill.

        Any time above the expected prefill time counts as queueing.

        Returns:
            The part of ``took_ms`` since the engine's previous prefill ended,
            in milliseconds.
        """
        view = self.view(name)
        now_ms = self._clock.now_ms()
        busy_ms = min(took_ms, now_ms - view.read_ended_ms)
        view.read_ended_ms = now_ms
        token_ms = self._work.token_ms
        if token_ms is not None:
            view.read_wait_ms = max(0.0, took_ms - tokens * token_ms)
            view.read_at_ms = now_ms
        return busy_ms

    def answered(self, name: str) -> None:
        """Records a successful call to an engine."""
        self.view(name).breaker.answered()

    def changing(self, name: str) -> None:
        """Records that an engine is changing its role."""
        until_ms = self._clock.now_ms() + CHANGING_MS
        self.view(name).absent_until_ms = until_ms

    def refused_reading(self, name: str) -> None:
        """Records that a prefill engine refused a prompt."""
        until_ms = self._clock.now_ms() + ABSENT_MS
        self.view(name).absent_until_ms = until_ms

    @contextlib.contextmanager
    def holding(self, name: str, tokens: int) -> Iterator[None]:
        """Counts memory as reserved on an engine while the block runs."""
        view = self.view(name)
        view.held_tokens += tokens
        try:
            yield
        finally:
            view.held_tokens -= tokens
            self.has_room(name)

    @contextlib.contextmanager
    def reading(self, name: str, tokens: int) -> Iterator[None]:
        """Counts a prompt as in prefill on an engine while the block runs."""
        view = self.view(name)
        view.reading_tokens += tokens
        try:
            yield
        finally:
            view.reading_tokens -= tokens

    def _standing(
        self, engine: resources.Endpoint, tokens: int = 0
    ) -> Standing:
        view = self.view(engine.name)
        now_ms = self._clock.now_ms()
        if view.breaker.is_open:
            return Standing.UNREACHABLE
        if view.absent_until_ms > now_ms:
            return Standing.OTHER_ROLE
        if view.full_until_ms > now_ms and tokens >= view.refused_tokens:
            return Standing.FULL
        return Standing.ASKED

    def _decode_rank(
        self,
        engine: resources.Endpoint,
        near: str,
        step: float,
        limited: frozenset[str],
    ) -> tuple[bool, int, bool, bool, int, float]:
        view = self.view(engine.name)
        return (
            view.breaker.is_doubtful,
            int(view.held_tokens // step),
            # Engines with a rate limit are overloaded, so others go first.
            engine.name in limited,
            # Ranked before small differences in load: a response that crosses
            # domains fails with a partition between them, and all engines with
            # free memory are equally fast.
            engine.domain != near,
            view.held_tokens,
            self._rng.random(),
        )

    def _prefill_rank(
        self, engine: resources.Endpoint, near: str, limited: frozenset[str]
    ) -> tuple[bool, bool, float, bool, float]:
        view = self.view(engine.name)
        return (
            view.breaker.is_doubtful,
            engine.name in limited,
            self._read_ms(view),
            engine.domain != near,
            self._rng.random(),
        )

    def _read_ms(self, view: EngineView) -> float:
        """Returns the expected time until a prefill engine starts a prompt.

        Prompts of this instance are known. Those of other instances are
        estimated from how long the last prompt was queued, less the time since.
        """
        token_ms = self._work.token_ms or _UNKNOWN_TOKEN_MS
        since_ms = self._clock.now_ms() - view.read_at_ms
        others_ms = max(0.0, view.read_wait_ms - since_ms)
        expected_ms = max(view.reading_tokens * token_ms, others_ms)
        return expected_ms // _ALIKE_MS
