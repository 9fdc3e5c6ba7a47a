"""Numbers in log lines."""

from __future__ import annotations

import math


def whole_ms(time_ms: float) -> int | None:
    """Rounds a time in ms; ``None`` if it is infinite or not a number.

    The age of what was never read is infinite, and a line must not fail the
    request that it is about.
    """
    return round(time_ms) if math.isfinite(time_ms) else None
