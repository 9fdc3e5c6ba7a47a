"""Messages about requests that crash engines; numbers 110 to 119."""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import fingerprints
from jujubewharf.peers import messages


@messages.message(110)
@dataclasses.dataclass(frozen=True, slots=True)
class CrashesKnown(messages.Message):
    """What the sender knows of requests under which engines crashed.

    Attributes:
        reports: Those that have changed; as a link begins, all of them.
    """

    reports: tuple[crash_reports.CrashReport, ...]


@messages.message(111)
@dataclasses.dataclass(frozen=True, slots=True)
class TrialAsk(messages.Message):
    """A follower asks to let one try of a request in quarantine through."""

    fingerprint: fingerprints.Fingerprint


@messages.message(112)
@dataclasses.dataclass(frozen=True, slots=True)
class Trial(messages.Message):
    """The leader's answer."""

    is_granted: bool
