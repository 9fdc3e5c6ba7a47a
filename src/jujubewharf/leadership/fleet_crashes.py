"""Shares the crash history of requests between all instances.

A request that crashed an engine may be retried at any instance. An instance
that observes a crash, or a complete answer after one, reports it to the leader,
which broadcasts it. An instance without a leader uses its own history and sends
it when its next link opens.

The leader also grants trials: single attempts of quarantined requests, which
show whether the request is the cause of the crashes.
"""

from __future__ import annotations

from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import fingerprints
from jujubewharf.leadership import fleet as fleets
from jujubewharf.peers import crash_messages

# Delay that batches the reports of one crash, which concerns dozens of
# requests. Short enough that all instances know of it before a caller can
# retry.
_TELL_AFTER_MS = 15.0


class FleetCrashes:
    """Shares the crash history between the leader and its followers.

    Args:
        fleet: The leader of this instance, or its followers.
        history: Crash history of this instance.
        clock: Clock.

    Attributes:
        on_change: Called with the fingerprint of each request whose history
            changed, unless the change came from the leader or the store.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        history: crashes.CrashHistory,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._clock = clock
        self._untold: set[fingerprints.Fingerprint] = set()
        self.on_change: Callable[[fingerprints.Fingerprint], None]
        self.on_change = lambda fingerprint: None
        history.on_seen = self._spread

    async def take(self, call: calls.Call) -> bool:
        """Returns whether a trial is granted; see ``crashes.Trials``."""
        fingerprint = fingerprints.Fingerprint.from_call(call)
        if self._fleet.role is fleets.Role.FOLLOWING:
            return await self._fleet.link.trial(fingerprint)
        return self.grant(fingerprint)

    def grant(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Grants a trial of a request that is quarantined here."""
        return self._history.begin_trial(fingerprint)

    def told(self, message: crash_messages.CrashesKnown) -> None:
        """Applies a follower's reports, and broadcasts what is new."""
        for report in message.reports:
            if self._history.learn(report):
                self._spread(report.fingerprint)

    def found(self, report: crash_reports.CrashReport) -> None:
        """Applies a report from the store, and broadcasts it if it is new."""
        if self._history.learn(report):
            self._tell_soon(report.fingerprint)

    def _spread(self, fingerprint: fingerprints.Fingerprint) -> None:
        self._tell_soon(fingerprint)
        self.on_change(fingerprint)

    def _tell_soon(self, fingerprint: fingerprints.Fingerprint) -> None:
        if not self._untold:
            at_ms = self._clock.now_ms() + _TELL_AFTER_MS
            self._clock.call_at_ms(at_ms, self._tell)
        self._untold.add(fingerprint)

    def _tell(self) -> None:
        reports = self._history.reports(self._untold)
        self._untold.clear()
        news = crash_messages.CrashesKnown(reports)
        self._fleet.tell(news)
