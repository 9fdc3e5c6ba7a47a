"""Messages about requests that crash engines; numbers 110 to 119."""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import fingerprints
from jujubewharf.peers import messages


@messages.message(110)
@dataclasses.dataclass(frozen=True, slots=True)
class CrashReports(messages.Message):
    """Shares reports of requests that crashed engines.

    Attributes:
        reports: Reports that have changed; all reports when a link opens.
    """

    reports: tuple[crash_reports.CrashReport, ...]


@messages.message(111)
@dataclasses.dataclass(frozen=True, slots=True)
class TrialRequest(messages.Message):
    """A follower requests permission for one trial of a quarantined request."""

    fingerprint: fingerprints.Fingerprint


@messages.message(112)
@dataclasses.dataclass(frozen=True, slots=True)
class TrialReply(messages.Message):
    """The leader's reply to ``TrialRequest``."""

    is_granted: bool
