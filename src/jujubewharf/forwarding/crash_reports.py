"""What instances tell each other of requests under which engines crashed.

Ages are spans and never instants, for clocks differ between instances.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import fingerprints


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An engine that crashed under a request.

    Attributes:
        engine: Name of the engine's start.
        age_ms: How long ago that was.
    """

    engine: str
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """All that is known of one request; two of them can be joined.

    Attributes:
        fingerprint: Names the request.
        label: Id of one of its tries, which names it in log lines.
        crashes: Engines that crashed under it.
        cleared_age_ms: How long ago an engine answered it whole; ``None`` where
            none has.
        trials: Tries that were let through all the same.
        trial_age_ms: How long ago the last of them was; ``None`` where none
            was.
    """

    fingerprint: fingerprints.Fingerprint
    label: str
    crashes: tuple[Crash, ...] = ()
    cleared_age_ms: float | None = None
    trials: int = 0
    trial_age_ms: float | None = None
