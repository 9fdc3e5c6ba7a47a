"""What a search for where a stream began has found, and who was asked."""

from __future__ import annotations

import dataclasses

from jujubewharf.stream_versions import origins


@dataclasses.dataclass(frozen=True, slots=True)
class OriginSearch:
    """Result of a search for where a stream began.

    Attributes:
        origin: Where it began; ``None`` if nobody knows.
        role: Role of this instance: ``leading``, ``following`` or ``alone``.
        role_ms: Time for which this instance has had its role.
        asked: Number of other instances that were asked.
        answered: Number of those that replied, whether they knew or not.
    """

    origin: origins.StreamOrigin | None
    role: str
    role_ms: float
    asked: int = 0
    answered: int = 0
