"""Bodies of the answers of in-memory engines and plain endpoints."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.standins import backend_processes
from jujubewharf.standins import backend_state

ENDLESS_MS = 1e9
# Pieces in which a plain answer without a length is written.
_PIECES = 4


class AnswerBodies:
    """Writes answers as their backends' faults have them.

    Args:
        processes: Waits as the backends' processes do.
        clock: Clock of the simulation.
        is_crashing: Whether a request crashes the backend that runs it.
    """

    def __init__(
        self,
        processes: backend_processes.Processes,
        clock: clocks.Clock,
        is_crashing: Callable[[calls.Call], bool],
    ) -> None:
        self._processes = processes
        self._clock = clock
        self._is_crashing = is_crashing

    async def events(
        self,
        backend: backend_state.StandInBackend,
        sending: calls.OutboundRequest,
        run: backend_state.StartedRun,
        *,
        is_framed: bool,
    ) -> AsyncGenerator[bytes, None]:
        """Yields the events of an answer.

        Args:
            backend: The backend that answers.
            sending: The request.
            run: Records the events.
            is_framed: Whether a crash breaks the answer off; if not, the body
                just ends, as its connection does.

        Raises:
            EngineError: The answer broke off.
        """
        first = (sending.after_event or 0) + 1
        for number in range(first, backend.events + 1):
            try:
                await self._processes.sleep_unless_crashed(
                    backend, backend.event_ms
                )
            except client.EngineError:
                if is_framed:
                    raise
                # The end of the connection is the end of such a body.
                return
            if number == backend.events and self._is_crashing(sending.call):
                await self._processes.sleep_unless_crashed(backend, ENDLESS_MS)
            if number == backend.skipped_event:
                continue
            run.progress.events_ms[number] = self._clock.now_ms()
            yield event(
                sending.call.request_id, number, backend.software_version
            )
            if number == backend.breaks_after:
                yield b"id: "
                raise backend.error(client.EngineFault.LOST, "broke off")
            if number == backend.ends_after:
                yield b"id: "
                return
            if number == backend.stalls_after:
                await self._clock.sleep_ms(ENDLESS_MS)

    async def pieces(
        self, backend: backend_state.StandInBackend, call: calls.Call
    ) -> AsyncGenerator[bytes, None]:
        """Yields the body of a plain answer without a length, as it is made.

        If the backend crashes the body just ends, as its connection does.
        """
        whole = call.request_id.encode()
        work_ms = ENDLESS_MS if self._is_crashing(call) else backend.work_ms
        piece_ms = work_ms / _PIECES
        size = max(1, -(-len(whole) // _PIECES))
        for start in range(0, len(whole), size):
            try:
                await self._processes.sleep_unless_crashed(backend, piece_ms)
            except client.EngineError:
                return
            yield whole[start : start + size]


def event(request_id: str, number: int, version: str = "") -> bytes:
    """Returns one server-sent event of a stand-in's answer.

    Args:
        request_id: Id of the request.
        number: Number of the event.
        version: Software version of the engine, if it has one.
    """
    data = " ".join(part for part in (request_id, version) if part)
    return f"id: {number}\ndata: {data}\n\n".encode()
