"""Gain in capacity that a change of roles must promise.

Load: cost estimates follow the newest requests, so they vary by some ten
percent under a steady load, and by more in bursts. After a change in one
direction the other direction needs a larger gain for some time, unless the
service has lost engines since.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.role_orders import ledger as ledgers

# Smallest relative gain in capacity that justifies a change. While an engine
# changes roles it does no work for ten seconds or more.
MIN_GAIN = 0.1
# Smallest gain of a change back. With 15 engines and estimates that are up to
# 50 % off, 40 runs of 120 s had 20 changes back within the time below with 0.1
# and with 0.25, and none with 0.35.
REVERSAL_GAIN = 0.35
# Time for which a change back needs that gain, in durations of a change: one
# until the first change takes effect, one until the estimates are made of
# requests since then, one that the change back would take.
_REVERSAL_CHANGES = 3.0
# Share of a pool whose loss makes a change back urgent.
_URGENT_LOST_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class _LostEngine:
    role: resources.Role
    at_ms: float


class ReversalDamping:
    """Decides which gain a change needs; see the module.

    Args:
        ledger: Orders of this instance and of other leaders.
        clock: Clock.
    """

    def __init__(
        self, ledger: ledgers.OrderLedger, clock: clocks.Clock
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._present: dict[str, dict[str, resources.Endpoint]] = {}
        # By service, then by address: an engine that is back isn't lost.
        self._lost: dict[str, dict[str, _LostEngine]] = {}

    def track(
        self, service: str, engines: Sequence[resources.Endpoint]
    ) -> None:
        """Records which engines of a service accept work now."""
        now_ms = self._clock.now_ms()
        present = {engine.address: engine for engine in engines}
        lost = self._lost.setdefault(service, {})
        for address, engine in self._present.get(service, {}).items():
            if address not in present:
                lost[address] = _LostEngine(engine.role, now_ms)
        for address in present:
            lost.pop(address, None)
        self._present[service] = present

    def min_gain(
        self, service: str, role: resources.Role, *, change_ms: float
    ) -> float:
        """Returns the smallest gain that justifies a change to a role.

        Args:
            service: Service of the engines.
            role: The new role.
            change_ms: Duration of a change until it shows in the registration.
        """
        now_ms = self._clock.now_ms()
        window_ms = _REVERSAL_CHANGES * change_ms
        reversed_ms = self._ledger.last_change_ms(
            service, ledgers.OTHER_ROLE[role]
        )
        if now_ms - reversed_ms >= window_ms:
            return MIN_GAIN
        if self.is_urgent(service, change_ms=change_ms):
            return MIN_GAIN
        return REVERSAL_GAIN

    def is_urgent(self, service: str, *, change_ms: float) -> bool:
        """Returns whether a pool is empty or has lost a third recently."""
        since_ms = self._clock.now_ms() - _REVERSAL_CHANGES * change_ms
        lost = self._lost.get(service, {})
        for address, engine in list(lost.items()):
            if engine.at_ms < since_ms:
                del lost[address]
        present = list(self._present.get(service, {}).values())
        for role in ledgers.OTHER_ROLE:
            count = sum(engine.role is role for engine in present)
            lost_count = sum(engine.role is role for engine in lost.values())
            if not count or lost_count >= _URGENT_LOST_SHARE * (
                count + lost_count
            ):
                return True
        return False
