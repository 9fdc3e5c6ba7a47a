"""Watches of stand-in processes."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from jujubewharf.engines import liveness
from jujubewharf.standins import backend_state

StateOf = Callable[[], Awaitable[liveness.ProcessState]]


class StandInWatch:
    """Implements ``process_watch.ProcessWatch``.

    Args:
        backend: The backend; ``None`` if there is none of that name.
        look: Looks for the process that is there at the end of the answer.
    """

    def __init__(
        self, backend: backend_state.StandInBackend | None, look: StateOf
    ) -> None:
        # Each start of a process has an event of its own.
        self._has_crashed = None if backend is None else backend.has_crashed
        self._look = look

    def on_part(self) -> None:
        """Records a part; see ``process_watch.ProcessWatch``."""

    async def state(self) -> liveness.ProcessState:
        """Returns the state; see ``process_watch.ProcessWatch``."""
        state = await self._look()
        is_gone = self._has_crashed is not None and self._has_crashed.is_set()
        if state is liveness.ProcessState.RUNNING and is_gone:
            return liveness.ProcessState.GONE
        return state
