"""Placement and observations that use the leader if there is one."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from jujubewharf.engines import client
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import placement as placements
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import runs
from jujubewharf.leadership import leader_link
from jujubewharf.peers import leader_messages
from jujubewharf.stream_versions import resumptions


class FleetPlacer:
    """Implements ``Placer`` through the leader if there is one.

    Args:
        leader: The link to the leader.
        local: Local placement, for the leader and without a leader.
    """

    def __init__(
        self, leader: leader_link.LeaderLink, local: placements.Placement
    ) -> None:
        self._leader = leader
        self._local = local

    @contextlib.asynccontextmanager
    async def place(
        self, run: runs.Run
    ) -> AsyncIterator[all_places.Reservation]:
        """Waits for memory and holds it; see ``all_places.Placer``."""
        async with contextlib.AsyncExitStack() as stack:
            reservation: all_places.Reservation | None = None
            if self._leader.is_open:
                leader_context = self._leader.place(run)
                reservation = await leader_context.__aenter__()
                if reservation is not None and not resumptions.of_version(
                    run, [reservation.engine]
                ):
                    # A leader of an older build doesn't know versions.
                    reservation = None
                # Release a placement that can't be used here.
                if reservation is None:
                    await leader_context.__aexit__(None, None, None)
                else:
                    stack.push_async_exit(leader_context)
            is_from_leader = reservation is not None
            if reservation is None:
                reservation = await stack.enter_async_context(
                    self._local.place(run)
                )
            yield reservation
            if is_from_leader:
                self._local.record_hold_time(reservation)


class FleetObserver:
    """Records observations locally and reports them to the leader.

    Args:
        leader: The link to the leader.
        local: Local observations, for use without a leader.
        slowdown: Returns the slowdown that an engine reported here. The leader
            gets no answers of prefill engines that work for its followers.
    """

    def __init__(
        self,
        leader: leader_link.LeaderLink,
        local: observed.Observer,
        slowdown: Callable[[str], float] = lambda engine: 1.0,
    ) -> None:
        self._leader = leader
        self._local = local
        self._slowdown = slowdown

    def record_prefill(
        self,
        engine: str,
        took_ms: float,
        *,
        tokens: int,
        slowdown: float = 1.0,
    ) -> None:
        """See ``observations.Observer``."""
        slowdown = self._slowdown(engine)
        self._local.record_prefill(
            engine, took_ms, tokens=tokens, slowdown=slowdown
        )
        self._leader.tell(
            leader_messages.PrefillCompleted(engine, took_ms, tokens, slowdown)
        )

    def record_first_event(self, took_ms: float) -> None:
        """See ``observations.Observer``."""
        self._local.record_first_event(took_ms)
        self._leader.tell(leader_messages.FirstEventReceived(took_ms))

    def record_projection(
        self,
        projected_ms: float,
        *,
        memory_share: float,
        engine: str | None = None,
        event_ms: float | None = None,
    ) -> None:
        """See ``observations.Observer``."""
        self._local.record_projection(
            projected_ms,
            memory_share=memory_share,
            engine=engine,
            event_ms=event_ms,
        )
        self._leader.tell(
            leader_messages.ResponseProjected(
                projected_ms, memory_share, engine, event_ms
            )
        )

    def record_length(self, expected_tokens: int, tokens: int) -> None:
        """See ``observations.Observer``."""
        self._local.record_length(expected_tokens, tokens)
        self._leader.tell(
            leader_messages.ResponseLengthMeasured(expected_tokens, tokens)
        )

    def record_failure(self, error: client.EngineError) -> None:
        """See ``observations.Observer``."""
        self._local.record_failure(error)
        self._leader.tell(
            leader_messages.EngineFailed(error.engine, error.fault.value)
        )

    def record_role_change(self, engine: str) -> None:
        """See ``observations.Observer``."""
        self._local.record_role_change(engine)
        self._leader.tell(leader_messages.EngineRoleChanging(engine))

    def record_response_start(self, engine: str) -> None:
        """See ``observations.Observer``."""
        self._local.record_response_start(engine)

    def record_prefill_refusal(self, engine: str) -> None:
        """See ``observations.Observer``."""
        self._local.record_prefill_refusal(engine)
        self._leader.tell(leader_messages.PrefillRefused(engine))
