"""The next order that brings an engine from what it is to what is declared.

Orders are declarative and are worked out again from the engine's own report
before each one, never queued. So an order that was lost is given again, one
that was doubled does nothing, and a stale one that lands late shows in the
next report and is put right.
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
    """One order that is due.

    Attributes:
        kind: What to do.
        value: Model, adapter or role wanted.
        version: Model version wanted.
    """

    kind: client.OrderKind
    value: str
    version: str = ""

    @property
    def purpose(self) -> records.Purpose:
        """What a lease for this step is for."""
        match self.kind:
            case client.OrderKind.LOAD_MODEL:
                return records.Purpose.LOAD
            case client.OrderKind.CHANGE_ROLE:
                return records.Purpose.ROLE
            case client.OrderKind.LOAD_ADAPTER:
                return records.Purpose.ADAPTER

    def order(self, fence: int) -> client.Order:
        """The step as an order under a fencing number."""
        return client.Order(self.kind, fence, self.value, self.version)


def next_step(
    endpoint: resources.Endpoint, report: client.LoadReport
) -> Step | None:
    """The first order due, or ``None`` when the engine is as declared."""
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
    """Whether an engine as reported can serve its service."""
    if report.is_leaving:
        return False
    if service.model and report.model != service.model:
        return False
    wanted = service.model_version
    return not wanted or report.model_version == wanted


def phases(report: client.LoadReport) -> frozenset[resources.Role]:
    """The phases that an engine does now."""
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
