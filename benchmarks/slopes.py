"""Straight lines through measured points, with what they leave over."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """``value = base + per_unit * units``, by least squares.

    Attributes:
        base: Value at none.
        per_unit: Growth for each unit.
        largest_residual: Farthest that a measured point lies off the line.
        low: Smallest measured number of units.
        high: Largest.
    """

    base: float
    per_unit: float
    largest_residual: float
    low: float
    high: float

    @classmethod
    def fit(cls, units: Sequence[float], values: Sequence[float]) -> Slope:
        """The line through two points or more."""
        per_unit, base = np.polyfit(units, values, 1)
        left = np.asarray(values) - (base + per_unit * np.asarray(units))
        return cls(
            float(base),
            float(per_unit),
            float(np.abs(left).max()),
            min(units),
            max(units),
        )

    def at(self, units: float) -> float:
        """The line's value, which may lie outside the measured range."""
        return self.base + self.per_unit * units
