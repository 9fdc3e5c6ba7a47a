"""What this instance knows of each engine, and which one it tries next."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import enum

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
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
# An engine that refused for want of room is left alone this long. Requests
# last seconds, so asking sooner would mostly be refused again; asking later
# would leave room unused that another request would have taken.
FULL_MS = 60.0


class Standing(enum.Enum):
    """Whether an engine is asked now, or why it isn't."""

    ASKED = "asked"
    UNREACHABLE = "unreachable"
    OTHER_ROLE = "other_role"
    FULL = "full"


@dataclasses.dataclass(slots=True)
class EngineView:
    """One engine as this instance sees it.

    Attributes:
        breaker: Keeps work away while calls fail.
        held_tokens: Memory that this instance's requests hold there.
        reading_tokens: Prompt tokens that this instance has it read now.
        full_until_ms: Until when its last refusal is believed.
        absent_until_ms: Until when it is thought to take no work of its role.
        role: Role that it had registered last.
    """

    breaker: breakers.Breaker
    held_tokens: int = 0
    reading_tokens: int = 0
    full_until_ms: float = 0.0
    absent_until_ms: float = 0.0
    role: resources.Role | None = None


class EnginePool:
    """Orders engines by how promising a try is.

    Args:
        domain: Failure domain of this instance.
        clock: Time.
    """

    def __init__(self, domain: str, clock: clocks.Clock) -> None:
        self._domain = domain
        self._clock = clock
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
        last: Collection[str] = (),
    ) -> list[resources.Endpoint]:
        """Engines worth asking for a decode slot, the best first.

        Those that refused lately or can't be reached are left out for a
        while, those that lose answers come last.

        Args:
            engines: Those to choose from.
            last: Engines that have failed the request already; a request that
                went back there would most likely fail again.
        """
        asked = [
            engine
            for engine in engines
            if engine.can_decode and self._standing(engine) is Standing.ASKED
        ]
        return sorted(
            asked, key=lambda e: (e.name in last, self._decode_rank(e))
        )

    def standings(
        self, engines: Sequence[resources.Endpoint]
    ) -> dict[str, list[str]]:
        """Decode engines by whether or why not they are asked, for logs."""
        found: dict[str, list[str]] = {}
        for engine in engines:
            if engine.can_decode:
                standing = self._standing(engine).value
                found.setdefault(standing, []).append(engine.name)
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
        able = [
            engine
            for engine in engines
            if engine.role is resources.Role.PREFILL
            and self._standing(engine) is Standing.ASKED
        ]
        return sorted(able, key=lambda e: self._prefill_rank(e, near))

    def failed(self, error: client.EngineError) -> None:
        """Learns that a call to an engine failed."""
        view = self.view(error.engine)
        now_ms = self._clock.now_ms()
        match error.fault:
            case client.EngineFault.REFUSED_FULL:
                view.full_until_ms = now_ms + FULL_MS
            case client.EngineFault.REFUSED_ROLE:
                view.absent_until_ms = now_ms + ABSENT_MS
            case client.EngineFault.KV_GONE:
                view.absent_until_ms = now_ms + UNFETCHED_MS
            case _:
                view.breaker.failed(error.fault)

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

    @contextlib.contextmanager
    def reading(self, name: str, tokens: int) -> Iterator[None]:
        """Counts a prompt that an engine reads for us, for the block."""
        view = self.view(name)
        view.reading_tokens += tokens
        try:
            yield
        finally:
            view.reading_tokens -= tokens

    def _standing(self, engine: resources.Endpoint) -> Standing:
        view = self.view(engine.name)
        now_ms = self._clock.now_ms()
        if view.breaker.is_open:
            return Standing.UNREACHABLE
        if view.absent_until_ms > now_ms:
            return Standing.OTHER_ROLE
        if view.full_until_ms > now_ms:
            return Standing.FULL
        return Standing.ASKED

    def _decode_rank(
        self, engine: resources.Endpoint
    ) -> tuple[bool, bool, int, str]:
        view = self.view(engine.name)
        return (
            view.breaker.is_doubtful,
            # Before load: an answer that crosses domains dies with a cut
            # between them, and engines with room are equally fast.
            engine.domain != self._domain,
            view.held_tokens,
            engine.name,
        )

    def _prefill_rank(
        self, engine: resources.Endpoint, near: str
    ) -> tuple[bool, int, bool, str]:
        view = self.view(engine.name)
        return (
            view.breaker.is_doubtful,
            view.reading_tokens,
            engine.domain != near,
            engine.name,
        )
