"""Ends the wait for memory as soon as a request is quarantined."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import places
from jujubewharf.forwarding import quarantine as quarantines
from jujubewharf.forwarding import runs


class QuarantineAwarePlaces:
    """Wraps a ``places.Placer`` to end the wait of quarantined requests.

    A request may wait in the queue for seconds while other tries of it crash
    engines. It would be refused after the wait anyway, and until then would
    delay the requests behind it.

    Args:
        finder: Reserves memory on decode engines.
        quarantine: Rejects requests that crash engines.
        history: Crash history of requests.
    """

    def __init__(
        self,
        finder: places.Placer,
        quarantine: quarantines.Quarantine,
        history: crashes.CrashHistory,
    ) -> None:
        self._finder = finder
        self._quarantine = quarantine
        self._history = history
        self._waiting: dict[asyncio.Timeout, calls.Call] = {}
        history.on_quarantine = self._cancel_waits

    @contextlib.asynccontextmanager
    async def place(self, run: runs.Run) -> AsyncIterator[places.Reservation]:
        """Waits for memory and reserves it; see ``places.Placer``."""
        async with contextlib.AsyncExitStack() as stack:
            yield await self._wait(stack, run)

    async def _wait(
        self, stack: contextlib.AsyncExitStack, run: runs.Run
    ) -> places.Reservation:
        await self._quarantine.admit(run)
        while True:
            scope = asyncio.timeout(None)
            self._waiting[scope] = run.call
            try:
                async with scope:
                    return await stack.enter_async_context(
                        self._finder.place(run)
                    )
            except TimeoutError:
                if not scope.expired():
                    raise
                # Continues waiting if the request was cleared meanwhile.
                self._history.check(run.call)
            finally:
                self._waiting.pop(scope, None)

    def _cancel_waits(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Ends the waits of a request that was quarantined."""
        for scope, call in list(self._waiting.items()):
            if self._history.concerns(fingerprint, call):
                del self._waiting[scope]
                scope.reschedule(asyncio.get_running_loop().time())
