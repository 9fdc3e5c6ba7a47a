"""Waiting for memory, ended at once for a request that crashes engines."""

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


class WatchedPlaces:
    """Implements ``places.Places`` over another one.

    A try may wait in line for seconds, here or at the leader, while other tries
    of the same request crash engines. It would be refused at the end all the
    same, and until then stand before those that can be served.

    Args:
        finder: Finds memory for requests.
        quarantine: Admits none that crash engines.
        history: Tells which have begun to do so.
    """

    def __init__(
        self,
        finder: places.Places,
        quarantine: quarantines.Quarantine,
        history: crashes.CrashHistory,
    ) -> None:
        self._finder = finder
        self._quarantine = quarantine
        self._history = history
        self._waiting: dict[asyncio.Timeout, calls.Call] = {}
        history.on_quarantine = self._end

    @contextlib.asynccontextmanager
    async def place(self, run: runs.Run) -> AsyncIterator[places.Place]:
        """Waits for memory and holds it; see ``places.Places``."""
        async with contextlib.AsyncExitStack() as stack:
            yield await self._wait(stack, run)

    async def _wait(
        self, stack: contextlib.AsyncExitStack, run: runs.Run
    ) -> places.Place:
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
                # It goes on where it has been cleared meanwhile.
                self._history.check(run.call)
            finally:
                self._waiting.pop(scope, None)

    def _end(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Ends the waits of a request that is in quarantine now."""
        for scope, call in list(self._waiting.items()):
            if fingerprints.Outline.from_call(call) != fingerprint.outline:
                continue
            if fingerprints.Fingerprint.from_call(call) == fingerprint:
                del self._waiting[scope]
                scope.reschedule(asyncio.get_running_loop().time())
