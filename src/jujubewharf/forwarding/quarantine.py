"""Admits requests, but not those that crash engines."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import decisions
from jujubewharf.forwarding import runs


class Trials(Protocol):
    """Lets one try of a request in quarantine through, over all instances."""

    async def take(self, call: calls.Call) -> bool:
        """Whether this try is the one."""
        ...


class Quarantine:
    """Decides whether a try may go to an engine.

    Args:
        history: Tells under which requests engines crashed.
        trials: Let one try of such a request through.
    """

    def __init__(self, history: crashes.CrashHistory, trials: Trials) -> None:
        self._history = history
        self._trials = trials

    async def admit(self, run: runs.Run) -> None:
        """Passes where a request may go to an engine, or to one more.

        Asked before it uses anything up. A stream that goes on at another
        engine is asked again: the engine before may have been the third.

        Raises:
            WharfError: ``QUARANTINED``.
        """
        if not self._history.is_quarantined(run.call):
            return
        if not run.call.is_trial and await self._trials.take(run.call):
            decisions.let_through(run)
            run.call = dataclasses.replace(run.call, is_trial=True)
        self._history.check(run.call)
