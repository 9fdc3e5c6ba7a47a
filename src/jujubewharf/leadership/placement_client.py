"""Asks the leader to reserve memory for requests.

Handles a leader that is killed, frozen or cut off while hundreds of requests
wait: liveness checks end the wait, and the request is then placed locally.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import itertools

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs
from jujubewharf.leadership import shared_state
from jujubewharf.peers import leader_messages
from jujubewharf.peers import link as links
from jujubewharf.peers import messages
from jujubewharf.peers import network

# Interval and timeout of liveness checks while an answer is pending. They bound
# what a waiting request loses to a frozen leader to half a second, which most
# latency targets allow.
_LIVENESS_INTERVAL_MS = 150.0
_LIVENESS_TIMEOUT_MS = 350.0


class PlacementClient:
    """The follower's side of placements.

    Args:
        link: Returns the link to the leader; ``None`` if there is none.
        registry: Known engines by name.
        state: State that all instances share.
        clock: Clock.
    """

    def __init__(
        self,
        link: Callable[[], links.Link | None],
        registry: registries.Registry,
        state: shared_state.SharedState,
        clock: clocks.Clock,
    ) -> None:
        self._link = link
        self._registry = registry
        self._state = state
        self._clock = clock
        self._sequence = itertools.count(1)

    @contextlib.asynccontextmanager
    async def place(
        self, run: runs.Run
    ) -> AsyncIterator[all_places.Reservation | None]:
        """Reserves memory through the leader, and holds it for the block.

        Yields:
            ``None`` if the leader did not answer, or chose an engine that is
            unknown here.

        Raises:
            WharfError: The leader refused the request.
        """
        number = next(self._sequence)
        reservation: all_places.Reservation | None = None
        is_complete = False
        try:
            reservation = await self._request_reservation(number, run)
            yield reservation
            is_complete = True
        finally:
            is_reservation_used = (
                reservation is not None and reservation.take_id() is None
            )
            self._tell(
                leader_messages.PlacementReleased(
                    number, is_complete, is_reservation_used
                )
            )

    async def _request_reservation(
        self, number: int, run: runs.Run
    ) -> all_places.Reservation | None:
        started_ms = self._clock.now_ms()
        link = self._link()
        if link is None:
            return None
        try:
            answer = await self._await_answer(link, number, run)
        except network.PeerError as error:
            request_log.log_local_placement(
                run, error.fault.value, leader=error.peer
            )
            return None
        waited_ms = self._clock.now_ms() - started_ms
        match answer:
            case leader_messages.PlacementGranted():
                # The leader counted the request against its quota.
                run.is_counted = True
                reservation = self._to_reservation(number, answer)
                if reservation is None:
                    request_log.log_local_placement(
                        run, "unknown_engine", leader=link.peer
                    )
                    return None
                request_log.log_placement(
                    run,
                    answer.engine,
                    tokens=answer.tokens,
                    free_tokens=0,
                    waited_ms=waited_ms,
                    decided_by="following",
                    ahead=answer.ahead,
                )
                return reservation
            case leader_messages.PlacementRejected():
                raise self._refusal(run, answer, waited_ms, leader=link.peer)
            case _:
                request_log.log_local_placement(
                    run, "not_understood", leader=link.peer
                )
                return None

    async def _await_answer(
        self, link: links.Link, number: int, run: runs.Run
    ) -> messages.Message:
        """Waits for the leader's answer, with liveness checks.

        Requests stay in the leader's wait queue for as long as they can meet
        their latency target. Without the checks, a frozen or unreachable leader
        would cost them all of that time before they are placed locally.

        Raises:
            PeerError: The leader does not respond, or refuses the message.
        """
        left_ms = max(1.0, run.left_ms(self._clock))
        request = self._place_request(number, run)
        pending = asyncio.ensure_future(link.ask(request, timeout_ms=left_ms))
        interval_s = _LIVENESS_INTERVAL_MS / clocks.MS_PER_S
        try:
            while not (await asyncio.wait([pending], timeout=interval_s))[0]:
                liveness_check = leader_messages.LivenessRequest()
                await link.ask(liveness_check, timeout_ms=_LIVENESS_TIMEOUT_MS)
        except network.PeerError:
            link.close()
            raise
        finally:
            pending.cancel()
            # Retrieve its exception, since it may have failed along with the
            # link.
            await asyncio.gather(pending, return_exceptions=True)
        return pending.result()

    def _place_request(
        self, number: int, run: runs.Run
    ) -> leader_messages.PlacementRequest:
        work = run.call.work
        backoffs_ms = self._state.backpressure.backoffs_ms()
        return leader_messages.PlacementRequest(
            number=number,
            request_id=run.call.request_id,
            domain=run.domain,
            route=run.route.name,
            service=run.service,
            waited_ms=self._clock.now_ms() - run.call.arrived_ms,
            left_ms=run.left_ms(self._clock),
            caller_timeout_ms=run.call.caller_timeout_ms,
            may_have_run=run.may_have_run,
            lost_by=tuple(sorted(run.lost_by)),
            prompt_tokens=None if work is None else work.prompt_tokens,
            output_tokens=0 if work is None else work.output_tokens,
            expected_tokens=None if work is None else work.expected_tokens,
            account=run.call.account,
            is_counted=run.is_counted,
            backoffs=tuple(
                leader_messages.EngineBackoff(engine, for_ms)
                for engine, for_ms in backoffs_ms.items()
            ),
            version=None if run.origin is None else run.origin.version,
        )

    def _to_reservation(
        self, number: int, placed: leader_messages.PlacementGranted
    ) -> all_places.Reservation | None:
        engine = self._registry.get(placed.engine)
        if engine is None:
            # The engine was registered too recently to be known here, or it has
            # left since.
            return None
        reservation = all_places.Reservation(
            engine,
            placed.reservation_id,
            reserved_at_ms=self._clock.now_ms(),
            tokens=placed.tokens,
            memory_share=placed.memory_share,
            has_permit=placed.has_permit,
        )
        engines = [self._registry.get(name) for name in placed.prefill_engines]
        reservation.prefill_engines = [
            prefill_engine
            for prefill_engine in engines
            if prefill_engine is not None
        ]
        reservation.on_prefill_done = lambda: self._tell(
            leader_messages.PrefillEnded(number)
        )
        return reservation

    def _refusal(
        self,
        run: runs.Run,
        answer: leader_messages.PlacementRejected,
        waited_ms: float,
        *,
        leader: str,
    ) -> errors.WharfError:
        request_log.log_leader_refusal(
            run,
            leader=leader,
            waited_ms=waited_ms,
            come_back_ms=answer.retry_after_ms,
            is_over_quota=answer.is_over_quota,
        )
        if run.may_have_run:
            return run.failure()
        kind = errors.ErrorKind.QUEUE_FULL
        if answer.is_over_quota:
            kind = errors.ErrorKind.RATE_LIMITED
        return errors.WharfError(kind, retry_after_ms=answer.retry_after_ms)

    def _tell(self, message: messages.Message) -> None:
        link = self._link()
        if link is not None:
            link.tell(message)
