"""Reports that instances exchange about requests that crash engines.

Reports hold ages rather than timestamps, because the clocks of instances
differ.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import fingerprints


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An engine that crashed while it processed a request.

    Attributes:
        engine: Name of the engine's registration.
        age_ms: Time since the crash in milliseconds.
        request: For a part of prompts, a number that tells requests apart; 0
            for a request, and from an older build.
    """

    engine: str
    age_ms: float
    request: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Everything that an instance knows about the crashes of one subject.

    Attributes:
        fingerprint: Fingerprint of the request, or of the part of prompts.
        label: Request id of one of its tries, for log lines.
        crashes: Engines that crashed.
        cleared_age_ms: Time since an engine last answered the request
            completely; ``None`` if none has.
        trials: Number of trials allowed in quarantine.
        trial_age_ms: Time since the last trial; ``None`` if there was none.
        completions: Number of recent complete answers, within the bound that
            matters.
        position: Position of a part in its prompts, from 1; 0 for a request.
    """

    fingerprint: fingerprints.Fingerprint
    label: str
    crashes: tuple[Crash, ...] = ()
    cleared_age_ms: float | None = None
    trials: int = 0
    trial_age_ms: float | None = None
    completions: int = 0
    position: int = 0
