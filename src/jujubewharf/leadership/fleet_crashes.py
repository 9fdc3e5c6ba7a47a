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
from jujubewharf import ordered_set
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import fingerprints
from jujubewharf.leadership import fleet as fleets
from jujubewharf.peers import crash_messages

# Delay that batches the reports of one crash, which concerns dozens of
# requests. Short enough that all instances know of it before a caller can
# retry.
_BATCH_MS = 15.0


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
        self._unsent = ordered_set.OrderedSet[fingerprints.Fingerprint]()
        self.on_change: Callable[[fingerprints.Fingerprint], None]
        self.on_change = lambda fingerprint: None
        history.on_update = self._on_seen

    async def take(self, call: calls.Call) -> bool:
        """Returns whether a trial is granted; see ``crashes.Trials``."""
        subjects = self._history.quarantined_subjects(call)
        if len(subjects) != 1:
            # Two subjects at once would tell nothing about either.
            return False
        (fingerprint,) = subjects
        if self._fleet.role is fleets.Role.FOLLOWING:
            return await self._fleet.link.request_trial(fingerprint)
        return self.grant(fingerprint)

    def grant(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Grants a trial of a request that is quarantined here."""
        return self._history.begin_trial(fingerprint)

    def apply_reports(self, message: crash_messages.CrashReports) -> None:
        """Applies a follower's reports, and broadcasts what is new."""
        for report in message.reports:
            if self._history.merge(report):
                self._on_seen(report.fingerprint)

    def apply_stored(self, report: crash_reports.CrashReport) -> None:
        """Applies a report from the store, and broadcasts it if it is new."""
        if self._history.merge(report):
            self._schedule_broadcast(report.fingerprint)

    def _on_seen(self, fingerprint: fingerprints.Fingerprint) -> None:
        self._schedule_broadcast(fingerprint)
        self.on_change(fingerprint)

    def _schedule_broadcast(
        self, fingerprint: fingerprints.Fingerprint
    ) -> None:
        if not self._unsent:
            at_ms = self._clock.now_ms() + _BATCH_MS
            self._clock.call_at_ms(at_ms, self._broadcast)
        self._unsent.add(fingerprint)

    def _broadcast(self) -> None:
        reports = self._history.reports(self._unsent)
        self._unsent.clear()
        message = crash_messages.CrashReports(reports)
        self._fleet.tell(message)
