"""What this instance knows of each engine, and which one it tries next."""

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

# An engine that has another role than is known here is left alone this long,
# in which its new registration is read.
ABSENT_MS = 1_000.0
# One that is changing its role first ends its answers, for up to seven seconds,
# and then is away for six. To ask sooner costs a prompt that is read for
# nothing: asked every 4 s by six instances, one engine took 12.2 s from the
# order to its new role, left alone 9.1 s. Its new registration ends this time.
CHANGING_MS = 10_000.0
# The same for a prefill engine whose results can't be fetched.
UNFETCHED_MS = 3_000.0
# An engine that refused for want of room is left alone for this part of the
# time in which one answer's memory comes free there, and each further time
# twice as long, up to the second part. All instances ask: sooner would mostly
# be refused again, later would leave room unused.
_FIRST_PAUSE = 1 / 8
_LONGEST_PAUSE = 1 / 2
# That time before it was observed.
_UNKNOWN_FREE_MS = 400.0
# Part of an engine's memory up to which its room needn't be checked. What is
# left takes up all by which answers outgrow what was reserved for them.
_CLEAR_PART = 0.7
# Part of an engine's memory by which another one has to hold less to be asked
# before an engine of the request's own domain.
_LOAD_STEP = 1 / 4
# Prefill engines whose waits differ by less are alike; the nearer one is taken.
_ALIKE_MS = 20.0
# Reading time of a token before it was observed; it only ranks engines.
_UNKNOWN_TOKEN_MS = 0.05


class Standing(enum.Enum):
    """Whether an engine is asked now, or why it isn't."""

    ASKED = "asked"
    UNREACHABLE = "unreachable"
    OTHER_ROLE = "other_role"
    FULL = "full"
    DEFERRED = "deferred"


@dataclasses.dataclass(slots=True)
class EngineView:
    """One engine as this instance sees it.

    Attributes:
        breaker: Keeps work away while calls fail.
        held_tokens: Memory that this instance's requests hold there.
        reading_tokens: Prompt tokens that this instance has it read now.
        full_until_ms: Until when its last refusal is believed.
        refused_tokens: Least room that it refused in that time; less may still
            be there.
        refusals: Its refusals in a row.
        read_wait_ms: Time that its last prompt waited before it was read.
        read_at_ms: When that was learned.
        read_ended_ms: When it was last known to have ended a reading.
        absent_until_ms: Until when it is thought to take no work of its role.
        role: Role that it had registered last.
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
    """Orders engines by how promising a try is.

    Args:
        work: What requests cost.
        restraints: What engines want.
        clock: Time.
        rng: Decides between engines that look alike; instances that all took
            the first by name would meet at one engine.
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
        """What is known of an engine; a new one is thought to be well."""
        view = self._views.get(name)
        if view is None:
            view = EngineView(breakers.Breaker(self._clock))
            self._views[name] = view
        return view

    def take_over(self, engines: Sequence[resources.Endpoint]) -> None:
        """Learns which engines there are, and their roles.

        Those that aren't among these and hold nothing of ours are forgotten.
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
        """Engines worth asking for a decode slot, the best first.

        Those that refused lately or can't be reached are left out for a
        while, those that lose answers come last.

        Args:
            engines: Those to choose from.
            tokens: Room that is needed.
            memory_tokens: Tokens that one engine's memory holds.
            near: Failure domain of the instance that passes the answer on.
            last: Engines that have failed the request already; a request that
                went back there would most likely fail again.
        """
        # Looked up once: most fleets have none, and hundreds of engines are
        # ranked for each request.
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
        """Whether an engine has far more room than is needed.

        Only who has placed all that the engine holds can tell.

        Args:
            name: The engine.
            tokens: Room that is needed.
            memory_tokens: Memory of the engine.
        """
        held = self.view(name).held_tokens
        return held + tokens <= memory_tokens * _CLEAR_PART

    def standings(
        self, engines: Sequence[resources.Endpoint], *, tokens: int
    ) -> dict[str, list[str]]:
        """Decode engines by whether or why not they are asked, for logs."""
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
        """Engines that may read a prompt, the best first.

        Args:
            engines: Those to choose from.
            near: Failure domain of the engine that will fetch the result;
                within a domain that takes half the time and a third of the
                cost.
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
        """Learns that a call to an engine failed."""
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
        """Learns that an engine hasn't so much memory free."""
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
        """Learns that an engine had memory, or has some of ours again."""
        view = self.view(name)
        view.full_until_ms = 0.0
        view.refusals = 0

    def read(self, name: str, *, took_ms: float, tokens: int) -> float:
        """Learns how long a prompt took at a prefill engine.

        What is over the time that reading takes it waited for others'.

        Returns:
            The part of that time after the engine's reading before had ended.
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
        """Learns that an engine answered."""
        self.view(name).breaker.answered()

    def changing(self, name: str) -> None:
        """Learns that an engine is carrying out an order."""
        until_ms = self._clock.now_ms() + CHANGING_MS
        self.view(name).absent_until_ms = until_ms

    def refused_reading(self, name: str) -> None:
        """Learns that a prefill engine takes no prompt now."""
        until_ms = self._clock.now_ms() + ABSENT_MS
        self.view(name).absent_until_ms = until_ms

    @contextlib.contextmanager
    def holding(self, name: str, tokens: int) -> Iterator[None]:
        """Counts memory of ours on an engine for the block."""
        view = self.view(name)
        view.held_tokens += tokens
        try:
            yield
        finally:
            view.held_tokens -= tokens
            self.has_room(name)

    @contextlib.contextmanager
    def reading(self, name: str, tokens: int) -> Iterator[None]:
        """Counts a prompt that an engine reads for us, for the block."""
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
            # It is in need; the others serve callers as well.
            engine.name in limited,
            # Before finer differences of load: an answer that crosses domains
            # dies with a cut between them, and engines with room are equally
            # fast.
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
        """Expected time until a prefill engine begins with a prompt.

        What this instance has it read counts as it is. What others have it
        read shows in how long the last prompt waited, and is worked off since.
        """
        token_ms = self._work.token_ms or _UNKNOWN_TOKEN_MS
        since_ms = self._clock.now_ms() - view.read_at_ms
        others_ms = max(0.0, view.read_wait_ms - since_ms)
        expected_ms = max(view.reading_tokens * token_ms, others_ms)
        return expected_ms // _ALIKE_MS
