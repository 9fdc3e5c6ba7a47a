"""Determines the next order that brings an engine to its declared state.

Orders are declarative. Each is computed from the engine's latest report and
never queued. A lost order is therefore sent again, a duplicate has no effect,
and a stale one that arrives late shows in the next report and is corrected.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.orders import records

_SINGLE_PHASES = (
    resources.Role.PREFILL.value,
    resources.Role.DECODE.value,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """An order that is due.

    Attributes:
        kind: What to change.
        value: Declared model, adapter or role.
        version: Declared model version.
    """

    kind: client.OrderKind
    value: str
    version: str = ""

    @property
    def purpose(self) -> records.Purpose:
        """Purpose of the lease that this step needs."""
        match self.kind:
            case client.OrderKind.LOAD_MODEL:
                return records.Purpose.LOAD
            case client.OrderKind.CHANGE_ROLE:
                return records.Purpose.ROLE
            case client.OrderKind.LOAD_ADAPTER:
                return records.Purpose.ADAPTER

    def order(self, fence: int) -> client.Order:
        """Returns the step as an order with a fencing number."""
        return client.Order(self.kind, fence, self.value, self.version)


def next_step(
    endpoint: resources.Endpoint, report: client.LoadReport
) -> Step | None:
    """Returns the next order, or ``None`` if the engine is as declared."""
    if _is_other_model(endpoint, report):
        kind = client.OrderKind.LOAD_MODEL
        return Step(kind, endpoint.model, endpoint.model_version)
    if report.role and report.role != endpoint.role.value:
        return Step(client.OrderKind.CHANGE_ROLE, endpoint.role.value)
    if not endpoint.capabilities.adapters:
        return None
    for adapter in endpoint.adapters:
        if adapter not in report.adapters:
            return Step(client.OrderKind.LOAD_ADAPTER, adapter)
    return None


def fits(service: resources.Service, report: client.LoadReport) -> bool:
    """Whether an engine can serve its service, by its report."""
    if report.is_leaving:
        return False
    if service.model and report.model != service.model:
        return False
    wanted = service.model_version
    return not wanted or report.model_version == wanted


def phases(report: client.LoadReport) -> frozenset[resources.Role]:
    """Returns the phases that an engine currently runs."""
    if report.role in _SINGLE_PHASES:
        return frozenset({resources.Role(report.role)})
    return frozenset({resources.Role.PREFILL, resources.Role.DECODE})


def _is_other_model(
    endpoint: resources.Endpoint, report: client.LoadReport
) -> bool:
    if not endpoint.model:
        return False
    if report.model != endpoint.model:
        return True
    wanted = endpoint.model_version
    return bool(wanted) and report.model_version != wanted
