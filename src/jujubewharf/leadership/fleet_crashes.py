"""Has all instances know which requests crash engines.

The leader also lets one try of each through, where that is to tell.

A request that crashed an engine comes again to any instance. Who sees a crash,
or a whole answer after one, tells the leader, who tells all. An instance
without a leader goes by what it knows, and tells it as its next link begins.
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

# An engine crashes under dozens of requests at once; what is seen within this
# time is told together, and is known everywhere before a caller comes back.
_TELL_AFTER_MS = 15.0


class FleetCrashes:
    """Spreads what is known of requests that crash engines.

    Args:
        fleet: The leader of this instance, or its followers.
        history: What this instance knows.
        clock: Time.

    Attributes:
        on_change: Told which request more is known of, unless the leader or the
            store told it.
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
        """Whether this try is let through; see ``crashes.Trials``."""
        fingerprint = fingerprints.Fingerprint.from_call(call)
        if self._fleet.role is fleets.Role.FOLLOWING:
            return await self._fleet.link.trial(fingerprint)
        return self.grant(fingerprint)

    def grant(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Lets one try of a request through that is in quarantine here."""
        return self._history.begin_trial(fingerprint)

    def told(self, message: crash_messages.CrashesKnown) -> None:
        """Learns from a follower, and tells the others what is new."""
        for report in message.reports:
            if self._history.learn(report):
                self._spread(report.fingerprint)

    def found(self, report: crash_reports.CrashReport) -> None:
        """Learns what the store has kept, and tells the others what is new."""
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
