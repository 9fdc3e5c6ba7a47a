"""Rejects requests that crash engines."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs


class Trials(Protocol):
    """Grants trials of quarantined requests across all instances."""

    async def take(self, call: calls.Call) -> bool:
        """Returns whether this try may run as a trial."""
        ...


class Quarantine:
    """Decides whether a request may be sent to an engine.

    Args:
        history: Crash history of requests.
        trials: Grants trials of quarantined requests.
    """

    def __init__(self, history: crashes.CrashHistory, trials: Trials) -> None:
        self._history = history
        self._trials = trials

    async def admit(self, run: runs.Run) -> None:
        """Checks that a request may be sent to an engine, or to a further one.

        Called before the request uses any resources, and again when a stream
        resumes on another engine, because the engine that failed may have been
        the crash that led to quarantine.

        Raises:
            WharfError: ``QUARANTINED``.
        """
        if not self._history.is_quarantined(run.call):
            return
        if not run.call.is_trial and await self._trials.take(run.call):
            request_log.log_quarantine_trial(run)
            run.call = dataclasses.replace(run.call, is_trial=True)
        self._history.check(run.call)
