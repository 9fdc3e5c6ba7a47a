"""Linear least-squares fits with their residuals."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Least-squares fit ``value = base + per_unit * units``.

    Attributes:
        base: Value at zero units.
        per_unit: Growth per unit.
        largest_residual: Largest absolute residual.
        low: Smallest measured number of units.
        high: Largest measured number of units.
    """

    base: float
    per_unit: float
    largest_residual: float
    low: float
    high: float

    @classmethod
    def fit(cls, units: Sequence[float], values: Sequence[float]) -> Slope:
        """Fits a line to two or more points."""
        per_unit, base = np.polyfit(units, values, 1)
        residuals = np.asarray(values) - (base + per_unit * np.asarray(units))
        return cls(
            float(base),
            float(per_unit),
            float(np.abs(residuals).max()),
            min(units),
            max(units),
        )

    def at(self, units: float) -> float:
        """Returns the value of the line, also outside the measured range."""
        return self.base + self.per_unit * units
